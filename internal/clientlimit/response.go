package clientlimit

import (
	"container/list"
	"sync"
)

// Response is a large response that is being written. Nil stands for a small one.
type Response struct {
	budget *Budget
	size   int64

	// mu serializes the callbacks of the response, and is held during each. It is locked
	// before the lock of the budget.
	mu    sync.Mutex
	abort func()
	ended bool

	// The lock of the budget guards the fields below.
	element *list.Element
	aborted bool
}

// BeginResponse records that a response of the given size is being written. If there
// are too many, it aborts those that have made no progress for longest. The caller must
// call End when nothing refers to the response any more: abort is not called after that.
func (b *Budget) BeginResponse(size int64, abort func()) *Response {
	if b == nil || b.limits[Responses] == 0 {
		return nil
	}
	r := &Response{budget: b, size: size, abort: abort}
	for _, victim := range b.addResponse(r) {
		victim.cutOff()
	}
	b.recordPeak()
	return r
}

// addResponse adds the response and removes those for which there is no room beside it.
func (b *Budget) addResponse(r *Response) (victims []*Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.inUse[Responses].Load()+r.size > b.limits[Responses] && b.responses.Len() > 0 {
		victim := b.responses.Front().Value.(*Response)
		b.refused(Responses)
		victim.remove()
		victim.aborted = true
		victims = append(victims, victim)
	}
	r.element = b.responses.PushBack(r)
	b.inUse[Responses].Add(r.size)
	return victims
}

// cutOff calls abort, unless the response has ended meanwhile.
func (r *Response) cutOff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.abort()
	}
}

// Continue records progress and calls extend, which extends the time for the next part.
// It reports false if the response was aborted.
func (r *Response) Continue(extend func()) bool {
	if r == nil {
		extend()
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.progress() {
		return false
	}
	extend() // An abort from now on waits for mu, and so comes after it.
	return true
}

// progress makes the response the last to be aborted. It reports false if it was aborted.
func (r *Response) progress() bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.aborted {
		return false
	}
	b.responses.MoveToBack(r.element)
	return true
}

// End records that the response is written or given up.
func (r *Response) End() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.aborted {
		r.remove()
	}
}

// remove removes the response from the budget, which must be locked.
func (r *Response) remove() {
	r.budget.responses.Remove(r.element)
	r.budget.inUse[Responses].Add(-r.size)
}
