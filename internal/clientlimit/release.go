package clientlimit

import (
	"context"
	"runtime/debug"
	"time"

	"curranthold.example/curranthold/internal/event"
)

// releaseInterval is the shortest time between two returns of unused memory. Each takes
// a garbage collection.
const releaseInterval = 5 * time.Second

// Run returns unused memory to the operating system after the use of the budget has
// fallen, until the context ends. The runtime by itself keeps it for minutes.
func (b *Budget) Run(ctx context.Context) {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if b.Fallen() {
			debug.FreeOSMemory()
			metricReleases.Add(1)
			eventReleased.Log(event.Fields{"in-use-bytes": b.total()})
		}
	}
}
