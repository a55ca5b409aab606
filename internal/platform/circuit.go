package platform

import (
	"sync"
	"time"
)

const (
	// circuitThreshold is the number of consecutive failures that opens a circuit
	// breaker.
	circuitThreshold = 3
	// probeInterval is the minimum time from the failure that opened the circuit, or
	// from a failed probe, to the next probe.
	probeInterval = 200 * time.Millisecond
)

// circuitBreaker rejects requests to a service that keeps failing, so that callers
// fail at once instead of waiting for their timeouts. While it is open, it allows
// one request at a time as a probe, and none within probeInterval after a failed one.
// The zero value is a closed circuit breaker.
type circuitBreaker struct {
	mu        sync.Mutex
	failures  int
	open      bool
	probing   bool
	nextProbe time.Time
}

// decision is what the circuit breaker decided about a request.
type decision uint8

const (
	rejected decision = iota
	allowed
	allowedAsProbe
)

// allow decides about a request at the time now. For each allowed request, the
// caller must call one of succeed, fail and abandon when it has ended.
func (c *circuitBreaker) allow(now time.Time) decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open {
		return allowed
	}
	if c.probing || now.Before(c.nextProbe) {
		return rejected
	}
	c.probing = true
	return allowedAsProbe
}

// succeed records that a request did not fail, and reports whether this
// closed the circuit.
func (c *circuitBreaker) succeed(d decision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endProbe(d)
	closed := c.open
	c.open = false
	c.failures = 0
	return closed
}

// fail records that a request failed, and reports whether this opened the circuit.
func (c *circuitBreaker) fail(d decision, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endProbe(d)
	c.failures++
	if c.open {
		if d == allowedAsProbe {
			c.nextProbe = now.Add(probeInterval)
		}
		return false
	}
	if c.failures < circuitThreshold {
		return false
	}
	c.open = true
	c.nextProbe = now.Add(probeInterval)
	return true
}

// abandon records that a request's caller cancelled it, which says nothing about
// the service.
func (c *circuitBreaker) abandon(d decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endProbe(d)
}

func (c *circuitBreaker) endProbe(d decision) {
	if d == allowedAsProbe {
		c.probing = false
	}
}
