package configuration

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkSlopeSnapshot compiles whole configurations and reports their heap memory
// per object. Of 21 objects, 10 are accounts, 10 are keys and one is a route.
func BenchmarkSlopeSnapshot(b *testing.B) {
	for _, objects := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("objects=%d", objects), func(b *testing.B) {
			accounts := objects * 10 / 21
			before := heapBytes()
			s, _ := testSnapshot(b, accounts)
			kept := heapBytes() - before
			b.ReportAllocs()
			for b.Loop() {
				_, err := compile(2, s.objects, nil)
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(kept)/float64(len(s.objects)), "heap-B/object")
			runtime.KeepAlive(s)
		})
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// ackCaller counts calls and acknowledges each one at once.
type ackCaller struct{ calls atomic.Int64 }

func (a *ackCaller) Call(_ context.Context, _, _ string, _, _ any) error {
	a.calls.Add(1)
	return nil
}

// BenchmarkSlopeFanOut pushes one change from a polling host to its zone. It reports
// the number of messages that this host sends, and the maximum number of hops to a
// host of the zone.
func BenchmarkSlopeFanOut(b *testing.B) {
	for _, hosts := range []int{3, 10, 150, 1157} {
		b.Run(fmt.Sprintf("zone-hosts=%d", hosts), func(b *testing.B) {
			peers := new(ackCaller)
			r := New(Config{Host: "host-0", Zone: "z", Peers: peers})
			known := make([]Host, hosts)
			for i := range known {
				known[i] = Host{ID: fmt.Sprintf("host-%d", i), Zone: "z", Address: fmt.Sprintf("address-%d", i)}
			}
			r.SetHosts(known)
			args := r.newPushArgs([]Change{accountChange(b, 2)}, 2)
			b.ReportAllocs()
			for b.Loop() {
				r.pushToSpan(b.Context(), r.view.Load().zone("z").span(), args)
			}
			b.ReportMetric(float64(peers.calls.Load())/float64(b.N), "messages/op")
			b.ReportMetric(float64(treeDepth(hosts)), "hops")
		})
	}
}

// treeDepth returns the maximum number of hops from the root of the survey tree of a
// zone (see parent).
func treeDepth(hosts int) int {
	deepest := 0
	for i := range hosts {
		hops := 0
		for p := parent(i, hosts); p >= 0; p = parent(p, hosts) {
			hops++
		}
		deepest = max(deepest, hops)
	}
	return deepest
}
