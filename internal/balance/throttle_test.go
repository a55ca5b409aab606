package balance_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// TestThrottle makes 100 calls a second to an overloaded downstream service for 4
// seconds, of which the first second is not measured, and then lets the service accept
// all calls for 5 s. Calls of another account must never be refused.
func TestThrottle(t *testing.T) {
	const (
		minGoodput   = 0.9  // fraction of the downstream service's capacity that must be used
		queueSeconds = 0.16 // seconds of work that the service queues, as in package admission
		minQueue     = 4    // smallest queue length of the service, in calls
	)
	tests := map[string]struct {
		capacity           float64 // calls a second that the downstream service can accept
		maxSentPerAccepted float64 // largest allowed number of calls sent for each accepted call
	}{
		"nothing refused": {capacity: 100, maxSentPerAccepted: 1},
		"half refused":    {capacity: 50, maxSentPerAccepted: 2},
		"most refused":    {capacity: 10, maxSentPerAccepted: 2.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			throttle := balance.Throttle{Random: rand.New(rand.NewPCG(seed, seed)).Float64}
			kind, other := balance.CallKind{Route: "rota", Account: "a"}, balance.CallKind{Route: "rota", Account: "b"}
			now := time.Unix(1_000_000, 0)
			start, overloadEnd := now, now.Add(4*time.Second)
			var sent, accepted, tokens float64
			var lastRefusal time.Time
			for ; now.Before(overloadEnd.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
				qt.Assert(t, throttle.Admit(other, now), qt.IsNil)
				tokens = math.Min(tokens+test.capacity/100, math.Max(test.capacity*queueSeconds, minQueue))
				if err := throttle.Admit(kind, now); err != nil {
					qt.Assert(t, verdict.Of(err), qt.Equals, verdict.NotRun)
					lastRefusal = now
					continue
				}
				accepts := now.After(overloadEnd) || tokens >= 1
				throttle.Observe(kind, !accepts, now)
				if now.After(overloadEnd) || now.Sub(start) < time.Second {
					tokens = math.Max(tokens-1, 0)
					continue
				}
				sent++
				if accepts {
					accepted++
					tokens--
				}
			}
			t.Logf("seed %d: %.0f calls sent, %.0f accepted, last refusal %v after the end of the overload", seed, sent, accepted, lastRefusal.Sub(overloadEnd))
			qt.Check(t, sent <= test.maxSentPerAccepted*accepted, qt.IsTrue)
			qt.Check(t, accepted >= minGoodput*3*test.capacity, qt.IsTrue)
			qt.Check(t, lastRefusal.Before(overloadEnd.Add(5*time.Second)), qt.IsTrue)
		})
	}
}

func BenchmarkThrottle(b *testing.B) {
	for name, refused := range map[string]bool{"idle": false, "active": true} {
		b.Run(name, func(b *testing.B) {
			var throttle balance.Throttle
			kind := balance.CallKind{Route: "rota", Account: "a", Urgency: object.Normal}
			now := time.Now()
			throttle.Observe(kind, refused, now)
			b.ReportAllocs()
			for b.Loop() {
				_ = throttle.Admit(kind, now)
				throttle.Observe(kind, false, now)
			}
		})
	}
}
