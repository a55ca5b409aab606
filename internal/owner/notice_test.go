package owner_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/verdict"
)

// noticeServer is a backend server that states what is in notice in each answer.
type noticeServer struct {
	*httptest.Server
	notice   atomic.Pointer[http.Header]
	arrivals atomic.Int64
}

func newNoticeServer(t *testing.T, notice http.Header) *noticeServer {
	s := new(noticeServer)
	s.notice.Store(&notice)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrivals.Add(1)
		for name, values := range *s.notice.Load() {
			w.Header()[name] = values
		}
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	}))
	t.Cleanup(s.Close)
	return s
}

// callAtRate sends perSecond calls a second for the duration d and returns how many
// reached the backend server. Calls whose time has passed are sent at once, so that their
// number doesn't depend on how promptly the sender wakes up.
func (s *noticeServer) callAtRate(o *owner.Owner, perSecond int, d time.Duration) int64 {
	before := s.arrivals.Load()
	var calls sync.WaitGroup
	interval := time.Second / time.Duration(perSecond)
	start := time.Now()
	for at := time.Duration(0); at < d; at += interval {
		time.Sleep(time.Until(start.Add(at)))
		calls.Go(func() {
			r := request()
			r.Patience = 100 * time.Millisecond
			o.Call(context.Background(), r, new(call.Answer))
		})
	}
	calls.Wait()
	return s.arrivals.Load() - before
}

// TestNamedRateLimitIsKept guards against a backend server that gets more requests than the limit that it names.
func TestNamedRateLimitIsKept(t *testing.T) {
	const limit, window = 40, 4 * time.Second
	s := newNoticeServer(t, http.Header{header.RateLimit: {"40"}})
	o := newOwner(t, s.Listener.Addr().String(), owner.Config{})
	s.callAtRate(o, 200, 500*time.Millisecond)
	arrivals := s.callAtRate(o, 200, window)
	const most, least = 1.5*limit*4 + 5, 0.8 * limit * 4
	qt.Check(t, float64(arrivals) <= most, qt.IsTrue, qt.Commentf("%d requests in 4 s, at most %.0f", arrivals, most))
	qt.Check(t, float64(arrivals) >= least, qt.IsTrue, qt.Commentf("%d requests in 4 s, at least %.0f", arrivals, least))

	s.notice.Store(new(http.Header))
	s.callAtRate(o, 200, 200*time.Millisecond)
	arrivals = s.callAtRate(o, 200, time.Second)
	qt.Check(t, arrivals >= 150, qt.IsTrue, qt.Commentf("%d requests in 1 s without a limit", arrivals))
}

// TestLeavingNamedInAnswers guards against requests to a backend server that says in its answers that it leaves.
func TestLeavingNamedInAnswers(t *testing.T) {
	s := newNoticeServer(t, http.Header{})
	o := newOwner(t, s.Listener.Addr().String(), owner.Config{})
	beat := owner.Heartbeat{
		Announcement: owner.Announcement{Service: "peals", Address: s.Listener.Addr().String(), Slots: 4, Incarnation: "a"},
		StartMs:      1000, Sequence: 1,
	}
	qt.Assert(t, o.HandleHeartbeat(beat), qt.IsNil)
	var answer call.Answer
	o.Call(context.Background(), request(), &answer)
	qt.Assert(t, answer.Status, qt.Equals, http.StatusOK)

	s.notice.Store(&http.Header{header.Leaving: {"1"}})
	o.Call(context.Background(), request(), &answer)
	qt.Assert(t, answer.Status, qt.Equals, http.StatusOK)
	beat.Sequence++
	qt.Check(t, errors.Is(o.HandleHeartbeat(beat), owner.ErrStaleHeartbeat), qt.IsTrue)
	arrivals := s.arrivals.Load()
	o.Call(context.Background(), request(), &answer)
	qt.Check(t, s.arrivals.Load(), qt.Equals, arrivals)
	qt.Assert(t, answer.Err != nil, qt.IsTrue)
	qt.Check(t, answer.Err.Verdict, qt.Equals, verdict.NotRun)

	s.notice.Store(new(http.Header))
	beat.StartMs, beat.Sequence = 2000, 1
	qt.Assert(t, o.HandleHeartbeat(beat), qt.IsNil)
	answer = call.Answer{}
	o.Call(context.Background(), request(), &answer)
	qt.Check(t, answer.Status, qt.Equals, http.StatusOK)
}
