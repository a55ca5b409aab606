package admission

import (
	"slices"

	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// depthCount is the number of values of depth plus progress that the queue
// distinguishes. Higher sums count as the highest of them.
const depthCount = 16

const (
	// maxCredit is the maximum number of requests that an account may run ahead
	// of others, as compensation for its unused share.
	maxCredit = 16
	// minAccounts is the number of accounts that a class keeps before it drops
	// idle ones.
	minAccounts = 1024
)

// waiter is a request in the queue.
type waiter struct {
	request Request
	// done is closed once permit or err is set.
	done   chan struct{}
	permit *Permit
	err    *verdict.Error

	account    *accountQueue
	prev, next *waiter
}

// accountQueue holds the waiters of one client account within one class, oldest
// first.
type accountQueue struct {
	name   string
	class  *class
	weight float64
	// startTag is the start tag of the account's next request. It grows by the
	// inverse of the account's weight with each request served.
	startTag    float64
	first, last *waiter
	length      int
}

func (a *accountQueue) append(w *waiter) {
	w.account = a
	w.prev = a.last
	if a.last == nil {
		a.first = w
	} else {
		a.last.next = w
	}
	a.last = w
	a.length++
}

func (a *accountQueue) remove(w *waiter) {
	if w.prev == nil {
		a.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		a.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next, w.account = nil, nil, nil
	a.length--
}

// atLeastAsLong reports whether a's queue without one waiter, divided by a's
// weight, is at least as long as b's without one waiter, divided by b's weight.
func (a *accountQueue) atLeastAsLong(b *accountQueue) bool {
	return float64(a.length-1)*b.weight >= float64(b.length-1)*a.weight
}

// class holds the waiters of one urgency and one sum of depth and progress, and
// serves their accounts by start-time fair queueing: the account with the
// smallest start tag is next. An account without waiters keeps its tag and so
// accumulates credit, of at most maxCredit requests, for the share that it does
// not use. Because of the credit, the requests of an account that stays within
// its share wait only briefly, so its queue stays short.
type class struct {
	accounts map[string]*accountQueue
	// backlogged holds the accounts with waiters, in the order in which their
	// first waiter arrived.
	backlogged []*accountQueue
	// virtualTime is the greatest start tag with which an account was served.
	virtualTime float64
	length      int
}

func (c *class) append(w *waiter) {
	account := c.account(w.request.Account)
	account.weight = w.request.Weight
	if account.length == 0 {
		account.startTag = max(account.startTag, c.virtualTime-maxCredit/account.weight)
		c.backlogged = append(c.backlogged, account)
	}
	account.append(w)
	c.length++
}

func (c *class) account(name string) *accountQueue {
	account := c.accounts[name]
	if account != nil {
		return account
	}
	c.dropIdleAccounts()
	account = &accountQueue{name: name, class: c, startTag: c.virtualTime}
	if c.accounts == nil {
		c.accounts = make(map[string]*accountQueue)
	}
	c.accounts[name] = account
	return account
}

// dropIdleAccounts drops the accounts without waiters if there are many
// accounts.
func (c *class) dropIdleAccounts() {
	if len(c.accounts) < max(minAccounts, 2*len(c.backlogged)) {
		return
	}
	for name, account := range c.accounts {
		if account.length == 0 {
			delete(c.accounts, name)
		}
	}
}

func (c *class) remove(w *waiter) {
	account := w.account
	account.remove(w)
	c.length--
	if account.length > 0 {
		return
	}
	i := slices.Index(c.backlogged, account)
	c.backlogged = slices.Delete(c.backlogged, i, i+1)
}

// nextAccount returns the account that is served next and advances its start
// tag by one request.
func (c *class) nextAccount() *accountQueue {
	next := c.backlogged[0]
	for _, account := range c.backlogged {
		if account.startTag < next.startTag {
			next = account
		}
	}
	c.virtualTime = max(c.virtualTime, next.startTag)
	next.startTag += 1 / next.weight
	return next
}

// longestAccount returns the account with the longest queue for its weight, not
// counting one waiter of each account. Otherwise the only waiter of an account
// with a low weight would count as a long queue.
func (c *class) longestAccount() *accountQueue {
	var longest *accountQueue
	for _, account := range c.backlogged {
		if longest == nil || account.atLeastAsLong(longest) {
			longest = account
		}
	}
	return longest
}

// queue orders waiters by urgency, then by depth plus progress, then fairly
// across accounts.
type queue struct {
	classes [object.UrgencyCount][depthCount]class
	lengths [object.UrgencyCount]int
	length  int
}

func depthIndex(depth int) int {
	return min(max(depth, 0), depthCount-1)
}

func (q *queue) push(w *waiter) {
	urgency := w.request.Urgency
	q.classes[urgency][depthIndex(w.request.Depth+w.request.Progress)].append(w)
	q.lengths[urgency]++
	q.length++
}

func (q *queue) remove(w *waiter) {
	q.lengths[w.request.Urgency]--
	q.length--
	w.account.class.remove(w)
}

// urgency returns the highest urgency that has waiters, or UrgencyCount if the
// queue is empty.
func (q *queue) urgency() object.Urgency {
	for u := range object.Urgency(object.UrgencyCount) {
		if q.lengths[u] > 0 {
			return u
		}
	}
	return object.UrgencyCount
}

// pop removes and returns the waiter that is served next, the oldest of its
// account. The queue must not be empty.
func (q *queue) pop() *waiter {
	urgency := q.urgency()
	for depth := depthCount - 1; depth >= 0; depth-- {
		class := &q.classes[urgency][depth]
		if class.length == 0 {
			continue
		}
		account := class.nextAccount()
		w := account.first
		q.remove(w)
		return w
	}
	return nil
}

// evict removes and returns a waiter of the lowest urgency and, within that, of
// the smallest depth plus progress: the newest waiter of the account with the
// longest queue for its weight. The queue must not be empty.
func (q *queue) evict() *waiter {
	for urgency := object.UrgencyCount - 1; urgency >= 0; urgency-- {
		for depth := range depthCount {
			class := &q.classes[urgency][depth]
			if class.length == 0 {
				continue
			}
			account := class.longestAccount()
			w := account.last
			q.remove(w)
			return w
		}
	}
	return nil
}

// filter removes and returns the waiters for which match reports true.
func (q *queue) filter(match func(*waiter) bool) []*waiter {
	var removed []*waiter
	for urgency := range q.classes {
		for depth := range q.classes[urgency] {
			for _, account := range q.classes[urgency][depth].backlogged {
				for w := account.first; w != nil; w = w.next {
					if match(w) {
						removed = append(removed, w)
					}
				}
			}
		}
	}
	for _, w := range removed {
		q.remove(w)
	}
	return removed
}
