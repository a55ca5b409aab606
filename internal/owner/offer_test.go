package owner

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/httpconn"
	"curranthold.example/curranthold/pkg/verdict"
)

func cancelReply(o *Owner, id string) bool {
	var reply call.Cancel
	_ = o.RPC().(*RPC).Cancel(&call.Cancel{ID: id}, &reply)
	return reply.NotRun
}

// TestCancelSaysWhetherRun cancels calls in each state. It guards against a claim that a
// call has not run although the backend server was offered it, and against a withdrawn
// call that runs later.
func TestCancelSaysWhetherRun(t *testing.T) {
	var received atomic.Int64
	entered, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		received.Add(1)
		if r.URL.Path == "/hold" {
			close(entered)
			<-release
		}
	}))
	defer server.Close()
	o, err := New(Config{AnswerBytes: 1024, Admission: admission.New(admission.Config{})})
	qt.Assert(t, err, qt.IsNil)
	o.Announce(Announcement{Service: "peals", Address: server.Listener.Addr().String(), Slots: 1})
	answers := make(map[string]*call.Answer)
	var group sync.WaitGroup
	send := func(id, service, path string) {
		answer := new(call.Answer)
		answers[id] = answer
		group.Go(func() {
			o.Call(context.Background(), &call.Request{
				ID: id, Service: service, Method: http.MethodPost, Target: path, Remaining: 5 * time.Second,
			}, answer)
		})
	}
	send("served", "peals", "/")
	send("refused", "another", "/")
	group.Wait()
	qt.Check(t, cancelReply(o, "served"), qt.IsFalse)
	qt.Check(t, cancelReply(o, "refused"), qt.IsTrue)
	qt.Check(t, cancelReply(o, "unknown"), qt.IsFalse)
	qt.Check(t, cancelReply(o, ""), qt.IsFalse)

	send("running", "peals", "/hold")
	<-entered
	send("queued", "peals", "/")
	for o.config.Admission.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, cancelReply(o, "queued"), qt.IsTrue)
	qt.Check(t, cancelReply(o, "running"), qt.IsFalse)
	group.Wait() // The answer of the backend server must not compete with the cancellation.
	close(release)
	qt.Check(t, answers["queued"].Err.Verdict, qt.Equals, verdict.NotRun)
	qt.Check(t, answers["running"].Err.Verdict, qt.Equals, verdict.MayHaveRun)
	qt.Check(t, received.Load(), qt.Equals, int64(2))
}

// TestOfferOnce lets begin and withdraw compete. Exactly one must win.
func TestOfferOnce(t *testing.T) {
	for range 1000 {
		var o offer
		var begun, withdrawn bool
		var group sync.WaitGroup
		group.Go(func() { begun = o.begin() })
		group.Go(func() { withdrawn = o.withdraw() })
		group.Wait()
		qt.Assert(t, begun, qt.Not(qt.Equals), withdrawn)
	}
}

// TestNothingWritten breaks the connection of a request before anything is written to
// it. The request has not run; as may-have-run its caller could not repeat it.
func TestNothingWritten(t *testing.T) {
	tests := map[string]struct {
		sealed bool
		want   verdict.Verdict
	}{
		"nothing written": {true, verdict.NotRun},
		"written":         {false, verdict.MayHaveRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newTestOwner(t)
			qt.Assert(t, o.HandleHeartbeat(heartbeat("a", 1, 1, false)), qt.IsNil)
			o.current().transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
				ours, theirs := net.Pipe()
				go func() {
					_, _ = theirs.Read(make([]byte, 1))
					_ = theirs.Close()
				}()
				conn := httpconn.New(ours)
				if test.sealed {
					var use httpconn.Use
					use.Acquire(conn)
					use.Seal()
					use.Release(true)
				}
				return conn, nil
			}
			var answer call.Answer
			o.Call(context.Background(), &call.Request{
				ID: "1", Service: "s", Method: http.MethodPost, Target: "/", Body: []byte("x"), Remaining: time.Second,
			}, &answer)
			qt.Assert(t, answer.Err, qt.IsNotNil)
			qt.Check(t, answer.Err.Verdict, qt.Equals, test.want)
			qt.Check(t, answer.Offered, qt.Equals, test.want != verdict.NotRun)
		})
	}
}
