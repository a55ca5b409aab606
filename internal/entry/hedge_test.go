package entry_test

import (
	"context"
	"math"
	"math/rand/v2"
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
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// nestedCodec reads every request as a nested call.
type nestedCodec struct{}

func (nestedCodec) Read(*http.Request) (entry.RequestMetadata, error) {
	return entry.RequestMetadata{Depth: 1, Timeout: nestedTimeout}, nil
}
func (nestedCodec) Strip(http.Header)               {}
func (nestedCodec) WriteAnswer(http.Header, string) {}
func (nestedCodec) WriteError(w http.ResponseWriter, _ string, failure *verdict.Error, _ time.Duration) {
	status := http.StatusBadGateway
	if failure.Verdict == verdict.NotRun {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// nestedTimeout is the timeout of the calls in these tests.
const nestedTimeout = 400 * time.Millisecond

// delayedPeers answers each call after the delay that the function delay returns. A
// call whose delay exceeds its remaining time gets a deadline-exceeded error at its
// deadline, as from an owner whose backend server does not answer.
type delayedPeers struct {
	sent   atomic.Int64
	delay  func(n int64, r *call.Request) time.Duration
	answer func(n int64, r *call.Request) *call.Answer
}

func (p *delayedPeers) Call(ctx context.Context, _, method string, args, reply any) error {
	request := exchanged(method, args)
	if request == nil {
		return nil
	}
	n := p.sent.Add(1)
	delay := p.delay(n, request)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(min(delay, request.Remaining)):
	}
	answer := p.answer(n, request)
	if delay > request.Remaining {
		answer = refusal(verdict.MayHaveRun, verdict.DeadlineExceeded)
	}
	answer.ID, answer.Offered = request.ID, true
	answer.Load = admission.Load{Limit: 100, Slots: 100, ShedFrom: object.UrgencyCount}
	answer.Seal()
	*reply.(*call.Packed) = answer.Pack()
	return nil
}

func serveOK(int64, *call.Request) *call.Answer { return &call.Answer{Status: http.StatusOK} }

// newHedgingEntry returns an entry with three hosts of a service. Its retry buckets
// have the default burst of 10.
func newHedgingEntry(t *testing.T, p *delayedPeers, retryShare float64, disabled bool) *entry.Entry {
	return newTokenlessEntry(t, map[string][]string{"peals": {"host-0", "host-1", "host-2"}}, 100, map[string]object.Spec{
		"peals":   object.ServiceSpec{},
		"lookups": object.RouteSpec{PathPrefix: "/lookups", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 2},
		"single":  object.RouteSpec{PathPrefix: "/single", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 1},
		"records": object.RouteSpec{PathPrefix: "/records", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 2, NonRepeatable: true},
	}, func(c *entry.Config) {
		c.Codec, c.Peers, c.RetryShare, c.DisableHedging = nestedCodec{}, p, retryShare, disabled
	})
}

// sendCalls sends calls from 10 concurrent callers and returns how many were served.
func sendCalls(e *entry.Entry, path string, calls int) int {
	const callers = 10
	var wg sync.WaitGroup
	var ok atomic.Int64
	for range callers {
		wg.Go(func() {
			for range calls / callers {
				recorder := httptest.NewRecorder()
				e.CallerHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
				if recorder.Code == http.StatusOK {
					ok.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return int(ok.Load())
}

// TestLostAnswers sends nested calls of which a share, one in ten in most cases, gets
// no answer. Without hedging the parent of each such call would fail too. Hedging
// must recover most of them, and the extra attempts must stay within the share of
// retries.
func TestLostAnswers(t *testing.T) {
	tests := map[string]struct {
		route    string
		disabled bool
		// lost is the probability that a call gets no answer.
		lost  float64
		share float64
		// minServed and maxServed bound the share of calls that are served.
		minServed, maxServed float64
	}{
		"hedging enabled":          {route: "/lookups", lost: 0.1, share: 0.3, minServed: 0.97, maxServed: 1},
		"hedging disabled":         {route: "/lookups", disabled: true, lost: 0.1, share: 0.3, minServed: 0.8, maxServed: 0.94},
		"more losses than retries": {route: "/lookups", lost: 0.5, share: 0.05, minServed: 0.4, maxServed: 0.7},
		"one attempt per call":     {route: "/single", lost: 0.1, share: 0.3, minServed: 0.8, maxServed: 0.94},
		"non-repeatable calls":     {route: "/records", lost: 0.1, share: 0.3, minServed: 0.8, maxServed: 0.94},
		"no lost answers":          {route: "/lookups", lost: 0, share: 0.3, minServed: 1, maxServed: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const calls, warmup = 600, 100
			var lossy atomic.Bool
			p := &delayedPeers{answer: serveOK}
			p.delay = func(int64, *call.Request) time.Duration {
				if lossy.Load() && rand.Float64() < test.lost {
					return time.Hour
				}
				return 4*time.Millisecond + rand.N(4*time.Millisecond)
			}
			e := newHedgingEntry(t, p, test.share, test.disabled)
			qt.Assert(t, sendCalls(e, test.route, warmup), qt.Equals, warmup)
			lossy.Store(true)
			before := p.sent.Load()
			ok := sendCalls(e, test.route, calls)
			share := float64(ok) / calls
			qt.Check(t, share >= test.minServed && share <= test.maxServed, qt.IsTrue, qt.Commentf("%.3f served", share))
			extra := float64(p.sent.Load()-before-calls) / calls
			const burst = 10
			qt.Check(t, extra <= test.share*(calls+warmup)/calls+burst/float64(calls), qt.IsTrue, qt.Commentf("%.3f extra attempts per call", extra))
		})
	}
}

// TestSecondHostFails sends a call that is hedged, then refused by the first host, and
// fails at the second host with may-have-run. The caller must get may-have-run.
func TestSecondHostFails(t *testing.T) {
	const warmup = 100
	var sentBefore atomic.Int64
	sentBefore.Store(math.MaxInt64 / 2)
	p := &delayedPeers{}
	p.delay = func(n int64, _ *call.Request) time.Duration {
		if n == sentBefore.Load()+1 {
			return 150 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	p.answer = func(n int64, r *call.Request) *call.Answer {
		switch n - sentBefore.Load() {
		case 1:
			return refusal(verdict.NotRun, verdict.Overloaded)
		case 2:
			return refusal(verdict.MayHaveRun, verdict.BackendBroken)
		}
		return serveOK(n, r)
	}
	e := newHedgingEntry(t, p, 0.3, false)
	qt.Assert(t, sendCalls(e, "/lookups", warmup), qt.Equals, warmup)
	sentBefore.Store(p.sent.Load())
	recorder := httptest.NewRecorder()
	e.CallerHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/lookups", nil))
	qt.Check(t, p.sent.Load()-sentBefore.Load(), qt.Equals, int64(2))
	qt.Check(t, recorder.Code, qt.Equals, http.StatusBadGateway)
}
