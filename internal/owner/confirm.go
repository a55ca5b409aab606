package owner

import (
	"cmp"
	"context"
	"time"

	"curranthold.example/curranthold/internal/event"
)

const (
	// confirmTimeout bounds one health check of an unconfirmed instance. The backend
	// server may be busy with calls that it had when the node restarted.
	confirmTimeout = time.Second
	// minConfirmDelay and maxConfirmDelay bound the time between two health checks. It
	// doubles with each check.
	minConfirmDelay = 100 * time.Millisecond
	maxConfirmDelay = time.Second
	// repeatedAfter is the time after the first heartbeat from which a further one shows
	// that the instance still sends them. Heartbeats that were held up together arrive
	// together.
	repeatedAfter = time.Second
	// maxHeartbeatDelay is longer than heartbeats are usually late: an instance that answers
	// no health check is believed if its heartbeats go on for that time.
	maxHeartbeatDelay = 5 * time.Second
)

// Health is a backend server's response to a health check.
type Health struct {
	// Incarnation identifies the backend server since its last start. Requests to
	// the backend server carry it, so that another incarnation refuses them.
	Incarnation string
	// ColdFor is the remaining time of the backend server's cold start.
	ColdFor time.Duration
	// Leaving is set if the backend server says that it is shutting down.
	Leaving bool
}

// unconfirmed is an instance of which this owner has received heartbeats, but which it does
// not know: an earlier process of the node may have been told of its departure.
type unconfirmed struct {
	instance  instance
	heartbeat Heartbeat
	// first and last are the times at which heartbeats arrived.
	first, last time.Time
	// healthOnly is set if only a health check can confirm the instance: it started before
	// one that the owner knows.
	healthOnly bool
}

// judgement says what a health check shows of an unconfirmed instance.
type judgement int

const (
	// undecided means that the instance stays unconfirmed.
	undecided judgement = iota
	// confirmed means that its heartbeats are believed.
	confirmed
	// gone means that the instance is leaving, or that another one has its address.
	gone
	// silent means that neither heartbeats nor health checks show that it lives.
	silent
)

// judge judges the instance by the result of a health check at the given time. A backend
// server that is neither healthy nor leaving may still say that it is ready: its
// heartbeats count if they go on.
func (u *unconfirmed) judge(health Health, err error, now time.Time, ttl time.Duration) judgement {
	answered := health.Incarnation == u.instance.incarnation
	sending := u.last.Sub(u.first)
	switch {
	case health.Incarnation != "" && !answered, answered && health.Leaving:
		return gone
	case answered && err == nil:
		return confirmed
	case u.healthOnly:
	case answered && sending >= repeatedAfter, sending >= maxHeartbeatDelay:
		return confirmed
	}
	if now.Sub(u.last) > ttl {
		return silent
	}
	return undecided
}

// hold keeps the heartbeat of an instance that has to be confirmed.
func (o *Owner) hold(h Heartbeat, next instance, healthOnly bool) {
	now := time.Now()
	u := &unconfirmed{instance: next, heartbeat: h, first: now, last: now, healthOnly: healthOnly}
	if old := o.unconfirmed; old != nil && old.instance.same(next) {
		u.first = old.first
	}
	o.unconfirmed = u
	select {
	case o.held <- struct{}{}:
	default: // Run is told already.
	}
}

// Run confirms instances until the context ends. An instance whose first heartbeat arrives
// gets calls only once it has passed a health check, or its heartbeats show that it still
// sends them. Otherwise a late heartbeat could announce a backend server that has departed
// before the node was restarted.
func (o *Owner) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.held:
			o.confirm(ctx)
		}
	}
}

// confirm makes health checks until there is no unconfirmed instance.
func (o *Owner) confirm(ctx context.Context) {
	delay := minConfirmDelay
	var before instance
	for {
		u := o.currentUnconfirmed()
		if u == nil {
			return
		}
		if !u.instance.same(before) {
			before, delay = u.instance, minConfirmDelay
		}
		checkCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		health, err := o.config.CheckHealth(checkCtx, u.heartbeat.Announcement.Service)
		cancel()
		o.settle(u.instance, health, err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxConfirmDelay)
	}
}

func (o *Owner) currentUnconfirmed() *unconfirmed {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unconfirmed
}

// settle applies the result of a health check to the instance, unless heartbeats or a
// departure have decided about it meanwhile.
func (o *Owner) settle(checked instance, health Health, err error) {
	o.announceMu.Lock()
	defer o.announceMu.Unlock()
	u, decided := o.decide(checked, health, err)
	switch decided {
	case undecided:
		return
	case confirmed:
		o.announceConfirmed(u, health)
		return
	}
	metricUnconfirmed.Add(1)
	eventUnconfirmed.Log(event.Fields{
		"incarnation": u.instance.incarnation, "born": u.instance.startMs, "sequence": u.instance.sequence,
		"leaving": health.Leaving, "answered-by": health.Incarnation, "error": errorText(err),
	})
}

// decide judges the unconfirmed instance, and makes it the current one or forgets it.
func (o *Owner) decide(checked instance, health Health, err error) (*unconfirmed, judgement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	u := o.unconfirmed
	if u == nil || !u.instance.same(checked) {
		return nil, undecided
	}
	decided := u.judge(health, err, time.Now(), cmp.Or(o.config.AnnouncementTTL, announcementTTL))
	if decided == undecided {
		return u, undecided
	}
	o.unconfirmed = nil
	switch {
	case decided == confirmed:
		o.instance = u.instance
	case health.Leaving && health.Incarnation == u.instance.incarnation:
		o.departures.add(u.instance.incarnation, u.instance.startMs)
	}
	return u, decided
}

// announceConfirmed announces the backend server of the last heartbeat. The cold start that
// the health check reports is newer.
func (o *Owner) announceConfirmed(u *unconfirmed, health Health) {
	h := u.heartbeat
	h.ColdFor = max(h.ColdFor-time.Since(u.last), health.ColdFor, 0)
	h.Announcement.Cold = h.Announcement.Cold || h.ColdFor > 0
	o.announce(h.Announcement, h.StartMs, h.ColdFor)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
