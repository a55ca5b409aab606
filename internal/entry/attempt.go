package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/kernel"
	"curranthold.example/curranthold/internal/retry"
	"curranthold.example/curranthold/pkg/verdict"
)

// maxFailovers is the maximum number of times a call is sent to another host after an
// attempt that was not offered to a backend server, if NoCallTokens is set.
const maxFailovers = 3

// attemptStage sends the call to a host. After a failure it sends the call to
// another host if a retry is safe and the limits on retries allow it (see mayRetry).
// Attempts at unresponsive hosts go on until the call has ended or, if NoCallTokens is
// not set, until it is sent to another host.
func attemptStage(e *Entry) kernel.Stage[*activeCall] {
	return func(ctx context.Context, x *activeCall, _ kernel.Handler[*activeCall]) error {
		if err := e.checkThrottle(x); err != nil {
			return err
		}
		e.countFirstAttempt(x)
		attemptsCtx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		x.late.ctx, x.late.interrupt = ctx, func() { cancel(errSuperseded) }
		defer x.late.abandon()
		failure := e.sendToHosts(attemptsCtx, x)
		if failure == nil {
			return nil
		}
		if x.fallback == nil || attemptsCtx.Err() != nil {
			err := e.awaitLate(x, failure)
			if err == nil || x.fallback == nil {
				return err
			}
		}
		x.answer = x.fallback
		return nil
	}
}

// sendToHosts sends the call to one host after the other until it is served. It returns
// the last failure if there is nothing left to try.
func (e *Entry) sendToHosts(ctx context.Context, x *activeCall) *verdict.Error {
	var excluded []string
	var lastFailure *verdict.Error
	for attempt := 1; ; attempt++ {
		host, offered, err := e.attempt(ctx, x, attempt, excluded)
		if err == nil {
			err = e.serverErrorToRetry(x)
			x.fallback = x.answer
		}
		if err == nil {
			return nil
		}
		failure := verdict.From(err)
		if lastFailure != nil && failure.Code == verdict.NoHost {
			return lastFailure // All hosts have been tried.
		}
		lastFailure = failure
		x.mayHaveRun = x.mayHaveRun || (failure.Verdict == verdict.MayHaveRun && !errors.Is(err, errPending))
		if !e.mayRetry(ctx, x, failure, offered) {
			return failure
		}
		metricRetries.Add(1)
		e.log.retried(x, host, attempt, failure)
		x.request.Repeated = x.request.Repeated || offered
		x.request.DemandCounted = x.request.DemandCounted || e.demandCounted(host, failure)
		if host != "" {
			excluded = append(excluded, host)
		}
		if !sleep(ctx, retry.Backoff(attempt, rand.Float64)) {
			return failure
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
	if ctx.Err() != nil || !retry.Allowed(failure, !e.mayRepeat(&x.request)) {
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

		Candidate: e.useCandidate(x, number),
	})
	if err != nil {
		return "", false, err
	}
	// Two attempts at once would both make the nested calls, and these need not be
	// repeatable.
	if !e.config.NoCallTokens && x.late.unanswered() {
		x.mayHaveRun = true
	}
	if !e.config.NoCallTokens && !x.late.abandonUnserved() {
		return "", false, verdict.New(verdict.NotRun, verdict.Cancelled, "an earlier attempt was served")
	}
	budgetShare := e.budgetShare(x)
	request := x.request
	request.ID = x.id + "/" + strconv.Itoa(number)
	request.Candidate = host.Candidate
	request.ExtraAttempts = budgetShare.Retries()
	if deadline, ok := ctx.Deadline(); ok {
		request.Remaining = time.Until(deadline)
		request.Patience = x.maxQueueWait(request.Remaining, time.Now())
	}
	x.noteNonRepeatable(!e.mayRepeat(&request) && !x.claimed)
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
	budgetShare.Refund(answer.ExtraAttempts)
	err = e.accept(x, result)
	return host.ID, err == nil || answer.Offered, err
}

// useCandidate reports whether an attempt asks for a host whose version is not in force.
// Only first attempts do, and no nested calls of repeated ones: what failed on such a
// host is retried on another.
func (e *Entry) useCandidate(x *activeCall, attempt int) bool {
	return e.config.Rollouts != nil && attempt == 1 && !x.request.Repeated &&
		e.config.Rollouts.UseCandidate(x.request.Service)
}

// accept takes the outcome of an attempt: it makes the response of a backend server the
// call's answer, and returns any other outcome as an error.
func (e *Entry) accept(x *activeCall, result *sendResult) error {
	if result.err != nil {
		return result.err
	}
	host, answer := result.host, result.answer
	if answer.NonRepeatable {
		e.nonRepeatableRoutes.LoadOrStore(x.request.Route, nil)
		x.noteNonRepeatable(true)
	}
	now := time.Now()
	e.config.Balancer.Observe(host.ID, answer.Load, now)
	e.observeLevel(x, answer, now)
	e.throttle.Observe(e.throttleKind(x), e.refusedForThrottle(answer), now)
	if answer.Err == nil {
		x.answer = answer
		return nil
	}
	if answer.Err.Code == verdict.BackendUnreachable {
		e.config.Balancer.RecordUnreachable(host.ID, now)
	}
	return answer.Err
}

// mayRepeat reports whether a request that may have run can be sent again. It cannot if
// it is non-repeatable, or if an earlier request on its route has begun a non-repeatable
// nested call: if the answer is lost, this request may have begun one too.
func (e *Entry) mayRepeat(request *call.Request) bool {
	if request.NonRepeatable {
		return false
	}
	_, learned := e.nonRepeatableRoutes.Load(request.Route)
	return !learned
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

// send sends the call to the host and returns the result. If the host becomes
// unresponsive and the request may be repeated, send leaves the attempt to x.late and
// returns an error, so that the request is sent to another host as well.
func (e *Entry) send(ctx context.Context, x *activeCall, host balance.Host, request *call.Request) *sendResult {
	if host.ID == e.config.Host {
		return e.sendLocal(ctx, host, request)
	}
	a := e.startRemote(ctx, host, request)
	defer a.follow(ctx)()
	unresponsive := a.unresponsive
	if !e.mayRepeat(request) {
		unresponsive = nil
	}
	select {
	case result := <-a.result:
		return result
	case <-unresponsive:
		x.late.add(e, a)
		failure := verdict.New(verdict.MayHaveRun, verdict.PeerExchangeBroken, "host %s is unresponsive", host.ID)
		return &sendResult{host: host, err: errors.Join(errPending, failure)}
	}
}

// sendLocal passes the call to the owner on this host.
func (e *Entry) sendLocal(ctx context.Context, host balance.Host, request *call.Request) *sendResult {
	e.config.Balancer.Begin(host.ID)
	defer e.config.Balancer.End(host.ID)
	started := time.Now()
	answer := new(call.Answer)
	e.config.Owner.Call(ctx, request, answer)
	return &sendResult{host: host, answer: answer, latency: time.Since(started)}
}
