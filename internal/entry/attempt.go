package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/kernel"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/retry"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// answerGrace is how long past the owner's deadline an entry still waits for
	// the owner's answer, which carries the verdict of the call.
	answerGrace = 3 * time.Millisecond
	// cancelTimeout bounds the sending of a cancel message to an owner.
	cancelTimeout = 200 * time.Millisecond
	// maxFailovers is the maximum number of times a call is sent to another host
	// after an attempt that was not offered to a backend server, if NoCallTokens
	// is set.
	maxFailovers = 3
)

// attemptStage sends the call to a host. After a failure it sends the call to
// another host if a retry is safe and the limits on retries allow it (see mayRetry).
func attemptStage(e *Entry) kernel.Stage[*activeCall] {
	return func(ctx context.Context, x *activeCall, _ kernel.Handler[*activeCall]) error {
		if err := e.checkThrottle(x); err != nil {
			return err
		}
		e.countFirstAttempt(x)
		var excluded []string
		var lastFailure *verdict.Error
		var fallback *call.Answer
		mayHaveRun := false
		for attempt := 1; ; attempt++ {
			host, offered, err := e.attempt(ctx, x, attempt, excluded)
			if err == nil {
				err = e.serverErrorToRetry(x)
				fallback = x.answer
			}
			if err == nil {
				return nil
			}
			failure := verdict.From(err)
			if lastFailure != nil && failure.Code == verdict.NoHost {
				return x.finishFailed(lastFailure, mayHaveRun, fallback) // All hosts have been tried.
			}
			lastFailure = failure
			mayHaveRun = mayHaveRun || failure.Verdict == verdict.MayHaveRun
			if !e.mayRetry(ctx, x, failure, offered) {
				return x.finishFailed(failure, mayHaveRun, fallback)
			}
			metricRetries.Add(1)
			e.log.retried(x, host, attempt, failure)
			x.request.Repeated = x.request.Repeated || offered
			if host != "" {
				excluded = append(excluded, host)
			}
			if !sleep(ctx, retry.Backoff(attempt, rand.Float64)) {
				return x.finishFailed(failure, mayHaveRun, fallback)
			}
		}
	}
}

// countFirstAttempt counts the first attempt of a call in the retry bucket of its
// service. A first attempt earns a fraction of a retry. If the call is nested in a
// repeated attempt, it is counted as a retry instead, so that retries don't multiply
// with the depth of the call chain.
func (e *Entry) countFirstAttempt(x *activeCall) {
	bucket := e.retries.Bucket(x.request.Service)
	if x.request.Repeated {
		bucket.CountNestedInRetry()
		return
	}
	bucket.CountFirst()
}

// mayRetry reports whether the call may be sent once more, and takes a retry from the
// call's attempt budget and the service's retry bucket. If NoCallTokens is set, an
// attempt that was not offered to a backend server costs no retry; maxFailovers
// limits the number of these.
func (e *Entry) mayRetry(ctx context.Context, x *activeCall, failure *verdict.Error, offered bool) bool {
	if ctx.Err() != nil || !retry.Allowed(failure, x.request.NonRepeatable) {
		return false
	}
	if !offered && e.config.NoCallTokens {
		x.failovers++
		return x.failovers <= maxFailovers
	}
	return e.takeRetry(x)
}

// takeRetry takes a retry from the call's attempt budget and from the retry bucket
// of its service. It reports whether both allowed it.
func (e *Entry) takeRetry(x *activeCall) bool {
	return x.budget.Remaining() > 0 &&
		(e.config.DisableRetryLimit || e.retries.Bucket(x.request.Service).Take()) &&
		x.budget.Take()
}

// serverErrorToRetry returns an error if the backend server responded with a server
// error and the call should be retried on another host, and nil otherwise. A server
// error caused by refused nested calls is not retried, since the retry would repeat
// the nested calls.
func (e *Entry) serverErrorToRetry(x *activeCall) error {
	if !e.config.NoCallTokens || x.answer.Status < http.StatusInternalServerError || x.answer.RefusedBeneath || x.request.Repeated {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "the backend server answered with status %d", x.answer.Status)
}

// finishFailed ends a call whose last attempt failed. If a backend server responded
// to any attempt, the call's answer is fallback, the latest such response. Otherwise
// finishFailed returns the error of the call.
func (x *activeCall) finishFailed(failure *verdict.Error, mayHaveRun bool, fallback *call.Answer) error {
	if fallback == nil {
		return overallError(failure, mayHaveRun)
	}
	x.answer = fallback
	return nil
}

// overallError returns the error of the last attempt with the verdict of the whole
// call: if an earlier attempt may have run, the call may have run.
func overallError(failure *verdict.Error, mayHaveRun bool) error {
	if !mayHaveRun || failure.Verdict != verdict.NotRun {
		return failure
	}
	overall := *failure
	overall.Verdict = verdict.MayHaveRun
	return &overall
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// attempt sends the call to one host. It returns the host's ID, or "" if none was
// chosen, and whether the call may have been offered to a backend server.
func (e *Entry) attempt(ctx context.Context, x *activeCall, number int, excluded []string) (name string, offered bool, err error) {
	host, err := e.config.Balancer.Choose(balance.Request{
		Service: x.request.Service,
		Urgency: x.request.Urgency,
		Nested:  x.request.Depth > 0,
		Exclude: excluded,
	})
	if err != nil {
		return "", false, err
	}
	budgetShare := e.budgetShare(x)
	request := x.request
	request.ID = x.id + "/" + strconv.Itoa(number)
	request.ExtraAttempts = budgetShare.Retries()
	if deadline, ok := ctx.Deadline(); ok {
		request.Remaining = time.Until(deadline)
		request.Patience = x.maxQueueWait(request.Remaining, time.Now())
	}
	x.noteNonRepeatable(request.NonRepeatable && !x.claimed)
	result := e.sendHedged(ctx, x, host, &request, excluded)
	host = result.host
	answer := result.answer
	if result.err != nil {
		notSent := verdict.Of(result.err) == verdict.NotRun
		if notSent {
			budgetShare.Refund(budgetShare.Retries())
		}
		return host.ID, !notSent, result.err
	}
	if result.served() && e.canHedge(x) {
		e.latencies.observe(x.request.Route, result.latency)
	}
	x.noteNonRepeatable(answer.NonRepeatable)
	budgetShare.Refund(answer.ExtraAttempts)
	e.config.Balancer.Observe(host.ID, answer.Load, time.Now())
	e.throttle.Observe(e.throttleKind(x), answer.RefusedBeneath, time.Now())
	if answer.Err != nil {
		if answer.Err.Code == verdict.BackendUnreachable {
			e.config.Balancer.RecordUnreachable(host.ID, time.Now())
		}
		return host.ID, answer.Offered, answer.Err
	}
	x.answer = answer
	return host.ID, true, nil
}

// budgetShare returns the part of the call's attempt budget that is sent with the
// call for its nested calls. It is empty if backend servers pass on no call tokens:
// nested calls then have attempt budgets of their own.
func (e *Entry) budgetShare(x *activeCall) *retry.Share {
	if e.config.NoCallTokens {
		return new(retry.Share)
	}
	return x.budget.Split()
}

// noteNonRepeatable does nothing unless begun is set and the call is nested. It then
// tells the parent that a non-repeatable call has begun, so that the parent's attempt
// must not be repeated.
func (x *activeCall) noteNonRepeatable(begun bool) {
	if begun && x.parent != nil {
		x.parent.NoteNonRepeatable()
	}
}

// send sends the call to the host and returns the answer.
func (e *Entry) send(ctx context.Context, host balance.Host, request *call.Request) (*call.Answer, error) {
	e.config.Balancer.Begin(host.ID)
	defer e.config.Balancer.End(host.ID)
	if host.ID == e.config.Host {
		answer := new(call.Answer)
		e.config.Owner.Call(ctx, request, answer)
		return answer, nil
	}
	// The owner stops at the same deadline and knows whether the call ran.
	// The peer call therefore continues past the deadline of ctx by
	// answerGrace, unless the caller has disconnected.
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.Remaining+answerGrace)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})()
	stop := e.watchAttempt(graceCtx, host, request, cancel)
	answer, err := e.exchanger.exchange(graceCtx, host.Address, request)
	unresponsive := stop()
	if err != nil {
		return nil, e.unansweredError(ctx, host, request, err, unresponsive)
	}
	e.liveness.markHeard(host.ID, time.Now())
	if !answer.Matches(request) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch,
			"host %s sent a damaged answer or one to another call", host.ID)
	}
	return answer, nil
}

// watchAttempt monitors the host during an attempt. If the host becomes unresponsive
// and the request is repeatable, it calls giveUp so that the request can be sent to
// another host. The returned function ends the monitoring and reports whether the
// host became unresponsive.
func (e *Entry) watchAttempt(ctx context.Context, host balance.Host, request *call.Request, giveUp func()) (stop func() bool) {
	var unresponsive atomic.Bool
	onUnresponsive := func() {
		unresponsive.Store(true)
		e.config.Balancer.RecordUnreachable(host.ID, time.Now())
		eventUnresponsive.Log(event.Fields{"host": host.ID, "zone": host.Zone, "request": request.RequestID})
		if !request.NonRepeatable {
			giveUp()
		}
	}
	watched, cancel := context.WithCancel(ctx)
	// Most attempts end before pingAfter and need no goroutine.
	timer := time.AfterFunc(pingAfter, func() {
		if watched.Err() == nil {
			e.wg.Go(func() { e.watchHost(watched, host, onUnresponsive) })
		}
	})
	return func() bool {
		timer.Stop()
		cancel()
		return unresponsive.Load()
	}
}

// unansweredError returns the error of a peer call that ended without an answer,
// and cancels the call at the owner if it was sent.
func (e *Entry) unansweredError(ctx context.Context, host balance.Host, request *call.Request, err error, unresponsive bool) error {
	if errors.Is(err, peer.ErrNotSent) {
		e.config.Balancer.RecordUnreachable(host.ID, time.Now())
		return verdict.New(verdict.NotRun, verdict.PeerUnreachable, "host %s: %v", host.ID, err)
	}
	e.wg.Go(func() { e.cancelRemote(host, request.ID) })
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the caller went away")
	}
	if !unresponsive {
		e.config.Balancer.RecordUnreachable(host.ID, time.Now())
	}
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "host %s did not answer in time", host.ID)
	}
	return verdict.New(verdict.MayHaveRun, verdict.PeerExchangeBroken, "host %s: %v", host.ID, err)
}

// cancelRemote asks the owner on the host to cancel a call whose answer is no longer
// awaited.
func (e *Entry) cancelRemote(host balance.Host, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = e.config.Peers.Call(ctx, host.Address, "Owner.Cancel", &call.Cancel{ID: id}, new(call.Cancel))
}
