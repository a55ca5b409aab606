package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/entry"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// answersThenLoses returns peers that answer the first call as one that has begun a
// non-repeatable nested call, and lose the answers to the others.
func answersThenLoses() *fakePeers {
	return &fakePeers{answer: func(n int64, _ *call.Request) (*call.Answer, error) {
		if n > 1 {
			return nil, peer.ErrBroken
		}
		answer := ok()
		answer.NonRepeatable = true
		return answer, nil
	}}
}

// TestLostAnswerDoesNotRepeatNonRepeatableNestedCalls guards against a second run of the nested calls of a request whose answer was lost.
func TestLostAnswerDoesNotRepeatNonRepeatableNestedCalls(t *testing.T) {
	p := answersThenLoses()
	callers := newEntry(t, p)
	for _, want := range []verdict.Verdict{verdict.Ran, verdict.MayHaveRun} {
		recorder := httptest.NewRecorder()
		callers.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/lookups", nil))
		qt.Check(t, recorder.Header().Get(header.Verdict), qt.Equals, want.String())
	}
	qt.Check(t, p.calls.Load(), qt.Equals, int64(2))
}

// TestLostNestedAnswerExhaustsParent guards against a repeat of a call after a lost answer two levels above a non-repeatable call.
func TestLostNestedAnswerExhaustsParent(t *testing.T) {
	controller := admission.New(admission.Config{})
	t.Cleanup(controller.Close)
	o, err := owner.New(owner.Config{Admission: controller, AnswerBytes: 1024})
	qt.Assert(t, err, qt.IsNil)
	e, err := entry.New(entry.Config{
		Host: "own", Configuration: newReplica(t, map[string]object.Spec{
			"peals":   object.ServiceSpec{},
			"lookups": object.RouteSpec{PathPrefix: "/lookups", Service: "peals", Urgency: object.Normal, Open: true},
		}),
		Balancer: newBalancer(2), Peers: answersThenLoses(), Owner: o, DefaultTimeout: 5 * time.Second,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = e.Close() })
	e.CallerHandler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/lookups", nil))
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		nested := httptest.NewRequest(http.MethodGet, "/lookups", nil)
		nested.Header.Set(header.CallToken, r.Header.Get(header.CallToken))
		recorder := httptest.NewRecorder()
		e.NestedHandler().ServeHTTP(recorder, nested)
		qt.Check(t, recorder.Header().Get(header.Verdict), qt.Equals, verdict.MayHaveRun.String())
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(backend.Close)
	o.Announce(owner.Announcement{Service: "parents", Address: backend.Listener.Addr().String(), Slots: 4})

	var answer call.Answer
	o.Call(context.Background(), &call.Request{ID: "parent/1", RequestID: "parent", Service: "parents", Method: http.MethodGet, Target: "/", Remaining: 4 * time.Second}, &answer)
	qt.Assert(t, answer.Err, qt.IsNotNil)
	qt.Check(t, answer.Err.Exhausted, qt.IsTrue)
	qt.Check(t, answer.NonRepeatable, qt.IsTrue)
}
