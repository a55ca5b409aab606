package admission_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
)

// coldResults holds the measurements of a cold start.
type coldResults struct {
	crashes       int           // of the backend server because of overload
	refusals      int           // requests refused by the backend server
	worstOverload float64       // ratio of running requests to the number that it could handle
	recovery      time.Duration // from the reset to the arrival of the last unanswered request
	answered      float64       // share of the requests that were answered
}

// measureCold resets the backend server under a load of 0.7 times its capacity.
func measureCold(t *testing.T, breaks, refuses bool, config admission.Config, resetAt time.Duration, warm bool) coldResults {
	var f coldResults
	const end = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(*surgeSeed, *surgeSeed))
		b := newBackend(slots)
		b.refuses = refuses
		c := admission.New(config)
		defer c.Close()
		c.Announce(admission.Announcement{Slots: slots, Incarnation: "one", Warm: warm})
		time.AfterFunc(resetAt, func() { b.reset(breaks) })
		rates := map[string]float64{"a": 100, "b": 200, "c": 300, "greedy": 100}
		calls := load{accounts: rates, to: end, work: work}.calls(random)
		run(c, b, calls)
		for _, one := range calls {
			if one.answered > 0 {
				f.answered += 1 / float64(len(calls))
			} else if one.at > resetAt {
				f.recovery = max(f.recovery, one.at-resetAt)
			}
		}
		f.crashes, f.refusals, f.worstOverload = b.crashes, b.refusals, b.worstOverload
	})
	return f
}

// TestSilentColdStart measures a cold start that is not announced, for backend
// servers that react in different ways, with and without the mechanisms that
// handle it.
func TestSilentColdStart(t *testing.T) {
	tests := map[string]struct{ breaks, refuses bool }{
		"resets connections":          {breaks: true},
		"becomes slow":                {},
		"refuses":                     {refuses: true},
		"resets connections, refuses": {breaks: true, refuses: true},
	}
	variants := map[string]admission.Mechanism{
		"all mechanisms":           0,
		"no refusal cut":           admission.RefusalCut,
		"no silent cold detection": admission.SilentColdDetection,
		"fixed limit":              admission.ColdRamp | admission.RefusalCut | admission.SilentColdDetection,
	}
	for name, test := range tests {
		for variant, disabled := range variants {
			t.Run(name+"/"+variant, func(t *testing.T) {
				f := measureCold(t, test.breaks, test.refuses, admission.Config{Disabled: disabled}, 6*time.Second, false)
				t.Logf("%s, %s: seed %d: crashes %d, refusals %d, worst overload %.1f, recovery %v, answered %.3f",
					name, variant, *surgeSeed, f.crashes, f.refusals, f.worstOverload, f.recovery, f.answered)
				if disabled == 0 {
					qt.Check(t, f.crashes, qt.Equals, 0)
					qt.Check(t, f.recovery <= 5*time.Second, qt.IsTrue)
				}
			})
		}
	}
}

// TestStallKeepsLimit checks that short stalls of the host do not lower the
// limit while it rises. Now and then, all requests that run at once are slow.
func TestStallKeepsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const atOnce, rounds, ordinary, stalled = 8, 2000, 2 * time.Millisecond, 50 * time.Millisecond
		c := admission.New(admission.Config{})
		defer c.Close()
		c.Announce(admission.Announcement{Slots: 64, Incarnation: "one"})
		limit := 0
		for round := range rounds {
			took := ordinary
			if round%20 < 2 && round > 20 { // two rounds in a row
				took = stalled
			}
			var group sync.WaitGroup
			for range atOnce {
				group.Go(func() {
					permit, err := c.Acquire(t.Context(), admission.Request{})
					qt.Check(t, err, qt.IsNil)
					time.Sleep(took)
					permit.Done(admission.Succeeded)
				})
			}
			group.Wait()
			qt.Assert(t, c.Load().Limit >= limit, qt.IsTrue, qt.Commentf("round %d", round))
			limit = c.Load().Limit
		}
	})
}

// TestAnnouncedColdStart checks that the limit stays at its minimum while the
// backend server announces each second that it is cold, but not indefinitely if
// its requests succeed in time.
func TestAnnouncedColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := admission.New(admission.Config{})
		defer c.Close()
		const floor = 2
		for second := range 20 {
			c.Announce(admission.Announcement{Slots: 40, Cold: true, Incarnation: "one"})
			saturate(t, c, time.Second)
			if second < 8 {
				qt.Assert(t, c.Load().Limit, qt.Equals, floor)
			}
		}
		qt.Assert(t, c.Load().Limit > floor, qt.IsTrue)
	})
}
