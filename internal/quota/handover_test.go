package quota

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/pkg/verdict"
)

// delayedHome answers the first idleAnswers requests for tokens without a loan,
// and lends after that.
type delayedHome struct {
	idleAnswers int
	err         error
}

func (h *delayedHome) Call(_ context.Context, _, _ string, args, reply any) error {
	out, ok := reply.(*BorrowReply)
	if !ok || h.err != nil {
		return h.err
	}
	result := BorrowResult{Minting: h.idleAnswers <= 0, Empty: maxEmptyDuration}
	if result.Minting {
		need := args.(*BorrowArgs).Items[0].Need
		result.Loans = []Loan{{ID: 1, Count: need, Life: time.Second}}
	}
	h.idleAnswers--
	*out = BorrowReply{HomeIncarnation: 1, Results: []BorrowResult{result}}
	return nil
}

// TestHandover takes a token while the delegation of the host's fraction is on
// its way to the home, and checks that a refusal names the right cause.
func TestHandover(t *testing.T) {
	tests := map[string]struct {
		home       delayedHome
		handedOver bool
		want       verdict.Code
		says       string
	}{
		"the home has no delegation yet": {home: delayedHome{idleAnswers: 2}, handedOver: true},
		"nothing is handed over":         {home: delayedHome{idleAnswers: 9}, want: verdict.QuotaUnavailable, says: "holds no tokens"},
		"the home gets no delegation":    {home: delayedHome{idleAnswers: 9}, handedOver: true, want: verdict.QuotaUnavailable, says: "holds no tokens"},
		"the home doesn't answer":        {home: delayedHome{err: peer.ErrBroken}, want: verdict.QuotaUnavailable, says: "can be reached"},
		"no answer after a handover":     {home: delayedHome{err: peer.ErrBroken}, handedOver: true, want: verdict.QuotaUnavailable, says: "can be reached"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := New(Config{Host: "own", Zone: "z", Peers: &test.home})
				m.SetAccounts(map[string]Limit{"a": {Rate: 1, Burst: 1}})
				m.SetHosts([]Host{{ID: "home", Zone: "z", Address: "home"}})
				if test.handedOver {
					m.accounts["a"].startRefilling(m.now(), 1)
					m.accounts["a"].stopRefilling(m.now(), m.now().Add(time.Hour))
				}
				err := m.Spend(t.Context(), "a")
				if test.want == "" {
					qt.Assert(t, err, qt.IsNil)
					return
				}
				qt.Assert(t, verdict.From(err).Code, qt.Equals, test.want)
				qt.Assert(t, strings.Contains(err.Error(), test.says), qt.IsTrue, qt.Commentf("%v", err))
			})
		})
	}
}
