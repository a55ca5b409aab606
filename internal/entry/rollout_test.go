package entry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/entry"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// alwaysCandidate implements entry.Rollouts and counts how often it is asked.
type alwaysCandidate struct{ asked int }

func (c *alwaysCandidate) UseCandidate(string) bool {
	c.asked++
	return true
}

// TestRetriesAvoidCandidates guards against a retry that goes to the version on which the
// call failed, and against calls to a candidate that its owner refuses because they are not
// marked.
func TestRetriesAvoidCandidates(t *testing.T) {
	b := balance.New(balance.Config{Zone: "a"})
	b.SetHosts(map[string][]balance.Host{"peals": {
		{ID: "old", Zone: "a", Address: "old", Slots: 10},
		{ID: "new-1", Zone: "a", Address: "new", Slots: 10, Candidate: true},
		{ID: "new-2", Zone: "a", Address: "new", Slots: 10, Candidate: true},
	}})
	var marked []bool
	p := &fakePeers{answer: func(n int64, request *call.Request) (*call.Answer, error) {
		marked = append(marked, request.Candidate)
		if n == 1 {
			return refusal(verdict.MayHaveRun, verdict.BackendBroken), nil
		}
		return ok(), nil
	}}
	rollouts := new(alwaysCandidate)
	e, err := entry.New(entry.Config{
		Host: "own", Configuration: newReplica(t, map[string]object.Spec{
			"peals":   object.ServiceSpec{},
			"lookups": object.RouteSpec{PathPrefix: "/lookups", Service: "peals", Urgency: object.Normal, Open: true},
		}),
		Balancer: b, Peers: p, Owner: noOwner{}, DefaultTimeout: 5 * time.Second, ExtraAttempts: 3, Rollouts: rollouts,
	})
	qt.Assert(t, err, qt.IsNil)
	recorder := httptest.NewRecorder()
	e.CallerHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/lookups", nil))
	qt.Check(t, recorder.Code, qt.Equals, http.StatusOK)
	qt.Check(t, marked, qt.DeepEquals, []bool{true, false})
	qt.Check(t, rollouts.asked, qt.Equals, 1)
}
