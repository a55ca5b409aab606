package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// check fails if the version in the fleet exceeded its share or got requests too late
// after a rollback, or if a state was published that the store doesn't hold.
func (f *testFleet) check(t *testing.T, what string) {
	t.Helper()
	qt.Check(t, f.exposed() <= 0, qt.IsTrue, qt.Commentf("%s: %d of %d went to the new version", what, f.toNew, f.all))
	qt.Check(t, f.lateNew, qt.Equals, 0, qt.Commentf("%s", what))
	stored := f.store.record()
	if f.state() == completed {
		qt.Check(t, stored.Phase, qt.Equals, PhaseCompleted, qt.Commentf("%s", what))
	}
	qt.Check(t, slices.Contains(f.store.states(), completed) && slices.Contains(f.store.states(), rolledBack),
		qt.IsFalse, qt.Commentf("%s: %v", what, f.store.states()))
}

// makeBad lets the new version fail with the given probability.
func (f *testFleet) makeBad(share float64) {
	f.behave = func(version, _ string, _ time.Duration, _ bool) (bool, time.Duration) {
		failed, took := f.good()
		return failed || version == "v2" && f.rng.Float64() < share, took
	}
}

// TestStoreAwayAtEachStep guards against a rollout that an outage of the store at any one
// operation leaves undecided, or decides in two ways, and against an operation whose
// outcome is unknown.
func TestStoreAwayAtEachStep(t *testing.T) {
	for _, share := range []float64{0, 0.5} {
		want := map[bool]string{true: completed, false: rolledBack}[share == 0]
		for step := 1; step <= 7; step++ {
			for _, lost := range []bool{false, true} {
				t.Run(fmt.Sprintf("bad share %v, operation %d, lost %v", share, step, lost), func(t *testing.T) {
					inFleet(t, func(t *testing.T) {
						f := newFleet(t, uint64(step), 4, 2, 2)
						f.makeBad(share)
						f.store.lost = lost
						f.store.setFail(func(call int, _ string) error {
							if call == step {
								return errAway
							}
							return nil
						})
						f.order(1, "v2", testOver)
						f.run(testOver)
						qt.Check(t, f.state(), qt.Equals, want)
						f.run(testBack)
						f.check(t, "end")
					})
				})
			}
		}
	}
}

// TestStoreAwayLonger guards against a version that is completed, or a bad one that gets
// requests, while the store is away.
func TestStoreAwayLonger(t *testing.T) {
	tests := map[string]struct {
		share    float64
		from, to time.Duration
		want     string
	}{
		"from the start, good":       {0, 0, 4 * time.Second, completed},
		"beyond the deadline, good":  {0, 6 * time.Second, 15 * time.Second, rolledBack},
		"beyond the deadline, bad":   {0.5, 0, 15 * time.Second, rolledBack},
		"while it is promoted, good": {0, 11 * time.Second, 11800 * time.Millisecond, completed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(t *testing.T) {
				f := newFleet(t, 3, 4, 2, 2)
				f.makeBad(test.share)
				start := time.Now()
				f.store.setFail(func(int, string) error {
					if at := time.Since(start); at >= test.from && at < test.to {
						return errAway
					}
					return nil
				})
				f.order(1, "v2", testOver)
				f.run(testOver + 6*time.Second)
				qt.Check(t, f.state(), qt.Equals, test.want)
				f.check(t, name)
				qt.Check(t, f.refused <= f.all/100, qt.IsTrue, qt.Commentf("%d of %d refused", f.refused, f.all))
			})
		})
	}
}

// TestDeciderKilled guards against a rollout that ends with the host that decided about
// it, at any time of the window, and against a decider that starts the window anew.
func TestDeciderKilled(t *testing.T) {
	for _, share := range []float64{0, 0.5} {
		want := map[bool]string{true: completed, false: rolledBack}[share == 0]
		for _, at := range []time.Duration{5, 300, 1000, 6000, 10500, 11400, 11530, 11600, 11700} {
			at *= time.Millisecond
			t.Run(fmt.Sprintf("bad share %v, at %v", share, at), func(t *testing.T) {
				inFleet(t, func(t *testing.T) {
					f := newFleet(t, uint64(at), 6, 3, 2)
					f.makeBad(share)
					f.order(1, "v2", testOver)
					f.run(at)
					killed := f.decider()
					qt.Assert(t, killed, qt.IsNotNil)
					f.kill(killed)
					f.run(min(3*time.Second, testOver-at)) // The membership notices after 3 s.
					f.sync()
					f.run(max(testOver-at-3*time.Second, 0))
					qt.Check(t, f.state(), qt.Equals, want)
					f.run(testBack)
					f.check(t, "end")
				})
			})
		}
	}
}

// TestPartition guards against a bad version that gets more than its share on one side of
// a partition, and against two sides that decide differently.
func TestPartition(t *testing.T) {
	for _, share := range []float64{0, 0.5, 1} {
		for _, at := range []time.Duration{0, 4 * time.Second, 11600 * time.Millisecond} {
			for _, onlyCandidate := range []bool{false, true} {
				t.Run(fmt.Sprintf("bad share %v, at %v, only candidate %v", share, at, onlyCandidate), func(t *testing.T) {
					inFleet(t, func(t *testing.T) {
						f := newFleet(t, uint64(at), 6, 4, 4)
						f.makeBad(share)
						f.order(1, "v2", testOver)
						f.run(at)
						for i, n := range f.nodes {
							if i%2 == 1 && !onlyCandidate || n.host.ID == "new-0" || n.host.ID == "entry-0" {
								f.split(n, 1)
							}
						}
						f.run(3 * time.Second)
						f.sync()
						f.run(max(testOver-at-3*time.Second, 0))
						f.check(t, "deadline")
						for _, n := range f.nodes {
							f.split(n, 0)
						}
						f.sync()
						f.run(testBack)
						f.check(t, "healed")
						qt.Check(t, f.state() == completed && share == 0 || f.state() == rolledBack, qt.IsTrue, qt.Commentf("%s", f.state()))
						phase := f.store.record().Phase
						for _, n := range f.nodes {
							if n.host.Service == testService {
								status, _ := n.manager.Status(testService)
								qt.Check(t, status.Phase, qt.Equals, phase, qt.Commentf("%s", n.host.ID))
							}
						}
					})
				})
			}
		}
	}
}

// TestOwnerRestarted guards against evidence, elapsed time or phase that a restart of one
// owner, or of all hosts of the service, loses for the others.
func TestOwnerRestarted(t *testing.T) {
	tests := map[string]struct {
		share float64
		all   bool
		want  string
	}{
		"one, good": {0, false, completed}, "one, bad": {0.5, false, rolledBack},
		"all, good": {0, true, completed}, "all, bad": {0.5, true, rolledBack},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(t *testing.T) {
				f := newFleet(t, 9, 4, 2, 2)
				f.makeBad(test.share)
				f.order(1, "v2", testOver)
				f.run(500 * time.Millisecond)
				restart := func() {
					for _, n := range f.nodes {
						if n.host.Service == testService && (test.all || n.host.ID == "new-0" || n.host.ID == "old-1") {
							f.kill(n)
							f.start(n)
						}
					}
				}
				restart()
				f.run(6 * time.Second)
				restart()
				f.run(testOver - 6500*time.Millisecond)
				qt.Check(t, f.state(), qt.Equals, test.want)
				restart()
				f.run(testBack)
				f.check(t, "end")
				qt.Check(t, f.state(), qt.Equals, test.want)
				if test.want == completed {
					qt.Check(t, f.node("new-0").manager.IsCandidate(), qt.IsFalse)
				} else {
					leaving, _ := f.node("new-0").manager.Refusal()
					qt.Check(t, leaving, qt.IsTrue)
				}
			})
		})
	}
}

// TestStaleDecider guards against a decider that was out of reach and overwrites the
// decision of another one.
func TestStaleDecider(t *testing.T) {
	inFleet(t, func(t *testing.T) {
		f := newFleet(t, 5, 4, 2, 2)
		f.order(1, "v2", testOver)
		f.run(11600 * time.Millisecond) // in the promotion
		record := f.store.record()
		if !record.Phase.terminal() {
			record.Phase, record.Reason = PhaseRolledBack, ReasonFailures
			f.store.put(record)
		}
		f.run(testBack)
		qt.Check(t, f.state() == completed, qt.Equals, record.Phase == PhaseCompleted)
		f.check(t, "end")
	})
}
