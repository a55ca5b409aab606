package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/entry"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// losingPeers are hosts whose answers to calls are lost. Their replies to cancel
// messages say whether the call has not run.
type losingPeers struct {
	sent atomic.Int64
	// lose returns the error of the nth attempt, nil if it is served.
	lose   func(ctx context.Context, n int64) error
	notRun bool
	pings  bool
}

func (p *losingPeers) Call(ctx context.Context, _, method string, args, reply any) error {
	switch method {
	case "Owner.Cancel":
		reply.(*call.Cancel).NotRun = p.notRun
		return nil
	case "Owner.Ping":
		if p.pings {
			return nil
		}
		<-ctx.Done()
		return peer.ErrBroken
	case "Owner.Call":
		return rpc.ServerError("rpc: can't find method Owner.Call")
	}
	request := exchanged(method, args)
	if err := p.lose(ctx, p.sent.Add(1)); err != nil {
		return err
	}
	answer := ok()
	answer.ID = request.ID
	answer.Seal()
	*reply.(*call.Packed) = answer.Pack()
	return nil
}

// TestLostAnswerOfQueuedCall loses the answer of an owner that had not offered the call
// to its backend server. Reported as may-have-run, a request that is not repeatable could
// not be sent again. Of an owner that doesn't know, nothing may be claimed.
func TestLostAnswerOfQueuedCall(t *testing.T) {
	broken := func(context.Context, int64) error { return peer.ErrBroken }
	brokenOnce := func(_ context.Context, n int64) error {
		if n > 1 {
			return nil
		}
		return peer.ErrBroken
	}
	late := func(ctx context.Context, _ int64) error {
		<-ctx.Done()
		return peer.ErrBroken
	}
	unknownMethod := func(context.Context, int64) error { return rpc.ServerError("rpc: can't find service Owner.Exchange") }
	tests := map[string]struct {
		path   string
		lose   func(context.Context, int64) error
		notRun bool
		want   verdict.Verdict
		code   verdict.Code
		sent   int64
	}{
		"connection broke, not run":        {"/records", broken, true, verdict.NotRun, verdict.PeerUnreachable, 2},
		"connection broke, sent again":     {"/records", brokenOnce, true, verdict.Ran, "", 2},
		"connection broke, unknown":        {"/records", broken, false, verdict.MayHaveRun, verdict.PeerExchangeBroken, 1},
		"deadline passed, not run":         {"/records", late, true, verdict.NotRun, verdict.DeadlineExceeded, 1},
		"deadline passed, unknown":         {"/records", late, false, verdict.MayHaveRun, verdict.DeadlineExceeded, 1},
		"repeatable, deadline passed":      {"/lookups", late, true, verdict.NotRun, verdict.DeadlineExceeded, 1},
		"host has no method for the calls": {"/records", unknownMethod, false, verdict.NotRun, verdict.PeerUnreachable, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &losingPeers{lose: test.lose, notRun: test.notRun, pings: true}
			request := httptest.NewRequest(http.MethodPost, test.path, nil)
			request.Header.Set(header.Deadline, "200")
			recorder := httptest.NewRecorder()
			newTokenlessHandler(t, p).ServeHTTP(recorder, request)
			qt.Check(t, recorder.Header().Get(header.Verdict), qt.Equals, test.want.String())
			qt.Check(t, recorder.Body.String(), qt.Contains, string(test.code))
			qt.Check(t, p.sent.Load(), qt.Equals, test.sent)
		})
	}
}

// TestLateNotRun leaves an attempt at a host that answers no ping, and lets its late
// answer say that the call has not run. The call has then not run, unless another attempt
// may have.
func TestLateNotRun(t *testing.T) {
	refused := func() *call.Answer { return refusal(verdict.NotRun, verdict.Overloaded) }
	mayHaveRun := func() *call.Answer { return refusal(verdict.MayHaveRun, verdict.BackendBroken) }
	const late = 900 * time.Millisecond
	tests := map[string]struct {
		outcomes []lateOutcome
		want     verdict.Verdict
	}{
		"both refuse":                  {[]lateOutcome{{late, refused()}, {0, refused()}}, verdict.NotRun},
		"other host may have run it":   {[]lateOutcome{{late, refused()}, {0, mayHaveRun()}}, verdict.MayHaveRun},
		"silent host may have run it":  {[]lateOutcome{{late, mayHaveRun()}, {0, refused()}}, verdict.MayHaveRun},
		"silent host gives no verdict": {[]lateOutcome{{time.Hour, nil}, {0, refused()}}, verdict.MayHaveRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newSilentPeers(test.outcomes...)
			request := httptest.NewRequest(http.MethodGet, "/twice", nil)
			request.Header.Set(header.Deadline, "1500")
			recorder := httptest.NewRecorder()
			newTokenlessHandler(t, p).ServeHTTP(recorder, request)
			qt.Check(t, recorder.Header().Get(header.Verdict), qt.Equals, test.want.String())
		})
	}
}

// TestCancelledBeforeOffer drops a call whose owner has not offered it. The verdict must
// reach the parent in time and say that the call has not run.
func TestCancelledBeforeOffer(t *testing.T) {
	for name, notRun := range map[string]bool{"not run": true, "unknown": false} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			p := &losingPeers{notRun: notRun, pings: true, lose: func(ctx context.Context, _ int64) error {
				cancel()
				<-ctx.Done()
				return peer.ErrBroken
			}}
			recorder := httptest.NewRecorder()
			newTokenlessHandler(t, p).ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodPost, "/records", nil))
			want := verdict.MayHaveRun
			if notRun {
				want = verdict.NotRun
			}
			qt.Check(t, recorder.Header().Get(header.Verdict), qt.Equals, want.String())
			qt.Check(t, recorder.Body.String(), qt.Contains, string(verdict.Cancelled))
		})
	}
}

// TestRetryAfterNeedsTime checks that a refusal asks the caller to come back only if it
// has time left, and within a third of that time.
func TestRetryAfterNeedsTime(t *testing.T) {
	delays := make(chan time.Duration, 1)
	late := func(ctx context.Context, _ int64) error {
		<-ctx.Done()
		return peer.ErrBroken
	}
	refused := func(context.Context, int64) error { return peer.ErrNotSent }
	tests := map[string]struct {
		lose     func(context.Context, int64) error
		from, to time.Duration
	}{
		"no time left": {late, 0, 0},
		"time left":    {refused, time.Millisecond, 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &losingPeers{lose: test.lose, notRun: true, pings: true}
			e := newTokenlessEntry(t, map[string][]string{"peals": {"gone"}}, 10, map[string]object.Spec{
				"peals":   object.ServiceSpec{},
				"records": object.RouteSpec{PathPrefix: "/records", Service: "peals", Urgency: object.Normal, Open: true, NonRepeatable: true},
			}, func(c *entry.Config) { c.Peers, c.Codec = p, delayCodec{delays} })
			request := httptest.NewRequest(http.MethodPost, "/records", nil)
			e.CallerHandler().ServeHTTP(httptest.NewRecorder(), request)
			delay := <-delays
			qt.Check(t, delay >= test.from && delay <= test.to, qt.IsTrue, qt.Commentf("%v", delay))
		})
	}
}

// delayCodec reads a timeout of 300 ms from every request and passes on the delays after
// which callers should retry.
type delayCodec struct{ delays chan time.Duration }

func (delayCodec) Read(*http.Request) (entry.RequestMetadata, error) {
	return entry.RequestMetadata{Timeout: 300 * time.Millisecond}, nil
}
func (delayCodec) Strip(http.Header)               {}
func (delayCodec) WriteAnswer(http.Header, string) {}
func (c delayCodec) WriteError(w http.ResponseWriter, _ string, _ *verdict.Error, retryAfter time.Duration) {
	w.WriteHeader(http.StatusServiceUnavailable)
	c.delays <- retryAfter
}
