package claim

import (
	"context"
	"sync/atomic"

	"curranthold.example/curranthold/pkg/verdict"
)

// Claim is the right of one arrival to run its request.
type Claim struct {
	id       ID
	arbiter  arbiter
	claimer  *Claimer
	finished atomic.Bool
}

// arbiter reaches what decides on the claims of one request: the ticket's issuer or
// the table.
type arbiter interface {
	// finish makes one attempt to record the end of a claim. It is idempotent.
	finish(ctx context.Context, id ID, e claimEnd) error
	// local reports whether finish completes within this process.
	local() bool
}

// claimEnd is how a claim ended.
type claimEnd struct {
	state state
	// status is the HTTP status of the response, if the request ran.
	status int
	// revoke is set when it is unknown whether the claim was granted. The arbiter
	// then makes sure that a delayed message or write does not grant it later.
	revoke bool
}

// Finish reports the end of the claim. Only the first call counts.
//
// NotRun releases the claim, so that a later arrival may run. Callers must pass it
// only if no backend server has run the request or ever will. Ran records the
// status for later arrivals. MayHaveRun leaves the claim held, so that no later arrival
// may run (see the package comment for how long).
//
// Finish delivers a release before it returns. If that fails, it returns a
// [DeferredError], and delivery continues in the background for a limited time. An
// end with the verdict Ran is delivered in the background from the start, unless the
// arbiter is in this process. If an end is never delivered, the claim stays
// held, so that the request does not run twice.
func (cl *Claim) Finish(ctx context.Context, v verdict.Verdict, status int) error {
	if cl.finished.Swap(true) || v == verdict.MayHaveRun {
		return nil
	}
	e := claimEnd{state: released}
	if v == verdict.Ran {
		e = claimEnd{state: done, status: status}
	}
	if e.state == released || cl.arbiter.local() {
		err := cl.finishOnce(ctx, e)
		if err == nil {
			return nil
		}
		if deliverErr := cl.claimer.deliver(cl.arbiter, cl.id, e); deliverErr != nil {
			return deliverErr
		}
		return &DeferredError{cause: err}
	}
	return cl.claimer.deliver(cl.arbiter, cl.id, e)
}

func (cl *Claim) finishOnce(ctx context.Context, e claimEnd) error {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	return cl.arbiter.finish(ctx, cl.id, e)
}

// DeferredError means that the first attempt to deliver the end of a claim failed,
// and that delivery continues in the background.
type DeferredError struct {
	cause error
}

// Error implements error.
func (e *DeferredError) Error() string {
	return "claim: the end of the claim is not delivered yet, retrying in the background: " + e.cause.Error()
}

// Unwrap returns the error of the first attempt.
func (e *DeferredError) Unwrap() error { return e.cause }
