package admission

import (
	"time"

	"curranthold.example/curranthold/internal/quantile"
	"curranthold.example/curranthold/pkg/object"
)

const (
	// reservePeriod is the minimum time for which a peak of urgent requests is
	// remembered.
	reservePeriod = 30 * time.Second
	// maxReserveDivisor divides the limit to get the maximum number of reserved
	// slots.
	maxReserveDivisor = 4
	// minReserveLimit is the smallest limit at which slots are reserved.
	minReserveLimit = 8
	// slowTurnover is the mean time between two completions above which an
	// urgent request would wait too long for a slot.
	slowTurnover = 10 * time.Millisecond
	// p95Rise and p95Fall make a quantile estimate settle at the 95th
	// percentile.
	p95Rise = 0.095
	p95Fall = 0.005
	// meanTimeSmoothing is the reciprocal of the weight that a new request has
	// in the moving average of the time.
	meanTimeSmoothing = 64
)

// reserve decides how many slots are kept free for urgent requests. While slots
// become free quickly, a reserve costs goodput and gains little: an urgent
// request that finds all slots taken is the next in the queue anyway. Slots are
// therefore kept free only if requests are slow in general, or one for each
// non-urgent request that has been running for longer than the 95th percentile.
type reserve struct {
	// currentPeak and previousPeak are the maximum numbers of urgent requests
	// in flight in the current period and the one before.
	currentPeak, previousPeak int
	// start is when the current period began.
	start time.Time
	// mean is the moving average of the time that a request takes, and p95 the
	// estimated 95th percentile.
	mean time.Duration
	p95  quantile.Estimate
	// oldest and newest are the ends of the list of running permits, which is
	// ordered by their start.
	oldest, newest *Permit
}

// observeArrival updates the peak with the number of urgent requests in flight,
// including one that arrives.
func (r *reserve) observeArrival(urgent int, now time.Time) {
	if elapsed := now.Sub(r.start); elapsed >= reservePeriod {
		r.previousPeak = r.currentPeak
		if elapsed >= 2*reservePeriod {
			r.previousPeak = 0
		}
		r.start = now
		r.currentPeak = 0
	}
	r.currentPeak = max(r.currentPeak, urgent)
}

func (r *reserve) add(p *Permit) {
	p.prev = r.newest
	if r.newest == nil {
		r.oldest = p
	} else {
		r.newest.next = p
	}
	r.newest = p
}

func (r *reserve) remove(p *Permit, now time.Time) {
	if p.prev == nil {
		r.oldest = p.next
	} else {
		p.prev.next = p.next
	}
	if p.next == nil {
		r.newest = p.prev
	} else {
		p.next.prev = p.prev
	}
	p.prev, p.next = nil, nil
	r.observe(now.Sub(p.start))
}

func (r *reserve) observe(took time.Duration) {
	r.mean += (took - r.mean) / meanTimeSmoothing
	r.p95.Observe(took, p95Rise, p95Fall)
}

// slots returns the number of slots of the limit that less urgent requests must
// leave free.
func (r *reserve) slots(limit int, now time.Time) int {
	peak := max(r.currentPeak, r.previousPeak)
	if limit < minReserveLimit || peak == 0 || now.Sub(r.start) >= 2*reservePeriod {
		return 0
	}
	upper := min(peak+1, limit/maxReserveDivisor)
	if r.mean/time.Duration(limit) > slowTurnover {
		return upper
	}
	overdue := 0
	for p := r.oldest; p != nil && overdue < upper && now.Sub(p.start) > r.p95.Value(); p = p.next {
		if p.urgency != object.Urgent {
			overdue++
		}
	}
	return overdue
}
