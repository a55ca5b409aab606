package owner

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/retry"
	"curranthold.example/curranthold/internal/treeadmit"
)

// Parent is a call that the backend server is running and that may have nested calls.
// These inherit its properties and are cancelled when it ends.
type Parent struct {
	ctx     context.Context
	request *call.Request
	permit  *admission.Permit
	budget  *retry.Budget
	beneath *treeadmit.Beneath
	nested  atomic.Int64
	// nonRepeatable is set once a non-repeatable nested call has begun.
	nonRepeatable atomic.Bool

	// refused is set once a nested call was refused because of overload, and
	// failed once a nested call was not served for any reason.
	refused, failed atomic.Bool
	// refusedWithoutLevel is set once a service that reports no admission level has
	// refused a nested call because of overload.
	refusedWithoutLevel atomic.Bool
	// served is the number of nested calls that were served.
	served atomic.Int64
}

// Context returns a context that ends when the parent ends.
func (p *Parent) Context() context.Context { return p.ctx }

// Request returns the parent's request, which must not be modified.
func (p *Parent) Request() *call.Request { return p.request }

// Budget returns the attempt budget that the nested calls share.
func (p *Parent) Budget() *retry.Budget { return p.budget }

// BeginNested records that the backend server waits for a nested call, so that the
// wait is not counted as its own service time. The returned function records the end
// of the wait.
func (p *Parent) BeginNested() (end func()) {
	p.permit.BeginNested()
	return p.permit.EndNested
}

// NoteNonRepeatable records that a non-repeatable nested call has begun. The attempt
// of the parent must then not be repeated.
func (p *Parent) NoteNonRepeatable() { p.nonRepeatable.Store(true) }

// NoteRefused records that a nested call was refused because of overload, and whether
// the service that refused it reports admission levels.
func (p *Parent) NoteRefused(levelled bool) {
	p.refused.Store(true)
	if !levelled {
		p.refusedWithoutLevel.Store(true)
	}
}

// NoteLevel records the admission level that the answer to a nested call to the service
// reports; see [treeadmit.Reported].
func (p *Parent) NoteLevel(service string, closed float64, now time.Time) {
	p.beneath.Report(p.request.Route, service, closed, now)
}

// Progress returns the number of nested calls already served for the parent and the
// parent's ancestors, as far as this host knows.
func (p *Parent) Progress() int { return p.request.Progress + int(p.served.Load()) }

// NoteServed records that a nested call was served.
func (p *Parent) NoteServed() { p.served.Add(1) }

// NoteFailed records that a nested call was not served.
func (p *Parent) NoteFailed() { p.failed.Store(true) }

// NestedID returns a new request ID for a nested call.
func (p *Parent) NestedID() string {
	return fmt.Sprintf("%s.%d", p.request.RequestID, p.nested.Add(1))
}

// close takes all remaining attempts from the attempt budget, so that a late nested
// call cannot use them, and returns their number.
func (p *Parent) close() int {
	unspent := 0
	for p.budget.Take() {
		unspent++
	}
	return unspent
}

// callTokens maps call tokens to running calls. Several calls have the same token if it is
// the RequestID of a request that was sent to this host more than once. The zero value is
// an empty map.
type callTokens struct {
	mu      sync.Mutex
	parents map[string][]*Parent
}

// issue returns a token for the call that is valid until it is released. The token is
// the call's RequestID if byRequestID is set, and random otherwise.
func (t *callTokens) issue(p *Parent, byRequestID bool) string {
	token := p.request.RequestID
	if !byRequestID {
		token = rand.Text()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.parents == nil {
		t.parents = make(map[string][]*Parent)
	}
	t.parents[token] = append(t.parents[token], p)
	return token
}

func (t *callTokens) release(token string, p *Parent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rest := slices.DeleteFunc(t.parents[token], func(other *Parent) bool { return other == p })
	if len(rest) == 0 {
		delete(t.parents, token)
		return
	}
	t.parents[token] = rest
}

// lookup returns the latest call with the token, if possible one that has not been
// cancelled.
func (t *callTokens) lookup(token string) (*Parent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	parents := t.parents[token]
	for _, p := range slices.Backward(parents) {
		if p.ctx.Err() == nil {
			return p, true
		}
	}
	if len(parents) == 0 {
		return nil, false
	}
	return parents[len(parents)-1], true
}
