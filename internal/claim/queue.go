package claim

import "slices"

// queue holds the operations that wait for a transaction. It serves client accounts
// in round-robin order. A full queue drops an operation of the client account that
// has most operations.
type queue struct {
	// accounts holds the operations of each client account, oldest first.
	accounts map[string][]*operation
	// turns holds the client accounts that have operations, in round-robin order
	// with the next one first.
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
	keys := make(map[string]struct{}, n)
	for found := true; found && len(batch) < n; {
		found = false
		for range len(q.turns) {
			o := q.next(keys)
			if o == nil {
				continue
			}
			found = true
			keys[o.key] = struct{}{}
			batch = append(batch, o)
			if len(batch) == n {
				break
			}
		}
	}
	return batch
}

// next moves the next client account to the end of the order. It removes and
// returns the account's first operation on a request that is not in keys, or nil
// if there is none.
func (q *queue) next(keys map[string]struct{}) *operation {
	account := q.turns[0]
	q.turns = append(q.turns[1:], account)
	for _, o := range q.accounts[account] {
		if _, taken := keys[o.key]; !taken {
			q.remove(o)
			return o
		}
	}
	return nil
}
