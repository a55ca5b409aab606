package standin

import (
	"runtime"
	"runtime/metrics"
	"time"
)

// memoryInterval is the time between two measurements of PeakMemory.
const memoryInterval = 5 * time.Millisecond

// PeakMemory measures the memory of the objects in use until done is closed, and
// returns by how many bytes it exceeded before at most.
func PeakMemory(before uint64, done <-chan struct{}) uint64 {
	peak := before
	for {
		select {
		case <-done:
			return peak - before
		case <-time.After(memoryInterval):
			peak = max(peak, LiveMemory())
		}
	}
}

// LiveMemory collects garbage and returns the memory, in bytes, of the objects that are
// in use.
func LiveMemory() uint64 {
	runtime.GC()
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return live[0].Value.Uint64()
}
