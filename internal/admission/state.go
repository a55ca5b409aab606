package admission

import (
	"time"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// shedWindow is how long shedFrom takes an eviction into account.
const shedWindow = 100 * time.Millisecond

// Load returns the load of this host, as a hint to callers.
func (c *Controller) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	limit := c.limiter.allowed()
	if p := c.slowestPacer(now); p != nil {
		limit = min(limit, p.concurrency(c.reserve.mean))
	}
	l := Load{
		InFlight: c.inFlight,
		Queued:   c.queue.length,
		Limit:    limit,
		Slots:    c.limiter.slots,
		Cold:     c.cold(),
		Leaving:  c.leaving,

		FailingPercent: int(100 * c.failureRate.value(now)),
		MeanSlotTime:   c.meanSlotTime,

		Levelled: c.demand.enabled,
		Closed:   c.demand.level(limit, c.queue.length, now),
	}
	l.ShedFrom = c.shedFrom(now, l.Levelled && !l.Lost())
	return l
}

// shedFrom returns the highest urgency of which requests were evicted from the
// queue recently, or UrgencyCount if there is none or the queue is less than
// three quarters full. There is none either if an admission level counts: callers that
// refuse requests by themselves would hide the demand.
func (c *Controller) shedFrom(now time.Time, levelCounts bool) object.Urgency {
	if levelCounts || 4*c.queue.length < 3*c.queueLimit() {
		return object.UrgencyCount
	}
	for u := range object.Urgency(object.UrgencyCount) {
		if !c.lastEvicted[u].IsZero() && now.Sub(c.lastEvicted[u]) < shedWindow {
			return u
		}
	}
	return object.UrgencyCount
}

// cold reports whether the backend server announces that it is cold, its rate
// is limited to an announced cold rate, or a ramp has not yet raised the limit
// to half of the slots.
func (c *Controller) cold() bool {
	return c.limiter.cold || c.coldPacer.active(c.now()) || (c.limiter.ramping && 2*c.limiter.allowed() < c.limiter.slots)
}

// Drain refuses all queued and new requests. Running requests continue.
func (c *Controller) Drain() {
	c.mu.Lock()
	if c.leaving {
		c.mu.Unlock()
		return
	}
	c.leaving = true
	leaving := func(*waiter) *verdict.Error {
		return verdict.New(verdict.NotRun, verdict.Leaving, "this host is leaving")
	}
	refused := c.refuseQueued(leaving)
	inFlight := c.inFlight
	c.closeIfIdle()
	c.mu.Unlock()
	drainStarted.Log(event.Fields{"refused": refused, "in-flight": inFlight})
}

// SetZoneInService sets whether the availability zone of this host is in
// service. While it is out of service, new and queued root requests are
// refused. Nested calls belong to work that has already started, so they are
// still admitted unless Config.RefuseNestedOutOfService is set.
func (c *Controller) SetZoneInService(inService bool) {
	c.mu.Lock()
	if c.zoneOutOfService == !inService {
		c.mu.Unlock()
		return
	}
	c.zoneOutOfService = !inService
	refused := 0
	if c.zoneOutOfService {
		refused = c.refuseQueued(func(w *waiter) *verdict.Error {
			if w.request.Depth > 0 && !c.config.RefuseNestedOutOfService {
				return nil
			}
			return verdict.New(verdict.NotRun, verdict.ZoneOutOfService, "the availability zone was taken out of service")
		})
	}
	c.mu.Unlock()
	zoneChanged.Log(event.Fields{"in-service": inService, "refused": refused})
}

// RefuseAccount refuses the queued requests of a client account whose key was
// withdrawn.
func (c *Controller) RefuseAccount(account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseQueued(func(w *waiter) *verdict.Error {
		if w.request.Account != account {
			return nil
		}
		return verdict.New(verdict.NotRun, verdict.KeyRefused, "the key was withdrawn")
	})
}

// refuseQueued refuses each waiter for which reason returns an error, with that
// error, and returns the number of refused waiters. The mutex must be held.
func (c *Controller) refuseQueued(reason func(*waiter) *verdict.Error) int {
	refused := c.queue.filter(func(w *waiter) bool {
		w.err = reason(w)
		return w.err != nil
	})
	for _, w := range refused {
		close(w.done)
	}
	c.dispatch(c.now())
	c.updateGauges()
	return len(refused)
}

// Idle returns a channel that is closed once Drain has been called and no
// request is running.
func (c *Controller) Idle() <-chan struct{} { return c.idle }

func (c *Controller) closeIfIdle() {
	if !c.leaving || c.inFlight > 0 {
		return
	}
	select {
	case <-c.idle:
	default:
		close(c.idle)
	}
}

// Close drains the Controller and waits until no call of Acquire is waiting. It
// does not wait for running requests; see [Controller.Idle].
func (c *Controller) Close() {
	c.Drain()
	c.waiting.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.paceTimer != nil {
		c.paceTimer.Stop()
	}
}
