package entry

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/pkg/verdict"
)

// TestHedgeVerdict combines the results of a call and its hedge. The call may have run
// unless both are known not to have run; an attempt that goes on is judged later.
func TestHedgeVerdict(t *testing.T) {
	notRun := &sendResult{err: verdict.New(verdict.NotRun, verdict.PeerUnreachable, "")}
	refused := &sendResult{answer: &call.Answer{Err: verdict.New(verdict.NotRun, verdict.Overloaded, "")}}
	mayHaveRun := &sendResult{err: verdict.New(verdict.MayHaveRun, verdict.PeerExchangeBroken, "")}
	goesOn := &sendResult{err: errors.Join(errPending, mayHaveRun.err)}
	tests := map[string]struct {
		primary, hedge *sendResult
		want           bool
	}{
		"no hedge":                       {notRun, nil, false},
		"neither ran":                    {refused, notRun, false},
		"hedge may have run":             {refused, mayHaveRun, true},
		"primary may have run":           {mayHaveRun, refused, true},
		"primary goes on, hedge not run": {goesOn, refused, false},
		"primary goes on, hedge may run": {goesOn, mayHaveRun, true},
		"both go on":                     {goesOn, goesOn, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var e Entry
			var x activeCall
			x.noteHedge(test.primary, test.hedge)
			chosen := e.chooseResult(test.primary, test.hedge)
			goesOn := errors.Is(chosen.err, errPending)
			qt.Check(t, x.mayHaveRun || (chosen.mayHaveRun() && !goesOn), qt.Equals, test.want)
		})
	}
}
