package entry

import (
	"cmp"
	"context"
	"time"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/kernel"
	"curranthold.example/curranthold/internal/treeadmit"
	"curranthold.example/curranthold/pkg/verdict"
)

// treeStage refuses a root request if a service of its call tree lacks capacity for it.
// It precedes the quota stage, so that a refusal costs no quota. Only the entry of the
// root request decides: a refused nested call wastes the work of its ancestors.
func treeStage(e *Entry) kernel.Stage[*activeCall] {
	return func(ctx context.Context, x *activeCall, next kernel.Handler[*activeCall]) error {
		if x.inferredParent != nil || x.request.Depth > 0 {
			return next(ctx, x)
		}
		deadline, _ := ctx.Deadline()
		probability, err := e.tree.Admit(x.request.Route, x.request.Urgency, deadline, time.Now())
		if err != nil {
			return err
		}
		x.request.AdmitProbability = probability
		return next(ctx, x)
	}
}

// observeLevel records the admission level that an answer reports: for the route, and at
// the parent of a nested call.
func (e *Entry) observeLevel(x *activeCall, answer *call.Answer, now time.Time) {
	if !e.config.TreeAdmission {
		return
	}
	if answer.Load.Slots > 0 { // A host without a backend server reports no level.
		e.noteLevelled(x.request.Service, answer.Load.Levelled)
	}
	closed, ok := treeadmit.Reported(answer.Load, answer.ClosedBeneath)
	if !ok {
		return
	}
	e.tree.Report(x.request.Route, closed, now)
	if parent := cmp.Or(x.parent, x.inferredParent); parent != nil {
		parent.NoteLevel(x.request.Service, closed, now)
	}
}

// demandCounted reports whether the host has counted a call that it refused as demand.
func (e *Entry) demandCounted(host string, failure *verdict.Error) bool {
	return e.config.TreeAdmission && host != "" && failure.Code == verdict.Overloaded
}

// noteLevelled records whether the service reports admission levels.
func (e *Entry) noteLevelled(service string, levelled bool) {
	_, known := e.levelled.Load(service)
	switch {
	case levelled && !known:
		e.levelled.Store(service, nil)
	case !levelled && known:
		e.levelled.Delete(service)
	}
}

// refusedForThrottle reports whether the throttle has to take the answer for one whose
// nested calls were refused.
func (e *Entry) refusedForThrottle(answer *call.Answer) bool {
	return answer.RefusedBeneath && (!e.config.TreeAdmission || !answer.RefusedByLevel)
}

// refusedByLevel reports whether the services that refused the call, or its nested calls,
// because of overload report admission levels.
func (e *Entry) refusedByLevel(x *activeCall, err error) bool {
	if !e.config.TreeAdmission {
		return false
	}
	if err == nil {
		return x.answer.RefusedByLevel
	}
	_, levelled := e.levelled.Load(x.request.Service)
	return levelled
}
