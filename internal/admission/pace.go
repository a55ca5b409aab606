package admission

import "time"

const (
	// paceBurst is the maximum number of requests that start at once while the rate
	// is limited, and paceBurstTime the time at that rate that replaces it for high
	// rates.
	paceBurst     = 2
	paceBurstTime = 20 * time.Millisecond
)

// pacer is a token bucket that limits the rate at which requests start on a
// backend server. The zero value does not limit the rate.
type pacer struct {
	// rate is in requests a second; 0 means that the rate is not limited.
	rate float64
	// until is when the limit ends, if it ends by itself.
	until time.Time
	// tokens is the number of tokens as of lastRefill.
	tokens     float64
	lastRefill time.Time
}

// set sets the rate that the backend server can handle while it is cold, and
// how much longer it stays cold.
func (p *pacer) set(rate float64, coldFor time.Duration, now time.Time) {
	p.rate = rate
	if coldFor <= 0 {
		p.until = now
		return
	}
	if !p.active(now) {
		p.reset(now)
	}
	p.until = now.Add(coldFor)
}

// reset lets one request start at once.
func (p *pacer) reset(now time.Time) {
	p.tokens = 1
	p.lastRefill = now
}

// active reports whether the rate is limited at present.
func (p *pacer) active(now time.Time) bool {
	return p.rate > 0 && (p.until.IsZero() || now.Before(p.until))
}

// wait returns how long the next request has to wait, or 0 if it may start.
func (p *pacer) wait(now time.Time) time.Duration {
	if !p.active(now) {
		return 0
	}
	burst := max(p.rate*paceBurstTime.Seconds(), paceBurst)
	p.tokens = min(p.tokens+p.rate*now.Sub(p.lastRefill).Seconds(), burst)
	p.lastRefill = now
	if p.tokens >= 1 {
		return 0
	}
	missing := time.Duration((1 - p.tokens) / p.rate * float64(time.Second))
	missing += time.Millisecond
	if p.until.IsZero() {
		return missing
	}
	return min(missing, p.until.Sub(now))
}

// start takes a token for a request that starts.
func (p *pacer) start(now time.Time) {
	if p.active(now) {
		p.tokens--
	}
}

// concurrency returns the number of requests that run at once at the limited
// rate if each takes the mean time.
func (p *pacer) concurrency(mean time.Duration) int {
	return max(int(p.rate*mean.Seconds()), 1)
}
