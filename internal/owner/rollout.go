package owner

import (
	"context"
	"time"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/kernel"
	"curranthold.example/curranthold/pkg/verdict"
)

// Rollout decides whether the backend server takes calls while its service moves to
// another version, and is told how the backend server responds.
type Rollout interface {
	// Refusal reports whether the backend server takes no new calls: because its version
	// is not in use (leaving), or because its traffic moves to another version.
	Refusal() (leaving, superseded bool)
	// IsCandidate reports whether the version of the backend server is not in force.
	IsCandidate() bool
	// Record records a response. Took excludes the time of nested calls.
	Record(route string, failed bool, took time.Duration)
}

// rolloutStage refuses a call if a rollout says so. It comes before admission and once
// more after it, because the phase of a rollout may change while a call waits.
func rolloutStage(o *Owner) kernel.Stage[*activeCall] {
	return func(ctx context.Context, c *activeCall, next kernel.Handler[*activeCall]) error {
		if err := o.rolloutRefusal(c); err != nil {
			metricRefusedRollout.Add(1)
			return err
		}
		return next(ctx, c)
	}
}

// rolloutRefusal returns an error if a rollout says that the backend server does not
// take the call.
func (o *Owner) rolloutRefusal(c *activeCall) error {
	if o.config.Rollout == nil {
		return nil
	}
	c.leaving, c.superseded = o.config.Rollout.Refusal()
	switch {
	case c.leaving:
		return verdict.New(verdict.NotRun, verdict.Leaving, "the version of this backend server is not in use")
	case c.superseded:
		return verdict.New(verdict.NotRun, verdict.Leaving, "the calls of %s move to another version", c.request.Service)
	case !c.request.Candidate && o.config.Rollout.IsCandidate():
		return verdict.New(verdict.NotRun, verdict.Leaving, "the version of this backend server is not in force")
	}
	return nil
}

// load returns the load hint for the answer to a call. It does not ask the rollout again
// about a call that it refused, because it counts what it refuses.
func (o *Owner) load(c *activeCall) admission.Load {
	l := o.config.Admission.Load()
	if o.config.Rollout != nil {
		if !c.leaving && !c.superseded {
			c.leaving, c.superseded = o.config.Rollout.Refusal()
		}
		l.Leaving = l.Leaving || c.leaving
		l.Superseded = c.superseded
	}
	return l
}

// recordResponse tells the rollout how the backend server responded to an admitted call.
// Calls that were not offered to it, that it refused, or that failed because of nested
// calls say nothing about its version. A call that its entry gave up counts with the
// time until then: a hedge ends just the slow calls, which must not go uncounted.
func (o *Owner) recordResponse(c *activeCall, outcome admission.Outcome) {
	if o.config.Rollout == nil || c.parent == nil || !c.answer.Offered {
		return
	}
	took, waitsForNested := c.permit.OwnTime()
	failed := outcome == admission.Failed || outcome == admission.Broken
	complete := outcome == admission.Succeeded || outcome == admission.Failed
	switch {
	case outcome == admission.Refused || outcome == admission.FailedNested:
		return
	case !complete && (waitsForNested || c.parent.failed.Load()):
		return
	}
	o.config.Rollout.Record(c.request.Route, failed, took)
}
