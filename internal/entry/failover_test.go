package entry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/entry"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// newTokenlessEntry returns an entry whose backend servers pass on no call tokens.
// The hosts are given by service and have the given number of slots each. The
// function configure completes the entry's Config.
func newTokenlessEntry(
	t *testing.T, hosts map[string][]string, slots int, specs map[string]object.Spec, configure func(*entry.Config),
) *entry.Entry {
	byService := make(map[string][]balance.Host)
	for service, ids := range hosts {
		for _, id := range ids {
			byService[service] = append(byService[service], balance.Host{ID: id, Zone: "a", Address: id, Slots: slots})
		}
	}
	balancer := balance.New(balance.Config{Zone: "a"})
	balancer.SetHosts(byService)
	config := entry.Config{
		Host: "own", Configuration: newReplica(t, specs),
		Quota: unlimitedQuota{}, Balancer: balancer, Owner: noOwner{},
		RequestBytes: 64, DefaultTimeout: 5 * time.Second, NoCallTokens: true,
	}
	configure(&config)
	e, err := entry.New(config)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// newTokenlessHandler returns the handler of a tokenless entry with two hosts of a
// service, whose addresses are "gone" and "here".
func newTokenlessHandler(t *testing.T, p peer.Caller) http.Handler {
	return newTokenlessEntry(t, map[string][]string{"peals": {"gone", "here"}}, 10, map[string]object.Spec{
		"peals":   object.ServiceSpec{},
		"lookups": object.RouteSpec{PathPrefix: "/lookups", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 1},
		"twice":   object.RouteSpec{PathPrefix: "/twice", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 2},
		"records": object.RouteSpec{PathPrefix: "/records", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 2, NonRepeatable: true},
	}, func(c *entry.Config) { c.Peers = p }).CallerHandler()
}

// TestWithdrawnHostAvoided has two hosts, one of which has no backend server. Calls
// sent to it must fail over to the other host, and later calls must be sent to the
// other host directly.
func TestWithdrawnHostAvoided(t *testing.T) {
	p := &fakePeers{}
	idle := admission.Load{Limit: 10, Slots: 10, ShedFrom: object.UrgencyCount}
	p.answer = func(int64, *call.Request) (*call.Answer, error) {
		answer := ok()
		answer.Load = idle
		return answer, nil
	}
	p.answerAt = func(address string) *call.Answer {
		if address == "gone" {
			answer := refusal(verdict.NotRun, verdict.BackendUnreachable)
			answer.Load = idle
			return answer
		}
		return nil
	}
	handler := newTokenlessHandler(t, p)
	const requests = 30
	for range requests {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/lookups", nil))
		qt.Assert(t, recorder.Header().Get(header.Verdict), qt.Equals, verdict.Ran.String())
	}
	qt.Assert(t, p.calls.Load() <= requests+3, qt.IsTrue, qt.Commentf("%d messages for %d requests", p.calls.Load(), requests))
}

// TestOfferedRefusalSpendsTheAttempt checks that a refusal by a backend server uses
// up the attempt, on a route that allows one. Unlike a refusal by the owner, it must
// not lead to a failover.
func TestOfferedRefusalSpendsTheAttempt(t *testing.T) {
	p := &fakePeers{answer: func(int64, *call.Request) (*call.Answer, error) {
		answer := refusal(verdict.NotRun, verdict.BackendRefused)
		answer.Offered = true
		return answer, nil
	}}
	recorder := httptest.NewRecorder()
	newTokenlessHandler(t, p).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/lookups", nil))
	qt.Assert(t, recorder.Header().Get(header.Verdict), qt.Equals, verdict.NotRun.String())
	qt.Assert(t, p.calls.Load(), qt.Equals, int64(1))
}

// TestFailedAnswer has a backend server respond with a server error. A repeatable
// request must be sent to another host. If that attempt fails too, the caller must
// get the response of a backend server rather than an error of the entry.
func TestFailedAnswer(t *testing.T) {
	idle := admission.Load{Limit: 10, Slots: 10, ShedFrom: object.UrgencyCount}
	failed := func() *call.Answer {
		return &call.Answer{Status: 500, Body: []byte("sorry"), Load: idle, Offered: true}
	}
	served := func() *call.Answer {
		return &call.Answer{Status: 200, Body: []byte("whole"), Load: idle, Offered: true}
	}
	refusedBeneath := failed()
	refusedBeneath.RefusedBeneath = true
	refused := refusal(verdict.NotRun, verdict.Overloaded)
	refused.Load = idle
	tests := map[string]struct {
		route   string
		answers []*call.Answer
		status  int
		sent    int64
	}{
		"other host serves":    {"/twice", []*call.Answer{failed(), served()}, 200, 2},
		"other host fails":     {"/twice", []*call.Answer{failed(), failed()}, 500, 2},
		"other hosts refuse":   {"/twice", []*call.Answer{failed(), refused, refused}, 500, 2},
		"one attempt":          {"/lookups", []*call.Answer{failed(), served()}, 500, 1},
		"nested call refused":  {"/twice", []*call.Answer{refusedBeneath, served()}, 500, 1},
		"non-repeatable route": {"/records", []*call.Answer{failed(), served()}, 500, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &fakePeers{answer: func(n int64, _ *call.Request) (*call.Answer, error) {
				answer := *test.answers[n-1]
				return &answer, nil
			}}
			recorder := httptest.NewRecorder()
			newTokenlessHandler(t, p).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, test.route, nil))
			qt.Check(t, recorder.Code, qt.Equals, test.status)
			qt.Check(t, p.calls.Load(), qt.Equals, test.sent)
		})
	}
}
