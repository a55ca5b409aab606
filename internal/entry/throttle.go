package entry

import (
	"net/http"
	"time"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/pkg/verdict"
)

// fanOutMultiplier is the ratio of sent to accepted calls above which the throttle
// starts to refuse calls, if backend servers pass on no call tokens. It is lower than
// the default of 2 because a call may make many nested calls: when one of them is
// refused, the work of all of them is wasted.
const fanOutMultiplier = 1.1

// throttleKind returns the kind by which the throttle groups calls. If NoCallTokens
// is set, the kind has no client account, because nested calls then belong to none.
func (e *Entry) throttleKind(x *activeCall) balance.CallKind {
	throttleKind := balance.CallKind{Route: x.request.Route, Account: x.request.Account, Urgency: x.request.Urgency}
	if e.config.NoCallTokens {
		throttleKind.Account = ""
	}
	return throttleKind
}

// checkThrottle returns an error if the nested calls of this call are likely to be
// refused, and nil otherwise.
func (e *Entry) checkThrottle(x *activeCall) error {
	if e.config.DisableThrottle {
		return nil
	}
	return e.throttle.Admit(e.throttleKind(x), time.Now())
}

// reportToParent reports the outcome of a nested call to its parent.
func (e *Entry) reportToParent(x *activeCall, parent *owner.Parent, err error) {
	if err != nil || x.answer == nil || x.answer.Status >= http.StatusInternalServerError {
		parent.NoteFailed()
	} else {
		parent.NoteServed()
	}
	if x.refusedForOverload(err) {
		parent.NoteRefused(e.refusedByLevel(x, err))
	}
}

// refusedForOverload reports whether the call or one of its nested calls was refused
// because of overload.
func (x *activeCall) refusedForOverload(err error) bool {
	if err == nil {
		return x.answer != nil && x.answer.RefusedBeneath
	}
	switch verdict.From(err).Code {
	case verdict.Overloaded, verdict.ColdStart, verdict.BackendRefused:
		return true
	}
	return false
}
