package admission

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"curranthold.example/curranthold/pkg/object"
)

// naiveQueue is a simple reference implementation of the queue's order: a
// single slice that is searched linearly, and the start tags by account.
type naiveQueue struct {
	waiters      []*waiter
	tags         map[string]float64
	virtualTimes map[string]float64
}

func naiveClass(w *waiter) string {
	return fmt.Sprint(w.request.Urgency, w.request.Depth)
}

func naiveAccount(w *waiter) string {
	return naiveClass(w) + w.request.Account
}

func (q *naiveQueue) push(w *waiter) {
	backlogged := slices.ContainsFunc(q.waiters, func(other *waiter) bool { return naiveAccount(other) == naiveAccount(w) })
	if tag, known := q.tags[naiveAccount(w)]; !known {
		q.tags[naiveAccount(w)] = q.virtualTimes[naiveClass(w)]
	} else if !backlogged {
		q.tags[naiveAccount(w)] = max(tag, q.virtualTimes[naiveClass(w)]-maxCredit/w.request.Weight)
	}
	q.waiters = append(q.waiters, w)
}

func (q *naiveQueue) remove(w *waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(other *waiter) bool { return other == w })
}

// before reports whether a is served before b, where b is of another account.
func (q *naiveQueue) before(a, b *waiter) bool {
	if a.request.Urgency != b.request.Urgency {
		return a.request.Urgency < b.request.Urgency
	}
	if a.request.Depth != b.request.Depth {
		return a.request.Depth > b.request.Depth
	}
	return q.tags[naiveAccount(a)] < q.tags[naiveAccount(b)]
}

// pop removes w, which the queue under test has popped, and reports whether no
// other waiter should have been served before it.
func (q *naiveQueue) pop(w *waiter) bool {
	first := true
	for i, other := range q.waiters {
		older := i < slices.Index(q.waiters, w)
		sameAccount := naiveAccount(other) == naiveAccount(w)
		if q.before(other, w) || (sameAccount && other != w && older) {
			first = false
		}
	}
	class := naiveClass(w)
	q.virtualTimes[class] = max(q.virtualTimes[class], q.tags[naiveAccount(w)])
	q.tags[naiveAccount(w)] += 1 / w.request.Weight
	q.remove(w)
	return first
}

func TestQueueAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue
		naive := naiveQueue{tags: map[string]float64{}, virtualTimes: map[string]float64{}}
		for range rapid.IntRange(1, 200).Draw(t, "operations") {
			op := rapid.IntRange(0, 9).Draw(t, "operation")
			switch {
			case op < 6 || q.length == 0:
				account := rapid.IntRange(0, 3).Draw(t, "account")
				w := &waiter{request: Request{
					Account: fmt.Sprint(account),
					Weight:  []float64{1, 2, 4, 16}[account],
					Urgency: rapid.SampledFrom([]object.Urgency{object.Urgent, object.Normal, object.Deferrable}).Draw(t, "urgency"),
					Depth:   rapid.IntRange(0, 2).Draw(t, "depth"),
				}}
				q.push(w)
				naive.push(w)
			case op < 9:
				if w := q.pop(); !naive.pop(w) {
					t.Fatalf("%v was served out of order", w.request)
				}
			default:
				w := q.evict()
				for _, other := range naive.waiters {
					if other.request.Urgency > w.request.Urgency {
						t.Fatalf("evicted %v before %v", w.request, other.request)
					}
				}
				naive.remove(w)
			}
			if q.length != len(naive.waiters) {
				t.Fatalf("length %d, want %d", q.length, len(naive.waiters))
			}
		}
	})
}
