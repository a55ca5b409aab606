package entry

import (
	"context"
	"errors"
	"sync"

	"curranthold.example/curranthold/pkg/verdict"
)

// lateResults collects the results of those attempts of one call that go on at
// unresponsive hosts while the call is sent to other hosts.
type lateResults struct {
	// ctx is the context of the call, and interrupt ends its other attempts once a
	// late result is served.
	ctx       context.Context
	interrupt context.CancelFunc

	// The fields below belong to the attempts that were added since the last abandon.
	mu      sync.Mutex
	pending int
	served  bool
	results chan *sendResult
	lateCtx context.Context
	stop    context.CancelCauseFunc
	stopped chan struct{}
}

// errPending marks the error of an attempt that goes on: whether it has run is known
// only from its late result.
var errPending = errors.New("entry: the attempt goes on")

// unanswered reports whether the results of attempts are still missing.
func (l *lateResults) unanswered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending > 0
}

// add leaves an attempt that has not ended to l.
func (l *lateResults) add(e *Entry, a *remoteAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.results == nil {
		l.results, l.stopped = make(chan *sendResult), make(chan struct{})
		l.lateCtx, l.stop = context.WithCancelCause(l.ctx)
	}
	l.pending++
	results, stopped := l.results, l.stopped
	unfollow := a.follow(l.lateCtx)
	e.wg.Go(func() {
		defer unfollow()
		result := <-a.result
		l.interruptIfServed(result, stopped)
		select {
		case results <- result:
		case <-stopped:
		}
	})
}

// interruptIfServed ends the other attempts of the call if the result is served and its
// attempt was not abandoned.
func (l *lateResults) interruptIfServed(result *sendResult, stopped <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped != stopped || !result.served() {
		return
	}
	l.served = true
	l.interrupt()
}

// next waits for the next result, at most answerGrace past the deadline of the call. It
// returns nil if no attempt is left. No attempt may be added any more.
func (l *lateResults) next() *sendResult {
	l.mu.Lock()
	if l.pending == 0 {
		l.mu.Unlock()
		return nil
	}
	l.pending--
	results := l.results
	l.mu.Unlock()
	return <-results
}

// abandon cancels the attempts whose results are still missing.
func (l *lateResults) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandonLocked()
}

// abandonUnserved is abandon, but does nothing and returns false if a result was served.
func (l *lateResults) abandonUnserved() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.served {
		return false
	}
	l.abandonLocked()
	return true
}

func (l *lateResults) abandonLocked() {
	if l.results == nil {
		return
	}
	l.stop(errSuperseded)
	close(l.stopped)
	l.pending, l.results, l.stopped = 0, nil, nil
}

// awaitLate waits for the late results of a call whose other attempts failed, and
// accepts the first response of a backend server among them. Without one, it returns the
// error of the call.
func (e *Entry) awaitLate(x *activeCall, failure *verdict.Error) error {
	for {
		result := x.late.next()
		if result == nil {
			return overallError(failure, x.mayHaveRun)
		}
		x.mayHaveRun = x.mayHaveRun || result.mayHaveRun()
		err := e.accept(x, result)
		if err == nil {
			return nil
		}
		failure = verdict.From(err)
	}
}
