package entry

import (
	"net/http"
	"time"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/pkg/verdict"
)

// fanOutMultiplier is the throttle's Multiplier if backend servers pass on no call
// tokens. It is lower than the default of 2 because a call may make many nested
// calls, and one that is refused wastes the work of all.
const fanOutMultiplier = 1.1

// throttleKind returns the key by which the throttle groups calls. Without call
// tokens the client account is left out, because nested calls then belong to none.
func (e *Entry) throttleKind(x *exchange) balance.CallKind {
	throttleKind := balance.CallKind{Route: x.request.Route, Account: x.request.Account, Urgency: x.request.Urgency}
	if e.config.NoCallTokens {
		throttleKind.Account = ""
	}
	return throttleKind
}

// checkThrottle returns an error if the nested calls of this call are likely to be
// refused, and else nil.
func (e *Entry) checkThrottle(x *exchange) error {
	if e.config.DisableThrottle {
		return nil
	}
	return e.throttle.Admit(e.throttleKind(x), time.Now())
}

// reportToParent reports the outcome of a nested call to its parent.
func (x *exchange) reportToParent(parent *owner.Parent, err error) {
	if err != nil || x.answer == nil || x.answer.Status >= http.StatusInternalServerError {
		parent.NoteFailed()
	} else {
		parent.NoteServed()
	}
	if x.refusedForOverload(err) {
		parent.NoteRefused()
	}
}

// refusedForOverload reports whether the call or one of its nested calls was refused
// because of overload.
func (x *exchange) refusedForOverload(err error) bool {
	if err == nil {
		return x.answer != nil && x.answer.RefusedBeneath
	}
	switch verdict.From(err).Code {
	case verdict.Overloaded, verdict.ColdStart, verdict.BackendRefused:
		return true
	}
	return false
}
