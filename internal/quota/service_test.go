package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestServesDuringFailure sends 80 % of the share of the rate that remains
// usable during a failure, and expects no refusal once membership has reported
// the failure.
func TestServesDuringFailure(t *testing.T) {
	tests := map[string]struct {
		fail func(f *fleet)
		// share is the part of the rate that remains during the failure.
		share float64
		pick  func(f *fleet) []*node
	}{
		"an outage of the table": {
			fail:  func(f *fleet) { f.table.down = true },
			share: 1,
			pick:  func(f *fleet) []*node { return f.nodes },
		},
		"a partitioned zone": {
			fail: func(f *fleet) {
				f.partitioned = func(a, b *node) bool { return (a.host.Zone == "z0") != (b.host.Zone == "z0") }
				for _, n := range f.nodes[:4] {
					n.noTable = true
				}
			},
			share: 0.25,
			pick:  func(f *fleet) []*node { return f.nodes[:4] },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(5, map[string]Limit{"a": {Rate: 400, Burst: 400}}, Timing{}, 4, 4, 4, 4)
			f.startAll()
			f.run(90 * time.Second)
			test.fail(f)
			f.announceAll()
			f.run(5 * time.Minute)
			nodes := test.pick(f)
			f.sendLoad(time.Minute, 0.8*test.share, func(rng *rand.Rand) *node { return nodes[rng.IntN(len(nodes))] })
			f.run(time.Minute)
			t.Logf("%d served, %d refused", len(f.spent["a"]), len(f.refused["a"]))
			qt.Assert(t, len(f.spent["a"]) > 0, qt.IsTrue)
			qt.Assert(t, f.refused["a"], qt.HasLen, 0)
		})
	}
}
