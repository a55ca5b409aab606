package owner

import (
	"context"
	"errors"
	"sync"

	"curranthold.example/curranthold/pkg/verdict"
)

// errKeyWithdrawn is the cancellation cause of a waiting call whose client key was
// withdrawn.
var errKeyWithdrawn = errors.New("owner: the key was withdrawn")

// waitingCalls is the set of calls that wait for admission. The zero value is empty.
type waitingCalls struct {
	mu    sync.Mutex
	calls map[*waiter]struct{}
}

// waiter is one call that waits for admission, with the name of its client key.
type waiter struct {
	key    string
	cancel context.CancelCauseFunc
}

// add adds a call with the given key name. The returned context is cancelled with
// cause errKeyWithdrawn when the key is withdrawn. The caller must call release when
// the call no longer waits.
func (w *waitingCalls) add(ctx context.Context, key string) (_ context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	call := &waiter{key: key, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = make(map[*waiter]struct{})
	}
	w.calls[call] = struct{}{}
	return ctx, func() {
		w.mu.Lock()
		delete(w.calls, call)
		w.mu.Unlock()
		cancel(nil)
	}
}

// cancel cancels the waiting calls whose keys are withdrawn.
func (w *waitingCalls) cancel(withdrawn func(key string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for call := range w.calls {
		if withdrawn(call.key) {
			call.cancel(errKeyWithdrawn)
		}
	}
}

// Waiting returns the number of calls waiting for admission.
func (o *Owner) Waiting() int {
	o.waitingCalls.mu.Lock()
	defer o.waitingCalls.mu.Unlock()
	return len(o.waitingCalls.calls)
}

// CancelWithdrawn refuses the waiting calls whose keys are withdrawn. Calls that the
// backend server is already running continue.
func (o *Owner) CancelWithdrawn() {
	if o.config.IsKeyWithdrawn != nil {
		o.waitingCalls.cancel(o.config.IsKeyWithdrawn)
	}
}

// checkKeyWithdrawn returns an error if the key with the given name is withdrawn.
func (o *Owner) checkKeyWithdrawn(key string) error {
	if key == "" || o.config.IsKeyWithdrawn == nil || !o.config.IsKeyWithdrawn(key) {
		return nil
	}
	return keyWithdrawnError()
}

func keyWithdrawnError() error {
	return verdict.New(verdict.NotRun, verdict.KeyRefused, "the key was withdrawn")
}
