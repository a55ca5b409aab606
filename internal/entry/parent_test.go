package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
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

// newNestingHost returns the owner of a host with the given backend server, and the address
// for its nested calls, which the handler from nestedHandler takes. They are answered after
// delay.
func newNestingHost(t *testing.T, handler http.Handler, delay time.Duration, nestedHandler func(*entry.Entry) http.Handler) (*owner.Owner, string) {
	backend := httptest.NewServer(handler)
	t.Cleanup(backend.Close)
	controller := admission.New(admission.Config{Disabled: admission.ColdRamp})
	t.Cleanup(controller.Close)
	o, err := owner.New(owner.Config{Admission: controller, AnswerBytes: 1024, RequestIDTokens: true})
	qt.Assert(t, err, qt.IsNil)
	o.Announce(owner.Announcement{Service: "parents", Address: backend.Listener.Addr().String(), Slots: 4})

	p := &delayedPeers{answer: serveOK, delay: func(int64, *call.Request) time.Duration { return delay }}
	e := newTokenlessEntry(t, map[string][]string{"peals": {"host-0"}}, 100, map[string]object.Spec{
		"peals":   object.ServiceSpec{},
		"lookups": object.RouteSpec{PathPrefix: "/lookups", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 1},
	}, func(c *entry.Config) { c.Codec, c.Peers, c.Owner = parentCodec{}, p, o })
	callers := httptest.NewServer(nestedHandler(e))
	t.Cleanup(callers.Close)
	return o, callers.URL
}

// parentRequest returns the request in which the calls of a nestingServer are nested.
func parentRequest(attempt string) *call.Request {
	return &call.Request{ID: attempt, RequestID: "parent", Service: "parents", Method: http.MethodGet, Target: "/", Remaining: 4 * time.Second}
}

// cancelParent has a nestingServer serve a request, cancels it, and returns how long
// after that the nested call ended, and its error.
func cancelParent(t *testing.T, dropAfter time.Duration, leaving bool) (time.Duration, error) {
	s := &nestingServer{dropAfter: dropAfter, running: make(chan struct{}, 1), ended: make(chan error, 1)}
	// The nested call is not answered before its parent is cancelled.
	o, address := newNestingHost(t, s, 4*time.Second, func(e *entry.Entry) http.Handler {
		if leaving {
			e.Leave(time.Now())
		}
		return e.CallerHandler()
	})
	s.entry = address

	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-s.running
		time.Sleep(50 * time.Millisecond)
		cancel()
	}()
	var answer call.Answer
	o.Call(ctx, parentRequest("parent/1"), &answer)
	qt.Assert(t, answer.Err != nil && answer.Err.Code == verdict.Cancelled, qt.IsTrue)
	cancelled := time.Now()
	err := <-s.ended
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

// callNested makes a nested call of the request from parentRequest. It returns the status of
// the response, 0 if there is none.
func callNested(t *testing.T, address string) int {
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, address+"/lookups", nil)
	request.Header.Set(parentHeader, "parent")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestNestedCallOutlivesOtherRunOfItsParent guards against a nested call that is given up because another run of its parent on the same host was cancelled.
func TestNestedCallOutlivesOtherRunOfItsParent(t *testing.T) {
	var o *owner.Owner
	var address string
	var runs atomic.Int64
	bothRun, nested := make(chan struct{}), make(chan int, 1)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 2 {
			close(bothRun)
			<-r.Context().Done()
			return
		}
		select {
		case <-bothRun:
		case <-r.Context().Done():
			nested <- 0
			return
		}
		time.Sleep(20 * time.Millisecond)
		nested <- callNested(t, address)
	})
	o, address = newNestingHost(t, handler, 300*time.Millisecond, (*entry.Entry).CallerHandler)

	var first, second call.Answer
	var wg sync.WaitGroup
	wg.Go(func() { o.Call(t.Context(), parentRequest("parent/1"), &first) })
	for end := time.Now().Add(3 * time.Second); runs.Load() == 0; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("the first run has not begun"))
	}
	ctx, cancel := context.WithCancel(t.Context())
	wg.Go(func() { o.Call(ctx, parentRequest("parent/1/second"), &second) })
	select {
	case <-bothRun:
	case <-time.After(3 * time.Second):
		t.Error("the second run has not begun")
	}
	time.Sleep(100 * time.Millisecond)
	cancel()
	qt.Check(t, <-nested, qt.Equals, http.StatusOK)
	wg.Wait()
	qt.Check(t, first.Err == nil, qt.IsTrue)
	_, running := o.Parent("parent")
	qt.Check(t, running, qt.IsFalse)
}

// TestNestedCallsWhileLeaving guards against nested calls that begin too late to end before the node does.
func TestNestedCallsWhileLeaving(t *testing.T) {
	tests := map[string]struct {
		nestedUntil time.Duration
		status      int
	}{
		"in time": {time.Hour, http.StatusOK},
		"late":    {-time.Second, http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var address string
			nested := make(chan int, 1)
			handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				nested <- callNested(t, address)
			})
			var o *owner.Owner
			o, address = newNestingHost(t, handler, time.Millisecond, func(e *entry.Entry) http.Handler {
				e.Leave(time.Now().Add(test.nestedUntil))
				return e.LeavingHandler()
			})
			var answer call.Answer
			o.Call(t.Context(), parentRequest("parent/1"), &answer)
			qt.Check(t, <-nested, qt.Equals, test.status)
		})
	}
}
