package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// meanWeightSmoothing is the reciprocal of the weight that a new request has in
// the moving average of the weights.
const meanWeightSmoothing = 64

// slotTimeSmoothing is the reciprocal of the weight that a new request has in the moving
// averages of slot times.
const slotTimeSmoothing = 32

// Controller admits requests to one backend server. Its methods may be called
// concurrently.
type Controller struct {
	config Config
	now    func() time.Time
	// idle is closed once Drain has been called and no request is running.
	idle chan struct{}
	// waiting counts the calls of Acquire that are waiting in the queue.
	waiting sync.WaitGroup

	mu      sync.Mutex
	limiter limiter
	queue   queue
	// The arrays are indexed by urgency. lastEvicted is when a request was last
	// evicted from the queue, and running the number of running requests.
	lastEvicted  [object.UrgencyCount]time.Time
	serviceTimes [object.UrgencyCount]serviceTime
	reserve      reserve
	demand       demand
	failureRate  failureRate
	running      [object.UrgencyCount]int
	inFlight     int
	meanWeight   float64
	meanSlotTime time.Duration
	// incarnation is that of the last announcement; announced is set once there
	// was one.
	incarnation      string
	announced        bool
	leaving          bool
	zoneOutOfService bool
	// coldPacer limits the rate of requests to a cold backend server.
	coldPacer pacer
	namedRate namedRate
	// paceTimer calls dispatchPaced when the pacers allow the next request.
	paceTimer *time.Timer
}

// New returns a Controller. It refuses requests until the backend server is
// announced.
func New(config Config) *Controller {
	c := &Controller{config: config, now: config.Now, idle: make(chan struct{})}
	if c.now == nil {
		c.now = time.Now
	}
	c.limiter.config = &c.config
	return c
}

// Announce sets the state that the backend server reports. The limit starts
// again at its minimum and rises gradually after the first announcement, after
// a change of incarnation, and when the backend server turns from warm to cold.
// The limit is not lowered if the announcement states a ColdRate, if it sets
// Warm, or if ColdRamp is disabled.
func (c *Controller) Announce(a Announcement) {
	c.mu.Lock()
	now := c.now()
	restart := !c.announced || a.Incarnation != c.incarnation
	if restart {
		c.failureRate = failureRate{}
		c.namedRate = namedRate{}
		c.meanSlotTime = 0
	}
	if a.Levelled != c.demand.enabled {
		c.demand = demand{enabled: a.Levelled}
	}
	c.announced = true
	c.incarnation = a.Incarnation
	c.limiter.coldRateAnnounced = a.ColdRate > 0
	c.limiter.slowStart = a.SlowStart
	c.coldPacer.set(a.ColdRate, a.ColdRemaining, now)
	ramped := c.limiter.announce(a.slots(), a.Cold, a.warm(), restart, now)
	if c.limiter.slots == 0 {
		c.refuseQueued(func(*waiter) *verdict.Error {
			return verdict.New(verdict.NotRun, verdict.ColdStart, "the backend server takes no more requests")
		})
	}
	c.dispatch(now)
	c.updateGauges()
	c.mu.Unlock()
	if !ramped {
		return
	}
	rampCount.Add(1)
	rampStarted.Log(event.Fields{"incarnation": a.Incarnation, "slots": a.Slots, "cold": a.Cold})
}

// Acquire waits until the request may run and returns its permit. Its error is
// a *verdict.Error with verdict not-run.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Permit, error) {
	if ctx.Err() != nil {
		return nil, countRefusal(contextRefusal(ctx))
	}
	w, permit, refusal := c.admitOrQueue(r)
	if refusal != nil {
		return nil, countRefusal(refusal)
	}
	if permit != nil {
		return permit, nil
	}
	defer c.waiting.Done()
	expired, stop := c.expiry(r)
	defer stop()
	select {
	case <-w.done:
	case <-ctx.Done():
		c.cancelWait(w, contextRefusal(ctx))
	case <-expired:
		c.cancelWait(w, c.queueTimeoutRefusal(r))
	}
	if w.err != nil {
		return nil, countRefusal(w.err)
	}
	return w.permit, nil
}

// contextRefusal returns the error of a request whose context ended before it
// ran.
func contextRefusal(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the deadline passed before the request ran")
	}
	return verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled before the request ran")
}

// expiry returns a channel that receives when the request's maximum time in the
// queue or its deadline has passed, and a function that stops the timer. The
// channel is nil if the request has neither.
func (c *Controller) expiry(r Request) (<-chan time.Time, func() bool) {
	wait := r.MaxWait
	if !r.Deadline.IsZero() {
		left := r.Deadline.Sub(c.now())
		if wait == 0 || left < wait {
			wait = left
		}
	}
	if wait == 0 && r.Deadline.IsZero() {
		return nil, func() bool { return false }
	}
	timer := time.NewTimer(wait)
	return timer.C, timer.Stop
}

// queueTimeoutRefusal returns the error of a request that waited in the queue
// until its maximum time there or its deadline had passed.
func (c *Controller) queueTimeoutRefusal(r Request) *verdict.Error {
	if r.Deadline.IsZero() || c.now().Before(r.Deadline) {
		return verdict.New(verdict.NotRun, verdict.Overloaded, "no room came free within %d ms", r.MaxWait.Milliseconds())
	}
	return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the deadline passed in the queue")
}

// admitOrQueue starts, queues or refuses a request that has arrived. It returns
// one non-nil result: the waiter of a queued request, the permit of a started
// one, or the error of a refused one.
func (c *Controller) admitOrQueue(r Request) (*waiter, *Permit, *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.normalize(&r)
	c.demand.observe(&r)
	if refusal := c.refusal(&r, now); refusal != nil {
		return nil, nil, refusal
	}
	if r.Urgency == object.Urgent {
		c.reserve.observeArrival(c.running[object.Urgent]+1, now)
	}
	if c.queue.length == 0 && c.mayRun(r.Urgency, now) {
		return nil, c.start(r, now), nil
	}
	w := &waiter{request: r, done: make(chan struct{})}
	c.queue.push(w)
	c.dispatch(now)
	if w.permit != nil {
		return nil, w.permit, nil
	}
	c.evictExcess(now)
	if w.err != nil {
		return nil, nil, w.err
	}
	c.waiting.Add(1)
	c.updateGauges()
	return w, nil, nil
}

// refusal returns the error of a request that can be neither started nor
// queued, or nil.
func (c *Controller) refusal(r *Request, now time.Time) *verdict.Error {
	switch {
	case c.leaving:
		return verdict.New(verdict.NotRun, verdict.Leaving, "this host takes no new requests")
	case c.zoneOutOfService && (r.Depth <= 0 || c.config.RefuseNestedOutOfService):
		return verdict.New(verdict.NotRun, verdict.ZoneOutOfService, "the availability zone is out of service")
	case !c.announced || c.limiter.slots == 0:
		return verdict.New(verdict.NotRun, verdict.ColdStart, "the backend server has announced no slots")
	case c.willMissDeadline(r, false, now):
		return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "too little time is left for the request")
	}
	return nil
}

// normalize replaces values of the request that are out of range or missing,
// and clears those that disabled mechanisms would use.
func (c *Controller) normalize(r *Request) {
	if !r.Urgency.Valid() {
		r.Urgency = object.UrgencyCount - 1
	}
	if r.Weight > 0 {
		c.meanWeight += (r.Weight - c.meanWeight) / meanWeightSmoothing
	} else {
		r.Weight = c.meanWeight
	}
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if c.config.enabled(FairOrder) && c.config.enabled(UrgencyOrder) && c.config.enabled(DepthOrder) {
		return
	}
	c.clearDisabledFields(r)
}

// clearDisabledFields sets the fields that disabled mechanisms would use to the
// same value in every request.
func (c *Controller) clearDisabledFields(r *Request) {
	if !c.config.enabled(FairOrder) {
		r.Account = ""
	}
	if !c.config.enabled(UrgencyOrder) {
		r.Urgency = object.Normal
	}
	if !c.config.enabled(DepthOrder) {
		r.Depth, r.Progress = 0, 0
	}
}

func (c *Controller) start(r Request, now time.Time) *Permit {
	c.coldPacer.start(now)
	c.namedRate.pacer.start(now)
	c.inFlight++
	c.running[r.Urgency]++
	admittedCount[r.Urgency].Add(1)
	inFlightGauge.Set(int64(c.inFlight))
	p := &Permit{controller: c, urgency: r.Urgency, deadline: r.Deadline, start: now, concurrency: c.inFlight}
	c.reserve.add(p)
	return p
}

func (w *waiter) refuse(err *verdict.Error) {
	w.err = err
	close(w.done)
}

// cancelWait refuses a waiter whose caller gave up or whose time in the queue
// is over. If the waiter has been given a permit in the meantime, the permit is
// released unused.
func (c *Controller) cancelWait(w *waiter, err *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.permit != nil {
		c.release(w.permit, Abandoned)
		w.permit = nil
		w.err = err
		return
	}
	if w.err != nil {
		return
	}
	c.queue.remove(w)
	w.refuse(err)
	c.updateGauges()
}

// finish releases the permit with the outcome of its request, and logs a cold
// start that this has revealed.
func (c *Controller) finish(p *Permit, outcome Outcome) {
	c.mu.Lock()
	silent := c.release(p, outcome)
	limit := c.limiter.allowed()
	c.mu.Unlock()
	if !silent {
		return
	}
	rampCount.Add(1)
	silentCold.Log(event.Fields{"limit": limit})
}

// release frees the permit's slot, updates the limiter and the estimates with
// the outcome, and starts waiters. It reports whether the outcome led to the
// detection of a cold start that was not announced. The mutex must be held.
func (c *Controller) release(p *Permit, outcome Outcome) bool {
	now := c.now()
	finishedCount[min(outcome, Abandoned)].Add(1)
	c.reserve.remove(p, now)
	c.demand.observeEnd(outcome, now.Sub(p.start))
	c.inFlight--
	c.running[p.urgency]--
	ended := p.sample(outcome, c.inFlight, now)
	c.failureRate.observe(ended, now)
	silent := c.limiter.observe(ended, now)
	if outcome == Succeeded {
		c.serviceTimes[p.urgency].observe(now.Sub(p.start), now)
		c.meanSlotTime = smoothSlotTime(c.meanSlotTime, ended.took)
	}
	c.dispatch(now)
	c.updateGauges()
	c.closeIfIdle()
	return silent
}

// smoothSlotTime returns the moving average of slot times after another one. An average of
// 0 means that there was none before.
func smoothSlotTime(average, took time.Duration) time.Duration {
	if average == 0 {
		return max(took, 1)
	}
	return max(average+(took-average)/slotTimeSmoothing, 1)
}

func (c *Controller) updateGauges() {
	inFlightGauge.Set(int64(c.inFlight))
	queuedGauge.Set(int64(c.queue.length))
	limitGauge.Set(int64(c.limiter.allowed()))
	namedRateGauge.Set(int64(c.namedRate.pacer.rate))
	closedGauge.Set(int64(100 * c.demand.closed))
}

// countRefusal counts the refusal by its code and returns it.
func countRefusal(err *verdict.Error) *verdict.Error {
	if count := refusedCount[err.Code]; count != nil {
		count.Add(1)
	}
	return err
}
