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
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// parentHeader names the request in which a call is nested.
const parentHeader = "Test-Parent"

// parentCodec reads the parent of a call from parentHeader.
type parentCodec struct{ nestedCodec }

func (parentCodec) Read(r *http.Request) (entry.RequestMetadata, error) {
	return entry.RequestMetadata{Depth: 1, Timeout: 5 * time.Second, Parent: r.Header.Get(parentHeader)}, nil
}

// nestingServer is a backend server that makes a nested call for each request. Once the
// request is dropped, it drops the nested call after dropAfter.
type nestingServer struct {
	dropAfter time.Duration
	// entry is the address for nested calls.
	entry string
	// running receives when the nested call is about to be sent, and ended how it ended.
	running chan struct{}
	ended   chan error
}

func (s *nestingServer) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	ctx, drop := context.WithCancel(context.Background())
	defer drop()
	context.AfterFunc(r.Context(), func() { time.AfterFunc(s.dropAfter, drop) })
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, s.entry+"/lookups", nil)
	request.Header.Set(parentHeader, "parent")
	s.running <- struct{}{}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	s.ended <- err
}

// cancelParent has a nestingServer serve a request, cancels it, and returns how long
// after that the nested call ended, and its error.
func cancelParent(t *testing.T, dropAfter time.Duration, leaving bool) (time.Duration, error) {
	s := &nestingServer{dropAfter: dropAfter, running: make(chan struct{}, 1), ended: make(chan error, 1)}
	backend := httptest.NewServer(s)
	t.Cleanup(backend.Close)
	controller := admission.New(admission.Config{})
	t.Cleanup(controller.Close)
	o, err := owner.New(owner.Config{Admission: controller, AnswerBytes: 1024, RequestIDTokens: true})
	qt.Assert(t, err, qt.IsNil)
	o.Announce(owner.Announcement{Service: "parents", Address: backend.Listener.Addr().String(), Slots: 4})

	// The call below is not answered before it is cancelled.
	p := &delayedPeers{answer: serveOK, delay: func(int64, *call.Request) time.Duration { return 4 * time.Second }}
	e := newTokenlessEntry(t, map[string][]string{"peals": {"host-0"}}, 100, map[string]object.Spec{
		"peals":   object.ServiceSpec{},
		"lookups": object.RouteSpec{PathPrefix: "/lookups", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 1},
	}, func(c *entry.Config) { c.Codec, c.Peers, c.Owner = parentCodec{}, p, o })
	if leaving {
		e.Leave()
	}
	callers := httptest.NewServer(e.CallerHandler())
	t.Cleanup(callers.Close)
	s.entry = callers.URL

	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-s.running
		time.Sleep(50 * time.Millisecond)
		cancel()
	}()
	var answer call.Answer
	o.Call(ctx, &call.Request{ID: "parent/1", RequestID: "parent", Service: "parents", Method: http.MethodGet, Target: "/", Remaining: 4 * time.Second}, &answer)
	qt.Assert(t, answer.Err != nil && answer.Err.Code == verdict.Cancelled, qt.IsTrue)
	cancelled := time.Now()
	err = <-s.ended
	return time.Since(cancelled), err
}

// TestNestedCallOfCancelledParentGetsNoAnswer guards against an answer of the entry's own to a call that its caller is about to drop.
func TestNestedCallOfCancelledParentGetsNoAnswer(t *testing.T) {
	_, err := cancelParent(t, 10*time.Millisecond, false)
	qt.Assert(t, err, qt.ErrorIs, context.Canceled)
}

// TestNestedCallEndsWithItsParent cancels the parent of a nested call whose caller goes on
// waiting. The nested call must end soon.
func TestNestedCallEndsWithItsParent(t *testing.T) {
	took, err := cancelParent(t, 10*time.Second, false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, took < 250*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", took))
}

// TestNestedCallIsNotGivenUpWhileLeaving guards against a node that answers in place of a backend server at work, because the parent was cancelled during a planned stop.
func TestNestedCallIsNotGivenUpWhileLeaving(t *testing.T) {
	took, err := cancelParent(t, 400*time.Millisecond, true)
	qt.Check(t, err, qt.ErrorIs, context.Canceled)
	qt.Check(t, took >= 350*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", took))
}
