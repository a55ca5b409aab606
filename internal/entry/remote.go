package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/httpstatus"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// answerGrace is how long past the owner's deadline an entry still waits for
	// the owner's answer, which carries the verdict of the call.
	answerGrace = 3 * time.Millisecond
	// cancelTimeout bounds the sending of a cancel message to an owner.
	cancelTimeout = 200 * time.Millisecond
)

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
	unresponsive   chan struct{}
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
	case answer.Err == nil && !httpstatus.IsFinal(answer.Status):
		// Nodes of earlier builds pass on what their backend servers send.
		metricInvalidStatuses.Add(1)
		result.err = verdict.New(verdict.MayHaveRun, verdict.StatusInvalid,
			"host %s sent status %d, which is none of a final response", a.host.ID, answer.Status)
	default:
		result.answer = answer
	}
	if err == nil {
		e.liveness.markHeard(a.host.ID, time.Now())
	}
	return result
}

// watchAttempt monitors the host during an attempt, until the returned function is called.
func (e *Entry) watchAttempt(a *remoteAttempt) (stop func()) {
	onUnresponsive := func() {
		a.isUnresponsive.Store(true)
		e.config.Balancer.RecordUnreachable(a.host.ID, time.Now())
		eventUnresponsive.Log(event.Fields{"host": a.host.ID, "zone": a.host.Zone, "request": a.request.RequestID})
		close(a.unresponsive)
	}
	watched, cancel := context.WithCancel(a.ctx)
	// Most attempts end before pingAfter and need no goroutine.
	timer := time.AfterFunc(pingAfter, func() {
		if watched.Err() == nil {
			e.wg.Go(func() { e.watchHost(watched, a.host, onUnresponsive) })
		}
	})
	return func() {
		timer.Stop()
		cancel()
	}
}

// unansweredError returns the error of an attempt that ended without an answer, and
// cancels the call at the owner if it was sent.
func (e *Entry) unansweredError(a *remoteAttempt, err error) error {
	host := a.host
	if errors.Is(err, peer.ErrNotSent) {
		if !errors.Is(a.ctx.Err(), context.Canceled) {
			e.config.Balancer.RecordUnreachable(host.ID, time.Now())
		}
		return verdict.New(verdict.NotRun, verdict.PeerUnreachable, "host %s: %v", host.ID, err)
	}
	e.wg.Go(func() { e.cancelRemote(host, a.request.ID) })
	if errors.Is(a.ctx.Err(), context.Canceled) {
		return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the caller went away")
	}
	if !a.isUnresponsive.Load() {
		e.config.Balancer.RecordUnreachable(host.ID, time.Now())
	}
	if deadline, _ := a.ctx.Deadline(); time.Until(deadline) <= answerGrace {
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
