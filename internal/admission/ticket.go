package admission

import (
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/pkg/object"
)

// Outcome is how the exchange with the backend server ended.
type Outcome uint8

// The outcomes of an exchange.
const (
	// Succeeded means that the backend server answered without a server error.
	Succeeded Outcome = iota
	// Failed means that it answered with a server error of its own.
	Failed
	// FailedNested means that it answered with a server error after one of its
	// nested calls had failed.
	FailedNested
	// Refused means that it explicitly refused the request, because it was
	// overloaded or in cold start.
	Refused
	// Broken means that the exchange timed out or that the connection was
	// reset.
	Broken
	// Abandoned means that this side ended the exchange, or never started it,
	// for a reason that does not depend on the backend server.
	Abandoned
	outcomeCount = iota
)

var outcomeNames = [outcomeCount]string{"succeeded", "failed", "failed-beneath", "refused", "broken", "abandoned"}

// String returns the kebab-case name of the outcome.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return "unknown"
	}
	return outcomeNames[o]
}

// Ticket is the right to run one request on the backend server. [Ticket.Done]
// gives it back. Its methods may be called concurrently.
type Ticket struct {
	controller *Controller
	urgency    object.Urgency
	deadline   time.Time
	start      time.Time
	// concurrency is the number of requests running when this one started,
	// including itself.
	concurrency int
	done        atomic.Bool

	// The fields below are guarded by the controller's mutex. nested is the
	// number of nested calls that the request is waiting for, and nestedTime
	// the time it waited for earlier ones.
	nested      int
	nestedStart time.Time
	nestedTime  time.Duration
	prev, next  *Ticket
}

// BeginNested records that the request started to wait for a nested call. The
// time spent waiting for nested calls does not count as time of the backend
// server, so that a slow service further down does not lower this host's limit.
// Nested calls may overlap.
func (t *Ticket) BeginNested() {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	if t.nested == 0 {
		t.nestedStart = t.controller.now()
	}
	t.nested++
}

// EndNested records that a nested call ended.
func (t *Ticket) EndNested() {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	if t.nested == 0 {
		return
	}
	t.nested--
	if t.nested == 0 {
		t.nestedTime += t.controller.now().Sub(t.nestedStart)
	}
}

// Done records how the exchange ended and frees the slot. Calls after the first
// have no effect.
func (t *Ticket) Done(outcome Outcome) {
	if t.done.Swap(true) {
		return
	}
	t.controller.finish(t, outcome)
}

// sample returns a description of the finished request for the limiter. The
// controller's mutex must be held.
func (t *Ticket) sample(outcome Outcome, remaining int, now time.Time) sample {
	nestedTime := t.nestedTime
	if t.nested > 0 {
		nestedTime += now.Sub(t.nestedStart)
	}
	return sample{
		outcome:          outcome,
		startTime:        t.start,
		took:             now.Sub(t.start) - nestedTime,
		startConcurrency: t.concurrency,
		remaining:        remaining,
		expired:          !t.deadline.IsZero() && !now.Before(t.deadline),
		nested:           t.nested > 0,
	}
}
