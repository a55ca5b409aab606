package rollout

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDistinctOutcomes guards against orders that end without a state, with a wrong one,
// or with a reason that doesn't tell operators what happened.
func TestDistinctOutcomes(t *testing.T) {
	tests := map[string]struct {
		run     func(f *testFleet)
		service string
		want    []string
		reason  Reason
	}{
		"unknown service": {
			service: "nothing", want: []string{"nothing v2 running", "nothing v2 rolled-back"}, reason: ReasonUnknownService,
			run: func(f *testFleet) {
				f.orders = []Order{{Service: "nothing", Target: "v2", Over: testOver, ID: 1}}
				f.ordered = time.Now()
				f.setOrders()
				f.run(testOver)
			},
		},
		"unknown version": {
			want: []string{"service v9 running", "service v9 rolled-back"}, reason: ReasonUnknownVersion,
			run: func(f *testFleet) {
				f.order(1, "v9", testOver)
				f.run(testOver)
			},
		},
		"second order": {
			want:   []string{"service v2 running", "service v2 rolled-back", "service v9 running", "service v9 rolled-back"},
			reason: ReasonUnknownVersion,
			run: func(f *testFleet) {
				f.order(1, "v2", testOver)
				f.run(4 * time.Second)
				f.order(2, "v9", testOver)
				f.run(testOver)
			},
		},
		"second order, same version": {
			want:   []string{"service v2 running", "service v2 rolled-back", "service v2 running", "service v2 completed"},
			reason: ReasonPassed,
			run: func(f *testFleet) {
				f.order(1, "v2", testOver)
				f.run(4 * time.Second)
				f.order(2, "v2", testOver)
				f.run(testOver)
			},
		},
		"in force": {
			want: []string{"service v1 completed"}, reason: ReasonInForce,
			run: func(f *testFleet) {
				for _, n := range f.nodes {
					if n.host.Version == "v2" {
						f.kill(n)
					}
				}
				f.sync()
				f.run(time.Second)
				f.order(1, "v1", testOver)
				f.run(2 * time.Second)
			},
		},
		"in force after a rollout": {
			want: []string{"service v2 running", "service v2 completed", "service v2 completed"}, reason: ReasonInForce,
			run: func(f *testFleet) {
				f.order(1, "v2", testOver)
				f.run(testOver + time.Second)
				f.order(2, "v2", testOver)
				f.run(2 * time.Second)
			},
		},
		"withdrawn": {
			want: []string{"service v2 running", "service v2 rolled-back"}, reason: ReasonWithdrawn,
			run: func(f *testFleet) {
				f.order(1, "v2", testOver)
				f.run(4 * time.Second)
				f.orders = nil
				f.setOrders()
				f.run(time.Second)
			},
		},
		"first seen after the deadline": {
			want: []string{"service v2 rolled-back"}, reason: ReasonLate,
			run: func(f *testFleet) {
				f.store.put(Record{
					Service: testService, Target: "v2", Base: "v1", Order: 1, Over: testOver, Phase: PhaseCanary,
					Started: time.Now().Add(-testOver - time.Minute),
				})
				f.orders = []Order{{Service: testService, Target: "v2", Over: testOver, ID: 1}}
				f.ordered = time.Now()
				for _, n := range f.nodes {
					f.kill(n)
					f.start(n)
				}
				f.sync()
				time.Sleep(2 * time.Second)
			},
		},
		"cold": {
			want: []string{"service v2 running", "service v2 rolled-back"}, reason: ReasonNotReady,
			run: func(f *testFleet) {
				f.warm(false)
				f.order(1, "v2", testOver)
				f.run(testOver)
			},
		},
		"cold at first": {
			want: []string{"service v2 running", "service v2 completed"}, reason: ReasonPassed,
			run: func(f *testFleet) {
				f.warm(false)
				f.order(1, "v2", testOver)
				f.run(8 * time.Second)
				f.warm(true)
				f.run(4 * time.Second)
			},
		},
		"no calls": {
			want: []string{"service v2 running", "service v2 rolled-back"}, reason: ReasonNoEvidence,
			run: func(f *testFleet) {
				f.order(1, "v2", testOver)
				time.Sleep(testOver)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(t *testing.T) {
				f := newFleet(t, 2, 4, 2, 2)
				test.run(f)
				qt.Check(t, f.store.states(), qt.DeepEquals, test.want)
				service := testService
				if test.service != "" {
					service = test.service
				}
				time.Sleep(time.Second)
				reasons := 0
				for _, n := range f.nodes {
					if status, ok := n.manager.Status(service); ok && !n.down && status.Reason == test.reason {
						reasons++
					}
				}
				qt.Check(t, reasons > 0, qt.IsTrue, qt.Commentf("no host states %s", test.reason))
				qt.Check(t, f.refused <= f.all/50, qt.IsTrue, qt.Commentf("%d of %d refused", f.refused, f.all))
			})
		})
	}
}

// warm sets whether the backend servers of the new version are warm.
func (f *testFleet) warm(warm bool) {
	for _, n := range f.nodes {
		n.host.Cold = n.host.Version == "v2" && !warm
	}
	f.sync()
}

// TestOrdersRace guards against hosts that don't agree on the order in force: each half
// knows another one for a while, and the later one must win everywhere.
func TestOrdersRace(t *testing.T) {
	inFleet(t, func(t *testing.T) {
		f := newFleet(t, 4, 4, 2, 2)
		f.ordered = time.Now()
		for i, n := range f.nodes {
			n.manager.SetOrders([]Order{{Service: testService, Target: "v2", Over: testOver, ID: uint64(1 + i%2)}})
		}
		f.run(2 * time.Second)
		f.order(2, "v2", testOver)
		for _, n := range f.nodes { // An older configuration that arrives late.
			n.manager.SetOrders([]Order{{Service: testService, Target: "v9", Over: testOver, ID: 1}})
		}
		f.run(testOver)
		qt.Check(t, f.state(), qt.Equals, completed)
		qt.Check(t, f.store.record().Order, qt.Equals, uint64(2))
		qt.Check(t, f.exposed() <= 0, qt.IsTrue)
	})
}

// TestVersionNotOrdered guards against calls to a version that no order allows: before an
// order, after a rollback, and of a third version during a rollout.
func TestVersionNotOrdered(t *testing.T) {
	inFleet(t, func(t *testing.T) {
		f := newFleet(t, 6, 4, 2, 0)
		third := f.add("third-0", testService, "v3")
		f.sync()
		refuses := func(n *node) bool {
			leaving, _ := n.manager.Refusal()
			return leaving && n.manager.IsCandidate()
		}
		f.run(time.Second)
		qt.Check(t, refuses(third) && refuses(f.node("new-0")), qt.IsTrue)
		f.order(1, "v2", testOver)
		f.run(time.Second)
		qt.Check(t, refuses(third) && !refuses(f.node("new-0")), qt.IsTrue)
		f.orders = nil
		f.setOrders()
		f.run(time.Second)
		qt.Check(t, refuses(third) && refuses(f.node("new-0")) && !refuses(f.node("old-0")), qt.IsTrue)
		qt.Check(t, f.refused, qt.Equals, 0)
	})
}

// TestShare guards against entries that together send more than their fraction, at any
// number of entries and in parts of a fleet that don't know of each other, also if each
// sends only few calls.
func TestShare(t *testing.T) {
	for _, entries := range []int{1, 16, 64} {
		for _, calls := range []int{1, 10, 1000} {
			t.Run(fmt.Sprintf("%d entries, %d calls", entries, calls), func(t *testing.T) {
				chosen := 0
				for range entries {
					m := New(Config{MaxShare: testShare})
					m.SetOrders([]Order{{Service: testService, Target: "v2", Over: testOver, ID: 1}})
					own := 0
					for range calls {
						if m.UseCandidate(testService) {
							own++
						}
					}
					fraction := CanaryPart * testShare * float64(calls)
					qt.Assert(t, float64(own) <= fraction+1 && float64(own) >= fraction-1.01, qt.IsTrue, qt.Commentf("%d", own))
					chosen += own
				}
				// The roundings of n entries deviate by at most sqrt(n)/2; four times that.
				off := math.Abs(float64(chosen) - CanaryPart*testShare*float64(entries*calls))
				qt.Assert(t, off <= 2*math.Sqrt(float64(entries))+1, qt.IsTrue, qt.Commentf("%d", chosen))
				qt.Assert(t, chosen <= int(testShare*float64(entries*calls))+testSlack, qt.IsTrue, qt.Commentf("%d", chosen))
			})
		}
	}
}

// TestShareEnds guards against candidates that get calls after the window.
func TestShareEnds(t *testing.T) {
	now := time.Unix(0, 0)
	m := New(Config{MaxShare: testShare, Now: func() time.Time { return now }})
	m.SetOrders([]Order{{Service: testService, Target: "v2", Over: testOver, ID: 1}})
	now = now.Add(testOver)
	for range 100 {
		qt.Assert(t, m.UseCandidate(testService), qt.IsFalse)
	}
}

// TestWithoutOrders guards against deployments without rollouts that pay for them: the
// methods that calls use must work on a nil Manager and allocate nothing.
func TestWithoutOrders(t *testing.T) {
	for name, m := range map[string]*Manager{"nil": nil, "zero": {}, "disabled": New(Config{}), "idle": New(Config{MaxShare: testShare})} {
		t.Run(name, func(t *testing.T) {
			m.SetHosts([]Host{{ID: "a", Service: testService, Version: "v1"}})
			m.SetBackend(testService, "v1")
			m.SetOrders(nil)
			allocations := testing.AllocsPerRun(100, func() {
				leaving, superseded := m.Refusal()
				m.Record("/a", true, time.Millisecond)
				if leaving || superseded || m.IsCandidate() || m.UseCandidate(testService) {
					panic("takes effect without orders")
				}
			})
			qt.Check(t, allocations, qt.Equals, 0.0)
			qt.Check(t, m.load(), qt.IsNil)
			_, ok := m.Status(testService)
			qt.Check(t, ok, qt.IsFalse)
			var reply PollReply
			qt.Check(t, m.RPC().(*RPC).Poll(&PollArgs{Service: testService, Order: 1}, &reply), qt.IsNil)
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			qt.Check(t, m.Run(ctx), qt.IsNil)
		})
	}
}

// TestHistogram guards against buckets that don't contain the times counted in them.
func TestHistogram(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 10000 {
		d := time.Duration(rng.Int64N(int64(time.Minute)) >> rng.IntN(30))
		bucket := bucketOf(d)
		qt.Assert(t, d < bucketEnd(bucket), qt.IsTrue, qt.Commentf("%v", d))
		qt.Assert(t, d < 4*time.Microsecond || d >= bucketEnd(bucket)*4/5-time.Microsecond, qt.IsTrue, qt.Commentf("%v", d))
	}
	var c Counts
	for i := range 100 {
		c.addTime(time.Duration(i+1) * time.Millisecond)
	}
	median, _ := c.quantile(0.5)
	qt.Check(t, bucketEnd(median) >= 50*time.Millisecond && bucketEnd(median) < 63*time.Millisecond, qt.IsTrue)
	qt.Check(t, slices.Max(c.Times) > 0 && c.timed() == 100 && c.slowerThan(len(c.Times)) == 0, qt.IsTrue)
}
