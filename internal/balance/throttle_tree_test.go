package balance_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/balance"
)

// callTree is a root request that makes nested calls to a downstream service, one after
// the other.
type callTree struct {
	throttle  *balance.Throttle
	nextCall  time.Time
	callsDone int
}

// simulateCallTrees simulates 20 s of root requests, each of which needs all of its
// nested calls to succeed. It returns how many root requests were completed, and how
// many were admitted and then failed.
func simulateCallTrees(multiplier float64, callers int) (completed, wasted int) {
	const (
		step           = time.Millisecond
		rootsPerSecond = 40.0
		callsPerRoot   = 10    // nested calls of each root request
		capacity       = 200.0 // nested calls a second that the downstream service accepts, half of what is needed
		queueSeconds   = 0.16  // seconds of work that the downstream service queues
		callGap        = 20 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(7, 7))
	throttles := make([]*balance.Throttle, callers)
	for i := range throttles {
		throttles[i] = &balance.Throttle{Random: random.Float64, Multiplier: multiplier}
	}
	kind := balance.CallKind{Route: "rota"}
	now := time.Unix(1_000_000, 0)
	tokens := capacity * queueSeconds
	var active []*callTree
	for range 20_000 {
		now = now.Add(step)
		tokens = math.Min(tokens+capacity*step.Seconds(), capacity*queueSeconds)
		throttle := throttles[random.IntN(callers)]
		if random.Float64() < rootsPerSecond*step.Seconds() && throttle.Admit(kind, now) == nil {
			active = append(active, &callTree{nextCall: now, throttle: throttle})
		}
		unfinished := active[:0]
		for _, t := range active {
			switch {
			case now.Before(t.nextCall):
				unfinished = append(unfinished, t)
			case tokens < 1:
				wasted++
				t.throttle.Observe(kind, true, now)
			case t.callsDone+1 == callsPerRoot:
				tokens--
				completed++
				t.throttle.Observe(kind, false, now)
			default:
				tokens--
				t.callsDone++
				t.nextCall = now.Add(callGap)
				unfinished = append(unfinished, t)
			}
		}
		active = unfinished
	}
	return completed, wasted
}

// TestThrottleCallTrees simulates twice the load that a downstream service can accept.
// A small Multiplier must complete at least as many root requests as the default, and
// far fewer may fail after they were admitted.
func TestThrottleCallTrees(t *testing.T) {
	defaultCompleted, defaultWasted := simulateCallTrees(2, 1)
	completed, wasted := simulateCallTrees(1.1, 1)
	t.Logf("completed %d and wasted %d, with the default multiplier %d and %d", completed, wasted, defaultCompleted, defaultWasted)
	qt.Check(t, completed >= defaultCompleted, qt.IsTrue)
	qt.Check(t, float64(wasted) <= 0.45*float64(defaultWasted), qt.IsTrue)
}
