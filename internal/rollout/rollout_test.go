package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	completed  = testService + " v2 completed"
	rolledBack = testService + " v2 rolled-back"
)

// behaviour is how the backend servers of both versions respond.
type behaviour func(f *testFleet, version, route string, elapsed time.Duration, concentrated bool) (bool, time.Duration)

// TestOutcomes guards against a good version that is not completed by the deadline, and
// against a bad one that is completed, exceeds its share, or gets requests later than
// the time for a rollback after its 50th bad response.
func TestOutcomes(t *testing.T) {
	failing := func(share float64) behaviour {
		return func(f *testFleet, version, _ string, _ time.Duration, _ bool) (bool, time.Duration) {
			failed, took := f.good()
			return failed || version == "v2" && f.rng.Float64() < share, took
		}
	}
	slow := func(share, factor float64) behaviour {
		return func(f *testFleet, version, _ string, _ time.Duration, _ bool) (bool, time.Duration) {
			failed, took := f.good()
			if version == "v2" && f.rng.Float64() < share {
				took = time.Duration(float64(took) * factor)
			}
			return failed, took
		}
	}
	tests := map[string]struct {
		behave behaviour
		rate   int
		want   string
	}{
		"good":          {behave: failing(0), rate: 1000, want: completed},
		"good, no load": {behave: failing(0), rate: 100, want: completed},
		"all fail":      {behave: failing(1), rate: 1000, want: rolledBack},
		"10 % fail":     {behave: failing(0.1), rate: 1000, want: rolledBack},
		"slow":          {behave: slow(1, 5), rate: 1000, want: rolledBack},
		"a third slow":  {behave: slow(0.33, 8), rate: 1000, want: rolledBack},
		"one route": {rate: 1000, want: rolledBack, behave: func(f *testFleet, version, route string, e time.Duration, c bool) (bool, time.Duration) {
			return failing(map[bool]float64{true: 0.5}[route == "/b"])(f, version, route, e, c)
		}},
		"late": {rate: 1000, want: rolledBack, behave: func(f *testFleet, version, route string, e time.Duration, c bool) (bool, time.Duration) {
			return failing(map[bool]float64{true: 0.4}[e > 8*time.Second])(f, version, route, e, c)
		}},
		"under load": {rate: 4000, want: rolledBack, behave: func(f *testFleet, version, route string, e time.Duration, c bool) (bool, time.Duration) {
			return failing(map[bool]float64{true: 0.7}[c])(f, version, route, e, c)
		}},
		"old fails as well": {rate: 1000, want: completed, behave: func(f *testFleet, _, _ string, _ time.Duration, _ bool) (bool, time.Duration) {
			failed, took := f.good()
			return failed || f.rng.Float64() < 0.2, took
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(t *testing.T) {
				f := newFleet(t, 1, 8, 4, 4)
				f.rate = test.rate
				f.behave = func(version, route string, e time.Duration, c bool) (bool, time.Duration) {
					return test.behave(f, version, route, e, c)
				}
				f.run(time.Second)
				f.all, f.refused = 0, 0
				f.order(1, "v2", testOver)
				f.run(testOver)
				qt.Check(t, f.state(), qt.Equals, test.want)
				qt.Check(t, f.refused <= f.all/100, qt.IsTrue, qt.Commentf("%d of %d refused", f.refused, f.all))
				if test.want == rolledBack {
					f.run(testBack)
					qt.Check(t, f.exposed() <= 0, qt.IsTrue, qt.Commentf("%d of %d went to the new version", f.toNew, f.all))
					qt.Check(t, f.lateNew, qt.Equals, 0)
				}
				t.Logf("%d of %d went to the new version, %d bad; %d refused; last at %v", f.toNew, f.all, f.badNew, f.refused, f.lastNew.Sub(f.ordered))
			})
		})
	}
}

// TestLongWindow guards against a fault late in a long window that is hidden by the good
// responses before it, and against polls that grow with the window.
func TestLongWindow(t *testing.T) {
	for name, slow := range map[string]bool{"failures": false, "slow": true} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(t *testing.T) {
				f := newFleet(t, 7, 6, 2, 2)
				f.rate = 500
				f.behave = func(version, _ string, e time.Duration, _ bool) (bool, time.Duration) {
					failed, took := f.good()
					if version == "v2" && e > time.Minute && slow {
						took = 8*took + 200*time.Millisecond
					} else if version == "v2" && e > time.Minute {
						failed = true
					}
					return failed, took
				}
				f.order(1, "v2", 2*time.Minute)
				f.run(time.Minute)
				f.badNew, f.badAt = 0, time.Time{}
				f.run(12 * time.Second)
				qt.Check(t, f.state(), qt.Equals, rolledBack)
				qt.Check(t, f.lateNew, qt.Equals, 0)
				qt.Check(t, f.lastNew.Sub(f.ordered) < 67*time.Second, qt.IsTrue, qt.Commentf("last at %v", f.lastNew.Sub(f.ordered)))
				evidence := f.node("old-0").manager.rollouts[testService].recorder.snapshot()
				qt.Check(t, len(evidence.Slices) <= sliceCount, qt.IsTrue)
			})
		})
	}
}

// TestCandidatesLost guards against a promotion to a version whose hosts are gone.
func TestCandidatesLost(t *testing.T) {
	inFleet(t, func(t *testing.T) {
		f := newFleet(t, 8, 4, 2, 2)
		f.order(1, "v2", testOver)
		f.run(11550 * time.Millisecond)
		for _, n := range f.nodes {
			if n.host.Version == "v2" {
				f.kill(n)
			}
		}
		f.sync()
		f.run(2 * time.Second)
		qt.Check(t, f.state(), qt.Equals, rolledBack)
		f.refused = 0
		f.run(time.Second)
		qt.Check(t, f.refused, qt.Equals, 0)
	})
}
