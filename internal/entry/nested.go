package entry

import (
	"context"
	"net/http"
	"time"

	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/pkg/verdict"
)

// callerDropTime is how long after the end of its parent a nested call goes on, so that
// the backend server can close it. An answer of this node in its place would be taken for
// a failure of a call that was still running.
const callerDropTime = 50 * time.Millisecond

// findInferredParent returns the running call with the given request ID. It returns
// nil if no such call is running on this host or if NoCallTokens is not set.
func (e *Entry) findInferredParent(requestID string) *owner.Parent {
	if requestID == "" || !e.config.NoCallTokens {
		return nil
	}
	parent, _ := e.config.Owner.Parent(requestID)
	return parent
}

func (e *Entry) serveNested(w http.ResponseWriter, r *http.Request) {
	x, err := e.readRequest(w, r)
	if err == nil {
		err = e.runNested(r, x)
	}
	e.writeAnswer(w, x, x.callerError(err))
}

// runNested handles a call nested in the running call whose token it presents, with which
// it ends (see nestedContext).
func (e *Entry) runNested(r *http.Request, x *activeCall) error {
	parent, ok := e.config.Owner.Parent(callToken(r))
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CallTokenRefused,
			"no call with this token is running on this host")
	}
	inherit(x, parent)
	defer parent.BeginNested()()
	ctx, cancel := e.nestedContext(r.Context(), parent)
	defer cancel()
	err := e.nested(ctx, x)
	e.reportToParent(x, parent, err)
	return err
}

// nestedContext returns the context of a nested call. It ends when the backend server
// closes the request, whose context is ctx, at the parent's deadline, and callerDropTime
// after the parent ended otherwise, unless this node leaves.
func (e *Entry) nestedContext(ctx context.Context, parent *owner.Parent) (context.Context, context.CancelFunc) {
	deadline, ok := parent.Context().Deadline()
	if !ok {
		deadline = time.Now().Add(maxTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	stop := e.cancelAfterParent(ctx, parent, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// cancelAfterParent calls cancel callerDropTime after the parent has ended, unless ctx ends
// before or this node leaves. If the parent's request still runs in another call on this
// host, that call may be the one that made the nested call, so it counts as the parent.
func (e *Entry) cancelAfterParent(ctx context.Context, parent *owner.Parent, cancel context.CancelFunc) (stop func() bool) {
	return context.AfterFunc(parent.Context(), func() {
		time.AfterFunc(callerDropTime, func() {
			other := e.findInferredParent(parent.Request().RequestID)
			switch {
			case ctx.Err() != nil || e.leaving.Load():
			case other != nil && other.Context().Err() == nil:
				_ = e.cancelAfterParent(ctx, other, cancel)
			default:
				cancel()
			}
		})
	})
}

// inherit sets the properties that a nested call takes over from its parent.
func inherit(x *activeCall, parent *owner.Parent) {
	parentRequest := parent.Request()
	x.parent = parent
	x.budget = parent.Budget()
	x.request.RequestID = parent.NestedID()
	x.request.Account = parentRequest.Account
	x.request.KeyName = parentRequest.KeyName
	x.request.Weight = parentRequest.Weight
	x.request.Urgency = parentRequest.Urgency
	x.request.Depth = parentRequest.Depth + 1
	x.request.Repeated = parentRequest.Repeated
	x.request.Progress = parent.Progress()
	x.request.AdmitProbability = parentRequest.AdmitProbability
}
