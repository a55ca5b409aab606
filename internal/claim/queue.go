package claim

import "slices"

// queue holds the operations that wait for a transaction. It serves client accounts
// in round-robin order. To add an operation to a full queue, push drops the newest
// operation of the client account with the most operations, or the new one if its
// own account has about as many.
type queue struct {
	// accounts holds the operations of each client account, oldest first.
	accounts map[string][]*operation
	// turns holds the client accounts that have operations, in the order in which
	// they are served next.
	turns  []string
	length int
}

// push adds the operation. If the queue is full, it returns the operation that was
// dropped, which may be the new one.
func (q *queue) push(o *operation) *operation {
	var dropped *operation
	if q.length >= maxQueue {
		longest := q.longest()
		if len(q.accounts[o.account])+1 >= len(q.accounts[longest]) {
			return o
		}
		waiting := q.accounts[longest]
		dropped = waiting[len(waiting)-1]
		q.remove(dropped)
	}
	if q.accounts == nil {
		q.accounts = map[string][]*operation{}
	}
	if len(q.accounts[o.account]) == 0 {
		q.turns = append(q.turns, o.account)
	}
	q.accounts[o.account] = append(q.accounts[o.account], o)
	q.length++
	return dropped
}

// longest returns the client account with the most operations.
func (q *queue) longest() string {
	return slices.MaxFunc(q.turns, func(a, b string) int {
		return len(q.accounts[a]) - len(q.accounts[b])
	})
}

// remove removes the operation and reports whether it was queued.
func (q *queue) remove(o *operation) bool {
	waiting := q.accounts[o.account]
	i := slices.Index(waiting, o)
	if i < 0 {
		return false
	}
	q.length--
	q.accounts[o.account] = slices.Delete(waiting, i, i+1)
	if len(q.accounts[o.account]) == 0 {
		delete(q.accounts, o.account)
		q.turns = slices.DeleteFunc(q.turns, func(account string) bool { return account == o.account })
	}
	return true
}

// take removes and returns at most n operations, one from each client account in
// turn. No two of them are on the same request.
func (q *queue) take(n int) []*operation {
	batch := make([]*operation, 0, min(n, q.length))
	hashes := make(map[string]struct{}, n)
	for found := true; found && len(batch) < n; {
		found = false
		for range len(q.turns) {
			o := q.next(hashes)
			if o == nil {
				continue
			}
			found = true
			hashes[o.hash] = struct{}{}
			batch = append(batch, o)
			if len(batch) == n {
				break
			}
		}
	}
	return batch
}

// next moves the first client account in turns to the end. It removes and returns
// the account's first operation on a request whose hash is not in hashes, or nil if
// there is none.
func (q *queue) next(hashes map[string]struct{}) *operation {
	account := q.turns[0]
	q.turns = append(q.turns[1:], account)
	for _, o := range q.accounts[account] {
		if _, taken := hashes[o.hash]; !taken {
			q.remove(o)
			return o
		}
	}
	return nil
}
