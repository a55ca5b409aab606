package admission

import (
	"time"

	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// fullQueueWait is how long the last request in a full queue waits if
	// requests take their mean time.
	fullQueueWait = 160 * time.Millisecond
	// maxQueueFactor is the maximum number of queued requests for each request
	// that may run.
	maxQueueFactor = 4
	minQueueLimit  = 4
)

// dispatch starts waiters while they may run.
func (c *Controller) dispatch(now time.Time) {
	for c.queue.length > 0 && c.mayRun(c.queue.urgency(), now) {
		w := c.queue.pop()
		if c.willMissDeadline(&w.request, true, now) {
			w.refuse(verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "too little time was left after the queue"))
			continue
		}
		w.permit = c.start(w.request, now)
		close(w.done)
	}
}

// mayRun reports whether a request of the given urgency may start.
func (c *Controller) mayRun(urgency object.Urgency, now time.Time) bool {
	if !c.config.enabled(ConcurrencyLimit) {
		return true
	}
	limit := c.limiter.allowed()
	if c.inFlight >= limit {
		return false
	}
	if wait := max(c.coldPacer.wait(now), c.namedRate.pacer.wait(now)); wait > 0 {
		c.dispatchAfter(wait)
		return false
	}
	lessUrgent := c.inFlight - c.running[object.Urgent]
	if urgency == object.Urgent || lessUrgent < limit-limit/maxReserveDivisor || !c.config.enabled(UrgentReserve) {
		return true
	}
	return lessUrgent < limit-c.reserve.slots(limit, now)
}

// dispatchAfter schedules dispatchPaced for when the pacers allow the next
// request.
func (c *Controller) dispatchAfter(wait time.Duration) {
	if c.paceTimer == nil {
		c.paceTimer = time.AfterFunc(wait, c.dispatchPaced)
		return
	}
	c.paceTimer.Reset(wait)
}

// dispatchPaced starts waiters after the delay set by dispatchAfter.
func (c *Controller) dispatchPaced() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(c.now())
	c.updateGauges()
}

// willMissDeadline reports whether a request is unlikely to be answered before
// its deadline. A request that arrives is refused if it has less time left than
// the 5th percentile of the service time. A request from the queue is dropped
// if it has less left than the median, because others are waiting for its slot.
// If nothing is running, a request with any time left is let through, because
// only requests that run can correct the estimates.
func (c *Controller) willMissDeadline(r *Request, queued bool, now time.Time) bool {
	if r.Deadline.IsZero() {
		return false
	}
	remaining := r.Deadline.Sub(now)
	if remaining <= 0 {
		return true
	}
	if c.inFlight == 0 || !c.config.enabled(DeadlineDrop) {
		return false
	}
	if queued {
		return remaining < c.serviceTimes[r.Urgency].median(now)
	}
	return remaining < c.serviceTimes[r.Urgency].p5(now)
}

// evictExcess evicts waiters until the queue is no longer than its limit.
func (c *Controller) evictExcess(now time.Time) {
	for c.queue.length > c.queueLimit() {
		w := c.queue.evict()
		c.lastEvicted[w.request.Urgency] = now
		evictedCount.Add(1)
		w.refuse(c.queueFullRefusal())
	}
}

// queueLimit returns the maximum length of the queue: the number of requests
// that start within fullQueueWait, within bounds. The rate at which they start
// is that of the slowest active pacer, and otherwise follows from the limit and
// the mean time of a request.
func (c *Controller) queueLimit() int {
	if c.config.QueueLimit > 0 {
		return c.config.QueueLimit
	}
	if p := c.slowestPacer(c.now()); p != nil {
		return max(int(p.rate*fullQueueWait.Seconds()), minQueueLimit)
	}
	limit := c.limiter.allowed()
	upper := max(maxQueueFactor*limit, minQueueLimit)
	if c.reserve.mean <= 0 {
		return upper
	}
	startable := float64(limit) * float64(fullQueueWait) / float64(c.reserve.mean)
	return min(max(int(startable), minQueueLimit), upper)
}

// queueFullRefusal returns the error of a request that is evicted from a full
// queue.
func (c *Controller) queueFullRefusal() *verdict.Error {
	if c.cold() {
		return verdict.New(verdict.NotRun, verdict.ColdStart, "the backend server is in cold start and the queue is full")
	}
	return verdict.New(verdict.NotRun, verdict.Overloaded, "the queue is full")
}
