package owner_test

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/retry"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/verdict"
)

func newOwner(t *testing.T, address string, config owner.Config) *owner.Owner {
	controller := admission.New(admission.Config{})
	t.Cleanup(controller.Close)
	config.AnswerBytes = cmp.Or(config.AnswerBytes, 1024)
	config.Admission = controller
	o, err := owner.New(config)
	qt.Assert(t, err, qt.IsNil)
	o.Announce(owner.Announcement{Service: "peals", Address: address, Slots: 4})
	return o
}

func request() *call.Request {
	return &call.Request{
		ID: "entry-1/1", RequestID: "entry-1", Service: "peals", Method: http.MethodGet, Target: "/peals/last?n=1",
		Header:  http.Header{header.Key: {"ch1.name.secret"}, "X-Own": {"kept"}},
		Account: "bern", Remaining: 5 * time.Second, ExtraAttempts: 2,
	}
}

func TestAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		qt.Check(t, r.Header.Get(header.Key), qt.Equals, "")
		qt.Check(t, r.Header.Get(header.Account), qt.Equals, "bern")
		qt.Check(t, r.Header.Get("X-Own"), qt.Equals, "kept")
		qt.Check(t, r.Header.Get(header.CallToken), qt.Not(qt.Equals), "")
		qt.Check(t, r.URL.RequestURI(), qt.Equals, "/peals/last?n=1")
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
		_, _ = io.WriteString(w, "whole")
	}))
	defer server.Close()
	var answer call.Answer
	newOwner(t, server.Listener.Addr().String(), owner.Config{}).Call(context.Background(), request(), &answer)
	qt.Assert(t, answer.Err == nil, qt.IsTrue)
	qt.Assert(t, string(answer.Body), qt.Equals, "whole")
	qt.Assert(t, answer.Matches(request()), qt.IsTrue)
	qt.Assert(t, answer.ExtraAttempts, qt.Equals, 2)
}

// TestVerdicts checks the verdict and code of the error for each way in which a request
// to a backend server can fail.
func TestVerdicts(t *testing.T) {
	tests := map[string]struct {
		serve http.HandlerFunc
		want  verdict.Verdict
		code  verdict.Code
	}{
		"refused with the header Refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(header.Refused, "overloaded")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, verdict.NotRun, verdict.BackendRefused},
		"connection reset": {func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, verdict.MayHaveRun, verdict.BackendBroken},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
		}, verdict.MayHaveRun, verdict.BackendBroken},
		"too large": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 1025))
		}, verdict.Ran, verdict.AnswerTooLarge},
		"response to another request": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(header.RequestID, "another")
			_, _ = io.WriteString(w, "another's")
		}, verdict.MayHaveRun, verdict.AnswerMismatch},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.serve)
			defer server.Close()
			var answer call.Answer
			newOwner(t, server.Listener.Addr().String(), owner.Config{}).Call(context.Background(), request(), &answer)
			qt.Assert(t, answer.Err != nil, qt.IsTrue)
			qt.Assert(t, answer.Err.Verdict, qt.Equals, test.want)
			qt.Assert(t, answer.Err.Code, qt.Equals, test.code)
			qt.Assert(t, answer.Body, qt.HasLen, 0)
			qt.Assert(t, answer.Matches(request()), qt.IsTrue) // The entry drops an answer that does not match.
		})
	}
}

func TestNotRunWithoutAConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	var answer call.Answer
	newOwner(t, address, owner.Config{}).Call(context.Background(), request(), &answer)
	qt.Assert(t, answer.Err.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, answer.Err.Code, qt.Equals, verdict.BackendUnreachable)
}

// TestDeadBackendServerIsWithdrawn stops a backend server without notice. The owner
// must withdraw it at the first refused connection, before its announcement expires.
func TestDeadBackendServerIsWithdrawn(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The owner might not notice in time that a kept-alive connection is closed.
		w.Header().Set("Connection", "close")
	}))
	var last atomic.Pointer[owner.Announcement]
	o := newOwner(t, server.Listener.Addr().String(), owner.Config{
		OnBackendChange: func(a owner.Announcement) { last.Store(&a) },
	})
	var served, refused, repeated call.Answer
	o.Call(context.Background(), request(), &served)
	qt.Assert(t, served.Err == nil, qt.IsTrue)
	qt.Assert(t, served.Load.Slots, qt.Equals, 4)
	server.Close()
	o.Call(context.Background(), request(), &refused)
	qt.Assert(t, refused.Err.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, refused.Load.Slots, qt.Equals, 0)
	qt.Assert(t, last.Load().Service, qt.Equals, "")
	o.Call(context.Background(), request(), &repeated)
	qt.Assert(t, repeated.Err.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, repeated.Err.Code, qt.Equals, verdict.BackendUnreachable)
}

// TestRefusalKeepsTheConnection checks that the connection is reused after a refusal.
// Under overload, a new connection for each refused call would add load.
func TestRefusalKeepsTheConnection(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header.Refused, "overloaded")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, strings.Repeat("busy", 100))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	o := newOwner(t, server.Listener.Addr().String(), owner.Config{})
	for range 5 {
		var answer call.Answer
		o.Call(context.Background(), request(), &answer)
		qt.Assert(t, answer.Err.Verdict, qt.Equals, verdict.NotRun)
	}
	qt.Assert(t, connections.Load(), qt.Equals, int64(1))
}

// TestNeverSentTwice breaks a reused connection. net/http would by itself resend a GET
// request in that case.
func TestNeverSentTwice(t *testing.T) {
	var received atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerOnce(conn, &received)
		}
	}()
	o := newOwner(t, listener.Addr().String(), owner.Config{})
	var first, second call.Answer
	o.Call(context.Background(), request(), &first)
	qt.Assert(t, first.Err == nil, qt.IsTrue)
	o.Call(context.Background(), request(), &second)
	qt.Assert(t, second.Err != nil, qt.IsTrue)
	qt.Assert(t, second.Err.Verdict, qt.Equals, verdict.MayHaveRun)
	qt.Assert(t, received.Load(), qt.Equals, int64(2))
}

// answerOnce answers the first request on a connection and closes the connection
// after reading the second.
func answerOnce(conn net.Conn, received *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for answered := false; ; answered = true {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		received.Add(1)
		if answered {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestWithdrawnKeyEndsWaitingCalls fills the backend server and withdraws the key that
// a running and a waiting call share. The waiting call must be refused and the running
// one must complete.
func TestWithdrawnKeyEndsWaitingCalls(t *testing.T) {
	entered, release := make(chan struct{}, 8), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	}))
	defer server.Close()
	var withdrawn atomic.Bool
	o := newOwner(t, server.Listener.Addr().String(), owner.Config{
		IsKeyWithdrawn: func(name string) bool { return name == "bern-1" && withdrawn.Load() },
	})
	o.Announce(owner.Announcement{Service: "peals", Address: server.Listener.Addr().String(), Slots: 1})
	answers := make(chan *call.Answer, 2)
	send := func() {
		r, answer := request(), new(call.Answer)
		r.KeyName = "bern-1"
		o.Call(context.Background(), r, answer)
		answers <- answer
	}
	go send()
	<-entered
	go send()
	for o.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	withdrawn.Store(true)
	o.CancelWithdrawn()
	refused := <-answers
	qt.Assert(t, refused.Err != nil, qt.IsTrue)
	qt.Assert(t, refused.Err.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, refused.Err.Code, qt.Equals, verdict.KeyRefused)
	close(release)
	qt.Assert(t, (<-answers).Err == nil, qt.IsTrue)
}

// TestErrorMatches checks that an error answer passes Answer.Matches. The entry would
// otherwise report a refusal as a damaged answer that may have run.
func TestErrorMatches(t *testing.T) {
	r := request()
	r.Service = "other"
	var answer call.Answer
	newOwner(t, "127.0.0.1:1", owner.Config{}).Call(context.Background(), r, &answer)
	qt.Assert(t, answer.Err.Code, qt.Equals, verdict.BackendUnreachable)
	qt.Check(t, answer.Err.Verdict, qt.Equals, verdict.NotRun)
	qt.Check(t, answer.Matches(r), qt.IsTrue)
}

// TestNestedNonRepeatable breaks a call after a non-repeatable nested call has begun.
// The error must be Exhausted, since another attempt would repeat the nested call.
func TestNestedNonRepeatable(t *testing.T) {
	var o *owner.Owner
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		parent, ok := o.Parent(r.Header.Get(header.CallToken))
		qt.Check(t, ok, qt.IsTrue)
		parent.NoteNonRepeatable()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	o = newOwner(t, server.Listener.Addr().String(), owner.Config{})
	var answer call.Answer
	o.Call(context.Background(), request(), &answer)
	qt.Check(t, answer.Err.Verdict, qt.Equals, verdict.MayHaveRun)
	qt.Check(t, answer.Err.Exhausted, qt.IsTrue)
	qt.Check(t, answer.NonRepeatable, qt.IsTrue)
}

// TestRefusedBeneath checks that RefusedBeneath is set only if the backend server
// answers with a server error after a nested call was refused.
func TestRefusedBeneath(t *testing.T) {
	tests := map[string]struct {
		status  int
		refused bool
		want    bool
	}{
		"refused and failed":   {http.StatusBadGateway, true, true},
		"refused but answered": {http.StatusOK, true, false},
		"failed, none refused": {http.StatusBadGateway, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var o *owner.Owner
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				parent, ok := o.Parent(r.Header.Get(header.CallToken))
				if qt.Check(t, ok, qt.IsTrue) && test.refused {
					parent.NoteRefused(false)
				}
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			o = newOwner(t, server.Listener.Addr().String(), owner.Config{})
			var answer call.Answer
			o.Call(context.Background(), request(), &answer)
			qt.Assert(t, answer.RefusedBeneath, qt.Equals, test.want)
		})
	}
}

// TestBackendLeft sends a call to a host whose backend server was withdrawn. The error
// must allow a retry, since another host may serve the call.
func TestBackendLeft(t *testing.T) {
	o := newOwner(t, "127.0.0.1:1", owner.Config{})
	o.Withdraw("peals")
	var answer call.Answer
	o.Call(context.Background(), request(), &answer)
	qt.Assert(t, answer.Err != nil, qt.IsTrue)
	qt.Assert(t, answer.Err.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, retry.Allowed(answer.Err, true), qt.IsTrue)
}

// TestCancelThatOvertakesItsCall guards against work for an entry that has already cancelled the call.
func TestCancelThatOvertakesItsCall(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	o := newOwner(t, server.Listener.Addr().String(), owner.Config{})
	rpc := o.RPC().(*owner.RPC)
	qt.Assert(t, rpc.Cancel(&call.Cancel{ID: request().ID}, new(call.Cancel)), qt.IsNil)
	var cancelled, other call.Answer
	qt.Assert(t, rpc.Call(request(), &cancelled), qt.IsNil)
	qt.Check(t, received.Load(), qt.Equals, int64(0))
	qt.Assert(t, cancelled.Err, qt.IsNotNil)
	qt.Check(t, cancelled.Err.Code, qt.Equals, verdict.Cancelled)
	qt.Check(t, cancelled.Err.Verdict, qt.Equals, verdict.NotRun)

	next := request()
	next.ID = "entry-1/2"
	qt.Assert(t, rpc.Call(next, &other), qt.IsNil)
	qt.Check(t, received.Load(), qt.Equals, int64(1))
}
