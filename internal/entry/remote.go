package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/httphead"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// answerGrace is how long past the owner's deadline an entry still waits for
	// the owner's answer, which carries the verdict of the call.
	answerGrace = 3 * time.Millisecond
	// cancelTimeout bounds the sending of a cancel message to an owner.
	cancelTimeout = 200 * time.Millisecond
	// verdictWait is how long the entry waits for the reply to a cancel message after
	// the deadline of a call or after its caller went away. The reply may say that the
	// call has not run. Callers don't wait longer than that.
	verdictWait = 15 * time.Millisecond
	// verdictWaitDivisor divides the remaining time to give the time that the entry
	// waits for that reply before the deadline.
	verdictWaitDivisor = 4
)

// errSuperseded is the cause with which an attempt is cancelled because another attempt
// of its call was served, or because nobody needs its result.
var errSuperseded = errors.New("entry: superseded by another attempt")

// remoteAttempt is an attempt at another host.
type remoteAttempt struct {
	host    balance.Host
	request *call.Request
	// ctx ends answerGrace after the deadline, or when the call is cancelled.
	ctx    context.Context
	cancel context.CancelFunc
	// result receives the result, once.
	result chan *sendResult
	// isUnresponsive is set, and unresponsive closed, when the host becomes
	// unresponsive.
	isUnresponsive atomic.Bool
	// superseded is set if the attempt was cancelled with errSuperseded.
	superseded   atomic.Bool
	unresponsive chan struct{}
}

// startRemote starts an attempt, which ends when it is answered, at the deadline of the
// request, or when it is cancelled.
func (e *Entry) startRemote(ctx context.Context, host balance.Host, request *call.Request) *remoteAttempt {
	a := &remoteAttempt{
		host: host, request: request,
		result: make(chan *sendResult, 1), unresponsive: make(chan struct{}),
	}
	// The owner stops at the same deadline and knows whether the call ran. The
	// attempt therefore continues past the deadline of ctx by answerGrace.
	a.ctx, a.cancel = context.WithTimeout(context.WithoutCancel(ctx), request.Remaining+answerGrace)
	e.config.Balancer.Begin(host.ID)
	e.wg.Go(func() { a.result <- e.runRemote(a) })
	return a
}

// follow cancels the attempt when ctx is cancelled, but not at the deadline of ctx. The
// returned function ends this.
func (a *remoteAttempt) follow(ctx context.Context) (unfollow func() bool) {
	return context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			a.superseded.Store(errors.Is(context.Cause(ctx), errSuperseded))
			a.cancel()
		}
	})
}

// runRemote sends the request to the host and returns the result.
func (e *Entry) runRemote(a *remoteAttempt) *sendResult {
	defer a.cancel()
	defer e.config.Balancer.End(a.host.ID)
	started := time.Now()
	stop := e.watchAttempt(a)
	answer, err := e.exchanger.exchange(a.ctx, a.host.Address, a.request)
	stop()
	result := &sendResult{host: a.host, latency: time.Since(started)}
	switch {
	case err != nil:
		result.err = e.unansweredError(a, err)
	case !answer.Matches(a.request):
		result.err = verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch,
			"host %s sent a damaged answer or one to another call", a.host.ID)
	default:
		if result.err = checkHead(a.host.ID, answer); result.err == nil {
			result.answer = answer
		}
	}
	if err == nil {
		e.liveness.markHeard(a.host.ID, time.Now())
	}
	return result
}

// checkHead returns an error if the answer of a host contains the head of a response that
// must not be passed on. Nodes of earlier builds pass on what their backend servers send.
func checkHead(host string, answer *call.Answer) error {
	if answer.Err != nil {
		return nil
	}
	if !httphead.IsFinal(answer.Status) {
		metricInvalidStatuses.Add(1)
		return verdict.New(verdict.MayHaveRun, verdict.StatusInvalid,
			"host %s sent status %d, which is none of a final response", host, answer.Status)
	}
	if err := httphead.CheckFields(answer.Header); err != nil {
		metricInvalidHeads.Add(1)
		return verdict.New(verdict.MayHaveRun, verdict.HeadInvalid, "host %s sent an invalid head: %v", host, err)
	}
	return nil
}

// watchAttempt monitors the host during an attempt, until the attempt's context ends. The
// returned function must be called before; it keeps a monitoring from starting.
func (e *Entry) watchAttempt(a *remoteAttempt) (stop func()) {
	onUnresponsive := func() {
		a.isUnresponsive.Store(true)
		e.config.Balancer.RecordUnreachable(a.host.ID, time.Now())
		eventUnresponsive.Log(event.Fields{"host": a.host.ID, "zone": a.host.Zone, "request": a.request.RequestID})
		close(a.unresponsive)
	}
	// Most attempts end before pingAfter and need no goroutine. The goroutine ends with
	// a.ctx, soon after the exchange.
	timer := time.AfterFunc(pingAfter, func() {
		if a.ctx.Err() == nil {
			e.wg.Go(func() { e.watchHost(a.ctx, a.host, onUnresponsive) })
		}
	})
	return func() { timer.Stop() }
}

// unansweredError returns the error of an attempt that ended without an answer, and
// cancels the call at the owner if it was sent. The call has not run if it was not sent,
// if the host has no method for it, or if the owner says so.
func (e *Entry) unansweredError(a *remoteAttempt, err error) error {
	host := a.host
	if errors.Is(err, peer.ErrNotSent) {
		if !errors.Is(a.ctx.Err(), context.Canceled) {
			e.config.Balancer.RecordUnreachable(host.ID, time.Now())
		}
		return verdict.New(verdict.NotRun, verdict.PeerUnreachable, "host %s: %v", host.ID, err)
	}
	if isUnknownMethod(err) {
		return verdict.New(verdict.NotRun, verdict.PeerUnreachable, "host %s: %v", host.ID, err)
	}
	v := verdict.MayHaveRun
	if e.withdraw(a) {
		v = verdict.NotRun
	}
	if errors.Is(a.ctx.Err(), context.Canceled) {
		return verdict.New(v, verdict.Cancelled, "the caller went away")
	}
	if !a.isUnresponsive.Load() && v != verdict.NotRun {
		e.config.Balancer.RecordUnreachable(host.ID, time.Now())
	}
	if deadline, _ := a.ctx.Deadline(); time.Until(deadline) <= answerGrace {
		return verdict.New(v, verdict.DeadlineExceeded, "host %s did not answer in time", host.ID)
	}
	if v == verdict.NotRun {
		return verdict.New(v, verdict.PeerUnreachable, "host %s: %v; it has not run the request", host.ID, err)
	}
	return verdict.New(v, verdict.PeerExchangeBroken, "host %s: %v", host.ID, err)
}

// withdraw cancels the call at the owner. It reports whether the owner replied within
// the time of withdrawWait that the call has not run and never will.
func (e *Entry) withdraw(a *remoteAttempt) bool {
	notRun := make(chan bool, 1)
	e.wg.Go(func() { notRun <- e.cancelRemote(a.host, a.request.ID) })
	wait := e.withdrawWait(a)
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case known := <-notRun:
		return known
	case <-timer.C:
		return false
	}
}

// withdrawWait returns how long to wait for the reply to the cancel message of an
// attempt that ended without an answer: not at all if nobody needs its verdict or the
// host is unresponsive. Before the deadline only requests that may not be repeated wait,
// since others are sent again whatever the verdict is.
func (e *Entry) withdrawWait(a *remoteAttempt) time.Duration {
	if a.superseded.Load() || a.isUnresponsive.Load() {
		return 0
	}
	deadline, _ := a.ctx.Deadline()
	left := time.Until(deadline) - answerGrace
	switch {
	case a.ctx.Err() != nil || left <= 0:
		return verdictWait
	case e.mayRepeat(a.request):
		return 0
	}
	return min(left/verdictWaitDivisor, cancelTimeout)
}

// cancelRemote asks the owner on the host to cancel a call whose answer is no longer
// awaited. It reports whether the owner replied that the call has not run.
func (e *Entry) cancelRemote(host balance.Host, id string) (notRun bool) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	var reply call.Cancel
	err := e.config.Peers.Call(ctx, host.Address, "Owner.Cancel", &call.Cancel{ID: id}, &reply)
	return err == nil && reply.NotRun
}
