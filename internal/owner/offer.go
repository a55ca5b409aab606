package owner

import (
	"slices"
	"sync/atomic"
)

// offer decides whether a call is offered to the backend server or withdrawn before:
// the first of begin and withdraw wins. The zero value is undecided.
type offer struct{ state atomic.Uint32 }

const (
	offerBegun     = 1
	offerWithdrawn = 2
)

// begin reports whether the call may be offered: it has not been withdrawn.
func (o *offer) begin() bool { return o.state.CompareAndSwap(0, offerBegun) }

// withdraw reports whether the call was not offered and never will be.
func (o *offer) withdraw() bool {
	return o.state.CompareAndSwap(0, offerWithdrawn) || o.state.Load() == offerWithdrawn
}

// maxRecentIDs bounds the identifiers that recentIDs keeps. It covers the refusals of
// about a second, in which an entry asks for the outcome of a lost answer.
const maxRecentIDs = 1024

// recentIDs holds the identifiers added last. The zero value is empty.
type recentIDs struct {
	ring [maxRecentIDs]string
	next int
}

func (r *recentIDs) add(id string) {
	r.ring[r.next] = id
	r.next = (r.next + 1) % maxRecentIDs
}

// contains is slow. It is only called for calls whose answer was lost.
func (r *recentIDs) contains(id string) bool {
	return id != "" && slices.Contains(r.ring[:], id)
}
