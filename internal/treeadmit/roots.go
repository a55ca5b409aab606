package treeadmit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/metric"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

var (
	routeLimited = event.New(1600, "tree-admission-limited", event.Info,
		"A service in the call tree of a route reports more demand than it can serve; the entry admits root requests on the route by urgency from now on.")
	routeOpen = event.New(1601, "tree-admission-open", event.Info,
		"The entry admits all root requests on a route again.")

	metrics       = metric.NewGroup("treeadmit")
	refusedCount  = metrics.Int("refused-requests")
	admittedCount = metrics.Int("admitted-while-limited-requests")
	limitedGauge  = metrics.Int("limited-routes")
)

// Roots decides which root requests an entry admits. The zero value is ready to use. Its
// methods may be called concurrently.
type Roots struct {
	// Random returns random numbers in [0, 1). It must be safe for concurrent use and
	// must not change after the first call. Nil means math/rand/v2.
	Random func() float64

	// count is the length of routes. While it is 0, calls need not take the lock.
	count  atomic.Int64
	mu     sync.Mutex
	routes map[string]*rootLevel
}

// rootLevel is the level of a route at the entry of its root requests. Credits hold, by
// urgency, the sum of the probabilities of requests since the last admitted one. A request
// is admitted when its credit reaches 1, which spreads the admitted requests more evenly
// than drawing each: they need less of a queue at the service that lacks capacity.
type rootLevel struct {
	level
	credits [object.UrgencyCount]float64
}

func (l *rootLevel) admit(urgency object.Urgency, probability float64) bool {
	l.credits[urgency] += probability
	if l.credits[urgency] < 1 {
		return false
	}
	l.credits[urgency]--
	return true
}

// Report records the level that came with the answer to a call on the route.
func (r *Roots) Report(route string, closed float64, now time.Time) {
	if closed == 0 && r.count.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.routes[route]
	if l == nil {
		if closed == 0 || len(r.routes) >= maxTracked {
			return
		}
		l = r.add(route)
	}
	l.report(closed, now)
	r.closed(route, l, now)
}

func (r *Roots) add(route string) *rootLevel {
	if r.routes == nil {
		r.routes = make(map[string]*rootLevel)
	}
	l := new(rootLevel)
	for u := range l.credits {
		l.credits[u] = r.random() // Entries must not admit their requests in step.
	}
	r.routes[route] = l
	r.count.Store(int64(len(r.routes)))
	limitedGauge.Add(1)
	routeLimited.Log(event.Fields{"route": route})
	return l
}

// closed returns the level of the route, 0 if l is nil. It forgets a level that is as
// good as open. The mutex must be held.
func (r *Roots) closed(route string, l *rootLevel, now time.Time) float64 {
	if l == nil {
		return 0
	}
	if !l.negligible(now) {
		return l.value(now)
	}
	delete(r.routes, route)
	r.count.Store(int64(len(r.routes)))
	limitedGauge.Add(-1)
	routeOpen.Log(event.Fields{"route": route})
	return 0
}

// Limited reports whether the call tree of the route lacks capacity for some requests.
func (r *Roots) Limited(route string, now time.Time) bool {
	if r.count.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed(route, r.routes[route], now) > 0
}

// Admit decides on a root request whose caller waits until the deadline. It returns the
// probability with which the request was admitted, 0 for 1, or a *verdict.Error with
// verdict not-run.
func (r *Roots) Admit(route string, urgency object.Urgency, deadline, now time.Time) (probability float64, err error) {
	if r.count.Load() == 0 {
		return 0, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.routes[route]
	closed := r.closed(route, l, now)
	if closed == 0 {
		return 0, nil
	}
	probability = Probability(closed, urgency)
	if probability >= 1 || l.admit(urgency, probability) {
		admittedCount.Add(1)
		l.awaited = now
		return probability, nil
	}
	refusedCount.Add(1)
	refusal := verdict.New(verdict.NotRun, verdict.Overloaded, "the call tree of route %q lacks capacity for %s requests", route, urgency)
	refusal.Exhausted = true
	refusal.RetryAfterMs = int(r.retryAfter(closed, urgency, deadline.Sub(now)).Milliseconds())
	return 0, refusal
}

// Probability returns the probability with which root requests of the urgency are
// admitted at the given level.
func Probability(closed float64, urgency object.Urgency) float64 {
	open := object.UrgencyCount - closed - float64(urgency)
	return min(max(open, admission.MinAdmitProbability), 1)
}

const (
	// retryShareDivisor divides the time that the caller has left to give the longest
	// delay after which it comes back.
	retryShareDivisor = 3
	// minRetryDelay is the shortest delay that is worth stating.
	minRetryDelay = 5 * time.Millisecond
)

// retryAfter returns the delay after which the caller of a refused request should come
// back, 0 if it has no time for that. Callers come back spread over a third of the time
// that they have left, in which the demand is likely to change. Those of a partly admitted
// urgency come back earlier the more of it is admitted, and those of urgencies far beyond
// the level late.
func (r *Roots) retryAfter(closed float64, urgency object.Urgency, left time.Duration) time.Duration {
	latest := left / retryShareDivisor
	if latest < minRetryDelay {
		return 0
	}
	beyond := max(float64(urgency)-(object.UrgencyCount-closed), 0)
	earliest := float64(latest) * beyond / (beyond + 1)
	span := (float64(latest) - earliest) * (1 - Probability(closed, urgency)/2)
	return max(time.Duration(earliest+r.random()*span), minRetryDelay)
}

func (r *Roots) random() float64 {
	if r.Random != nil {
		return r.Random()
	}
	return rand.Float64()
}
