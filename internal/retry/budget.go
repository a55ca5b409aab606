package retry

import "sync/atomic"

// Budget is the attempt budget of one root request: the number of retries that
// remain for it and all calls in its call tree. Its methods may be called
// concurrently. The zero value allows no retries.
//
// Nodes send each other an attempt budget as an integer. [Budget.Split] removes
// the part for a nested call before the message is sent, so that the parts in a
// call tree never add up to more than its root was given. The answer states what the
// nested call left unspent, and [Share.Refund] adds it back. If the answer is
// lost, the part is lost too: a lost message can lower the number of retries
// but never raise it.
type Budget struct {
	retries atomic.Int64
}

// NewBudget returns an attempt budget of the given number of retries. A negative
// number, such as one from a faulty peer, counts as 0.
func NewBudget(retries int) *Budget {
	b := new(Budget)
	b.retries.Store(int64(max(retries, 0)))
	return b
}

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool {
	for {
		retries := b.retries.Load()
		if retries == 0 {
			return false
		}
		if b.retries.CompareAndSwap(retries, retries-1) {
			return true
		}
	}
}

// Remaining returns the number of retries that are left, without those of
// shares that have not been refunded.
func (b *Budget) Remaining() int {
	return int(b.retries.Load())
}

// Split removes half of the attempt budget, rounded up, for a nested call. A
// single remaining retry thus reaches the deepest call, where most refusals
// occur, and each of several parallel calls gets a part.
func (b *Budget) Split() *Share {
	for {
		retries := b.retries.Load()
		part := (retries + 1) / 2
		if b.retries.CompareAndSwap(retries, retries-part) {
			return &Share{parent: b, retries: part}
		}
	}
}

// Share is the part of an attempt budget that was given to a nested call. The
// zero value belongs to no attempt budget and has no retries.
type Share struct {
	parent   *Budget
	retries  int64
	refunded atomic.Bool
}

// Retries returns the number of retries to send with the nested call.
func (s *Share) Retries() int { return int(s.retries) }

// Refund adds the unspent retries stated by the answer of the nested call back
// to the attempt budget. Only the first call has an effect, and it adds at most
// what was given, so that a repeated or faulty answer cannot enlarge the attempt
// budget.
func (s *Share) Refund(unspent int) {
	if s.refunded.Swap(true) || s.parent == nil {
		return
	}
	s.parent.retries.Add(min(int64(max(unspent, 0)), s.retries))
}
