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

// Permit is the right to run one request on the backend server. [Permit.Done]
// gives it back. Its methods may be called concurrently.
type Permit struct {
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
	prev, next  *Permit
}

// BeginNested records that the request started to wait for a nested call. The
// time spent waiting for nested calls does not count as time of the backend
// server, so that a slow service further down does not lower this host's limit.
// Nested calls may overlap.
func (p *Permit) BeginNested() {
	p.controller.mu.Lock()
	defer p.controller.mu.Unlock()
	if p.nested == 0 {
		p.nestedStart = p.controller.now()
	}
	p.nested++
}

// EndNested records that a nested call ended.
func (p *Permit) EndNested() {
	p.controller.mu.Lock()
	defer p.controller.mu.Unlock()
	if p.nested == 0 {
		return
	}
	p.nested--
	if p.nested == 0 {
		p.nestedTime += p.controller.now().Sub(p.nestedStart)
	}
}

// OwnTime returns the time since the request started, less the time that it waited for
// nested calls, and whether it waits for one now.
func (p *Permit) OwnTime() (took time.Duration, waitsForNested bool) {
	p.controller.mu.Lock()
	defer p.controller.mu.Unlock()
	now := p.controller.now()
	return p.ownTime(now), p.nested > 0
}

// ownTime is OwnTime's first result. The controller's mutex must be held.
func (p *Permit) ownTime(now time.Time) time.Duration {
	nestedTime := p.nestedTime
	if p.nested > 0 {
		nestedTime += now.Sub(p.nestedStart)
	}
	return now.Sub(p.start) - nestedTime
}

// Done records how the exchange ended and frees the slot. Calls after the first
// have no effect.
func (p *Permit) Done(outcome Outcome) {
	if p.done.Swap(true) {
		return
	}
	p.controller.finish(p, outcome)
}

// sample returns a description of the finished request for the limiter. The
// controller's mutex must be held.
func (p *Permit) sample(outcome Outcome, remaining int, now time.Time) sample {
	return sample{
		outcome:          outcome,
		startTime:        p.start,
		took:             p.ownTime(now),
		startConcurrency: p.concurrency,
		remaining:        remaining,
		expired:          !p.deadline.IsZero() && !now.Before(p.deadline),
		nested:           p.nested > 0,
	}
}
