package admission

import (
	"time"

	"curranthold.example/curranthold/internal/event"
)

const (
	// minNamedRate is the lowest rate to which requests are limited, in requests a
	// second. Without requests, nobody would learn that the limit has ended.
	minNamedRate = 1
	// namedRateHold is how long a named rate holds at least. Responses that the
	// backend server began before it named the rate may end later.
	namedRateHold = 150 * time.Millisecond
)

// namedRate is the limit on the rate of requests that the backend server names in its
// responses. The zero value does not limit the rate.
type namedRate struct {
	pacer pacer
	// namedAt is when a response last named the rate.
	namedAt time.Time
}

// observe takes account of a response, which names the rate if named is set. It reports
// whether a limit began or ended.
func (n *namedRate) observe(rate float64, named bool, now time.Time) (changed bool) {
	limited := n.pacer.rate > 0
	if !named {
		if !limited || now.Sub(n.namedAt) < namedRateHold {
			return false
		}
		n.pacer.rate = 0
		return true
	}
	if !limited {
		n.pacer.reset(now)
	}
	n.pacer.rate = max(rate, minNamedRate)
	n.namedAt = now
	return !limited
}

// ObserveNamedRate limits the rate at which requests start to what a response of the
// backend server names, in requests a second. A response that names none ends the limit.
func (c *Controller) ObserveNamedRate(rate float64, named bool) {
	c.mu.Lock()
	now := c.now()
	changed := c.namedRate.observe(rate, named, now)
	if changed {
		c.dispatch(now)
		c.updateGauges()
	}
	c.mu.Unlock()
	if changed {
		namedRateChanged.Log(event.Fields{"named": named, "requests-per-second": rate})
	}
}

// slowestPacer returns the active pacer with the lowest rate, nil if none is active.
func (c *Controller) slowestPacer(now time.Time) *pacer {
	var slowest *pacer
	for _, p := range []*pacer{&c.coldPacer, &c.namedRate.pacer} {
		if p.active(now) && (slowest == nil || p.rate < slowest.rate) {
			slowest = p
		}
	}
	return slowest
}
