package admission

import "time"

// paceBurst is the most requests that a paced backend server gets at once.
const paceBurst = 2

// pace bounds the requests a second that start on a backend server while it is
// cold. The zero value does not bound them.
type pace struct {
	// rate is in requests a second; 0 means that no rate is stated.
	rate  float64
	until time.Time
	// tokens is as of last.
	tokens float64
	last   time.Time
}

// set takes the rate that the backend server bears while it is cold, and how
// long it still is.
func (p *pace) set(rate float64, coldFor time.Duration, now time.Time) {
	p.rate = rate
	if coldFor <= 0 {
		p.until = now
		return
	}
	if !p.active(now) {
		p.tokens = 1
		p.last = now
	}
	p.until = now.Add(coldFor)
}

func (p *pace) active(now time.Time) bool {
	return p.rate > 0 && now.Before(p.until)
}

// wait returns how long the next request has to wait, 0 where it may start.
func (p *pace) wait(now time.Time) time.Duration {
	if !p.active(now) {
		return 0
	}
	p.tokens = min(p.tokens+p.rate*now.Sub(p.last).Seconds(), paceBurst)
	p.last = now
	if p.tokens >= 1 {
		return 0
	}
	missing := time.Duration((1 - p.tokens) / p.rate * float64(time.Second))
	return min(missing+time.Millisecond, p.until.Sub(now))
}

// start counts a request that starts.
func (p *pace) start(now time.Time) {
	if p.active(now) {
		p.tokens--
	}
}

// concurrency returns the requests that run at once at the pace, where each
// takes the mean time.
func (p *pace) concurrency(mean time.Duration) int {
	return max(int(p.rate*mean.Seconds()), 1)
}
