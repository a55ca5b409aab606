package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/quantile"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// hedgeFactor is the multiple of the route's 95th percentile latency after
	// which a call is sent to a second host as well.
	hedgeFactor = 2
	// minHedgeDelay is the minimum delay before a call is sent to a second host.
	minHedgeDelay = 30 * time.Millisecond
	// quantileRise and quantileFall are the fractions by which a latency above or
	// below the estimate raises or lowers it. Their ratio of 19 to 1 makes the
	// estimate converge to the 95th percentile.
	quantileRise = 0.095
	quantileFall = 0.005
	// minHedgeSamples is the number of served calls on a route before the estimate
	// is used.
	minHedgeSamples = 40
	// maxTrackedRoutes bounds the routes whose latencies are tracked.
	maxTrackedRoutes = 4096
)

// routeLatencies estimates the latency of served calls by route. Its methods may be
// called concurrently. The zero value is empty and ready to use.
type routeLatencies struct {
	mu      sync.Mutex
	byRoute map[string]*routeLatency
}

type routeLatency struct {
	p95     quantile.Estimate
	samples int
}

// observe records the latency of a served call.
func (t *routeLatencies) observe(route string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.byRoute[route]
	if tracked == nil {
		if t.byRoute == nil || len(t.byRoute) >= maxTrackedRoutes {
			t.byRoute = make(map[string]*routeLatency)
		}
		tracked = &routeLatency{}
		t.byRoute[route] = tracked
	}
	tracked.p95.Observe(latency, quantileRise, quantileFall)
	tracked.samples++
}

// delay returns the time after which a call on the route is sent to a second host,
// 0 if there are too few samples.
func (t *routeLatencies) delay(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.byRoute[route]
	if tracked == nil || tracked.samples < minHedgeSamples {
		return 0
	}
	return max(hedgeFactor*tracked.p95.Value(), minHedgeDelay)
}

// sendResult is the result of sending a call to one host.
type sendResult struct {
	host   balance.Host
	answer *call.Answer
	err    error
	// latency is the time from sending the call to its result.
	latency time.Duration
}

// served reports whether a backend server responded without a server error.
func (s *sendResult) served() bool {
	return s.err == nil && s.answer.Err == nil && s.answer.Status < http.StatusInternalServerError
}

// mayHaveRun reports whether a backend server ran the call or may have run it.
func (s *sendResult) mayHaveRun() bool {
	if s.err != nil {
		return verdict.Of(s.err) != verdict.NotRun
	}
	return s.answer.Err == nil || s.answer.Err.Verdict != verdict.NotRun
}

// canHedge reports whether calls on this route may be sent to a second host at all.
// Only the latencies of such calls are recorded.
func (e *Entry) canHedge(x *activeCall) bool {
	return e.config.NoCallTokens && !e.config.DisableHedging && e.mayRepeat(&x.request)
}

// hedgeDelay returns the time after which a call is sent to a second host as well,
// 0 if it is not hedged. Only nested calls are hedged: a single lost or late answer
// wastes the work that their ancestors have already done. The call must also be
// repeatable (see mayRepeat), must not be a repeated attempt or nested in one, and must
// have an attempt left.
func (e *Entry) hedgeDelay(x *activeCall, remaining time.Duration) time.Duration {
	if !e.canHedge(x) || x.request.Repeated || x.request.Depth == 0 || x.budget.Remaining() == 0 {
		return 0
	}
	delay := e.latencies.delay(x.request.Route)
	if 2*delay > remaining {
		return 0
	}
	return delay
}

// sendHedged sends the call to a host, and to a second one as well if the first
// takes much longer than usual and the second has spare capacity. It returns the
// result chosen by chooseResult.
func (e *Entry) sendHedged(ctx context.Context, x *activeCall, host balance.Host, request *call.Request, excluded []string) *sendResult {
	delay := e.hedgeDelay(x, request.Remaining)
	if delay == 0 {
		return e.send(ctx, x, host, request)
	}
	primaryCtx, cancelPrimary := context.WithCancelCause(ctx)
	defer cancelPrimary(nil)
	hedgeCtx, cancelHedge := context.WithCancelCause(ctx)
	defer cancelHedge(nil)
	hedgeResults := make(chan *sendResult, 1)
	timer := time.AfterFunc(delay, func() {
		hedge := e.sendHedge(hedgeCtx, x, request, append([]string{host.ID}, excluded...))
		if hedge != nil && hedge.served() {
			cancelPrimary(errSuperseded)
		}
		hedgeResults <- hedge
	})
	primary := e.send(primaryCtx, x, host, request)
	if timer.Stop() {
		return primary
	}
	if primary.served() {
		cancelHedge(errSuperseded)
	}
	hedge := <-hedgeResults
	x.noteHedge(primary, hedge)
	return e.chooseResult(primary, hedge)
}

// noteHedge records that the hedge may have run if neither result is served. The result
// of the primary alone may not say so: if the primary goes on at an unresponsive host, its
// late result may be that it has not run.
func (x *activeCall) noteHedge(primary, hedge *sendResult) {
	if primary.served() || hedge == nil || hedge.served() || !hedge.mayHaveRun() {
		return
	}
	x.mayHaveRun = x.mayHaveRun || !errors.Is(hedge.err, errPending)
}

// chooseResult returns the result of the call that was served. If neither was, it
// returns the primary's, unless only the hedge may have run: the verdict must then
// say so.
func (e *Entry) chooseResult(primary, hedge *sendResult) *sendResult {
	switch {
	case primary.served() || hedge == nil:
		return primary
	case hedge.served():
		metricHedgesServed.Add(1)
		return hedge
	case hedge.mayHaveRun() && !primary.mayHaveRun():
		return hedge
	}
	return primary
}

// sendHedge sends a call in progress to a second host. It returns nil if no host has
// spare capacity, if nested calls of calls of the same throttle kind were refused
// recently, if the route's call tree lacks capacity, or if the call's attempt budget or
// the service's retry bucket is empty.
func (e *Entry) sendHedge(ctx context.Context, x *activeCall, request *call.Request, excluded []string) *sendResult {
	now := time.Now()
	if ctx.Err() != nil || e.throttle.RecentlyRefused(e.throttleKind(x), now) || e.tree.Limited(x.request.Route, now) {
		return nil
	}
	host, err := e.config.Balancer.Choose(balance.Request{
		Service: x.request.Service, Urgency: x.request.Urgency, Nested: true, Exclude: excluded, RequireSpareCapacity: true,
	})
	if err != nil || !e.takeRetry(x) {
		return nil
	}
	hedge := *request
	hedge.ID += "/second"
	hedge.Repeated = true
	hedge.Candidate = host.Candidate
	hedge.Patience = minQueueWait
	if deadline, ok := ctx.Deadline(); ok {
		hedge.Remaining = time.Until(deadline)
	}
	metricHedges.Add(1)
	e.log.hedged(x, host.ID)
	return e.send(ctx, x, host, &hedge)
}
