package entry_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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

// silentPeers are hosts that answer no ping. The calls sent to them, in the order of their
// sending, are answered as listed.
type silentPeers struct {
	delayedPeers
	outcomes []lateOutcome
}

// lateOutcome is an answer and the time after which it comes.
type lateOutcome struct {
	delay  time.Duration
	answer *call.Answer
}

func newSilentPeers(outcomes ...lateOutcome) *silentPeers {
	p := &silentPeers{outcomes: outcomes}
	p.delay = func(n int64, _ *call.Request) time.Duration { return p.outcomes[n-1].delay }
	p.answer = func(n int64, _ *call.Request) *call.Answer { return p.outcomes[n-1].answer }
	return p
}

func (p *silentPeers) Call(ctx context.Context, address, method string, args, reply any) error {
	if method == "Owner.Ping" {
		<-ctx.Done()
		return peer.ErrBroken
	}
	return p.delayedPeers.Call(ctx, address, method, args, reply)
}

// TestCallAtUnresponsiveHostGoesOn guards against a call that is given up at a backend server because its host answers no ping.
func TestCallAtUnresponsiveHostGoesOn(t *testing.T) {
	served := func(body string) *call.Answer { return &call.Answer{Status: http.StatusOK, Body: []byte(body)} }
	const never = time.Hour
	tests := map[string]struct {
		path     string
		outcomes []lateOutcome
		verdict  verdict.Verdict
		body     string
		// sent is the number of attempts, and min and max bound the time of the call.
		sent     int64
		min, max time.Duration
	}{
		"one attempt": {
			"/lookups",
			[]lateOutcome{{900 * time.Millisecond, served("first")}},
			verdict.Ran, "first", 1, 900 * time.Millisecond, 1300 * time.Millisecond,
		},
		"other host refuses": {
			"/twice",
			[]lateOutcome{{900 * time.Millisecond, served("first")}, {0, refusal(verdict.NotRun, verdict.Overloaded)}},
			verdict.Ran, "first", 2, 900 * time.Millisecond, 1300 * time.Millisecond,
		},
		"other host is slower": {
			"/twice",
			[]lateOutcome{{900 * time.Millisecond, served("first")}, {1800 * time.Millisecond, served("second")}},
			verdict.Ran, "first", 2, 900 * time.Millisecond, 1300 * time.Millisecond,
		},
		"first host is gone": {
			"/twice",
			[]lateOutcome{{never, nil}, {10 * time.Millisecond, served("second")}},
			verdict.Ran, "second", 2, 300 * time.Millisecond, 900 * time.Millisecond,
		},
		"all hosts are gone": {
			"/twice",
			[]lateOutcome{{never, nil}, {never, nil}},
			verdict.MayHaveRun, "", 2, 1900 * time.Millisecond, 2300 * time.Millisecond,
		},
		"late answer with status 000": {
			"/lookups",
			[]lateOutcome{{900 * time.Millisecond, &call.Answer{Body: []byte("first")}}},
			verdict.MayHaveRun, "", 1, 900 * time.Millisecond, 1300 * time.Millisecond,
		},
		"late answer with status 000, other host serves": {
			"/twice",
			[]lateOutcome{{400 * time.Millisecond, &call.Answer{Body: []byte("first")}}, {600 * time.Millisecond, served("second")}},
			verdict.Ran, "second", 2, 800 * time.Millisecond, 1300 * time.Millisecond,
		},
		"late refusal": {
			"/lookups",
			[]lateOutcome{{900 * time.Millisecond, refusal(verdict.MayHaveRun, verdict.BackendBroken)}},
			verdict.MayHaveRun, "", 1, 900 * time.Millisecond, 1300 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newSilentPeers(test.outcomes...)
			e := newTokenlessEntry(t, map[string][]string{"peals": {"host-0", "host-1"}}, 10, map[string]object.Spec{
				"peals":   object.ServiceSpec{},
				"lookups": object.RouteSpec{PathPrefix: "/lookups", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 1},
				"twice":   object.RouteSpec{PathPrefix: "/twice", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 2},
			}, func(c *entry.Config) { c.Peers, c.DefaultTimeout = p, 2*time.Second })
			recorder := httptest.NewRecorder()
			start := time.Now()
			e.CallerHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, test.path, nil))
			took := time.Since(start)
			qt.Check(t, recorder.Header().Get(header.Verdict), qt.Equals, test.verdict.String())
			if test.body != "" {
				qt.Check(t, recorder.Body.String(), qt.Equals, test.body)
			}
			qt.Check(t, p.sent.Load(), qt.Equals, test.sent)
			qt.Check(t, took >= test.min && took <= test.max, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// TestCallTokensAllowOneAttemptAtATime guards against nested calls that two attempts of their parent make at once.
func TestCallTokensAllowOneAttemptAtATime(t *testing.T) {
	served := func() *call.Answer { return &call.Answer{Status: http.StatusOK} }
	tests := map[string]struct {
		path     string
		sent     int64
		min, max time.Duration
	}{
		"sent again":       {"/often", 2, 1500 * time.Millisecond, 2500 * time.Millisecond},
		"only one attempt": {"/lookups", 1, 900 * time.Millisecond, 1300 * time.Millisecond},
		"only one host":    {"/bells", 1, 900 * time.Millisecond, 1300 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newSilentPeers(lateOutcome{900 * time.Millisecond, served()}, lateOutcome{1100 * time.Millisecond, served()})
			e := newTokenlessEntry(t, map[string][]string{"peals": {"host-0", "host-1"}, "bells": {"host-2"}}, 10, map[string]object.Spec{
				"peals":   object.ServiceSpec{},
				"bells":   object.ServiceSpec{},
				"ringing": object.RouteSpec{PathPrefix: "/bells", Service: "bells", Urgency: object.Normal, Open: true, Attempts: 4},
				"lookups": object.RouteSpec{PathPrefix: "/lookups", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 1},
				"often":   object.RouteSpec{PathPrefix: "/often", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 4},
			}, func(c *entry.Config) { c.Peers, c.NoCallTokens = p, false })
			recorder := httptest.NewRecorder()
			start := time.Now()
			e.CallerHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, test.path, nil))
			took := time.Since(start)
			qt.Check(t, recorder.Code, qt.Equals, http.StatusOK)
			qt.Check(t, p.sent.Load(), qt.Equals, test.sent)
			qt.Check(t, took >= test.min && took <= test.max, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// racingPeers are hosts that answer no ping. They answer first attempts less than a
// millisecond after the first ping has failed, and others at once.
type racingPeers struct {
	delayedPeers
	pinged   chan struct{}
	notePing func()
}

func newRacingPeers() *racingPeers {
	p := &racingPeers{pinged: make(chan struct{})}
	p.notePing = sync.OnceFunc(func() { close(p.pinged) })
	p.delay = func(int64, *call.Request) time.Duration { return 0 }
	p.answer = serveOK
	return p
}

func (p *racingPeers) Call(ctx context.Context, address, method string, args, reply any) error {
	if method == "Owner.Ping" {
		time.Sleep(20 * time.Millisecond) // lets the calls to the host wait for the same ping.
		p.notePing()
		return peer.ErrBroken
	}
	if request := exchanged(method, args); request != nil && strings.HasSuffix(request.ID, "/1") {
		select {
		case <-ctx.Done():
		case <-p.pinged:
			time.Sleep(rand.N(time.Millisecond))
		}
	}
	if ctx.Err() != nil {
		return peer.ErrBroken
	}
	return p.delayedPeers.Call(ctx, address, method, args, reply)
}

// TestAnswerAtTheMomentOfARetry guards against a call that fails because an attempt is served just as it is abandoned.
func TestAnswerAtTheMomentOfARetry(t *testing.T) {
	const rounds, calls = 4, 500
	var failed atomic.Int64
	for range rounds {
		e := newTokenlessEntry(t, map[string][]string{"peals": {"host-0", "host-1", "host-2", "host-3"}}, calls, map[string]object.Spec{
			"peals": object.ServiceSpec{},
			"often": object.RouteSpec{PathPrefix: "/often", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 4},
		}, func(c *entry.Config) { c.Peers, c.NoCallTokens, c.DisableRetryLimit = newRacingPeers(), false, true })
		var wg sync.WaitGroup
		for range calls {
			wg.Go(func() {
				recorder := httptest.NewRecorder()
				e.CallerHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/often", nil))
				if recorder.Code != http.StatusOK {
					failed.Add(1)
				}
			})
		}
		wg.Wait()
	}
	qt.Assert(t, failed.Load(), qt.Equals, int64(0))
}
