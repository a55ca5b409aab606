package standin

import (
	"sync"
	"time"
)

// overrunWindow is the length of the sliding window in which overruns are counted.
// An overrun is a request that arrives during cold start while all cold slots are
// in use.
const overrunWindow = time.Second

// decision is what a limiter decides about a request.
type decision uint8

const (
	// admitted means that the request is served. The caller must call release
	// when it ends.
	admitted decision = iota
	// overloaded means that the request is refused.
	overloaded
	// crashing means that the request makes the backend server crash.
	crashing
)

// limiter bounds the concurrent requests of a backend server: by slots, and by
// coldSlots during cold start. It also decides when the backend server crashes.
type limiter struct {
	slots        int
	coldSlots    int
	coldRequests int
	coldTime     time.Duration
	// crashOverruns is the number of overruns within overrunWindow that makes the
	// backend server crash.
	crashOverruns int

	mu            sync.Mutex
	cold          bool
	coldSince     time.Time
	coldSuccesses int
	// recentOverruns holds the times of the overruns within overrunWindow.
	recentOverruns []time.Time
	totalOverruns  int
	concurrent     int
	maxConcurrent  int
}

// startCold begins a cold start at now. A limiter whose coldSlots is 0 has no cold
// start.
func (l *limiter) startCold(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold = l.coldSlots > 0
	l.coldSince = now
	l.coldSuccesses = 0
	l.recentOverruns = nil
}

// isCold reports whether the limiter is in cold start at now.
func (l *limiter) isCold(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endColdStartIfDue(now)
	return l.cold
}

// endColdStartIfDue ends the cold start after enough successes or enough time.
func (l *limiter) endColdStartIfDue(now time.Time) {
	enoughSuccesses := l.coldRequests > 0 && l.coldSuccesses >= l.coldRequests
	timeElapsed := l.coldTime > 0 && now.Sub(l.coldSince) >= l.coldTime
	if enoughSuccesses || timeElapsed {
		l.cold = false
	}
}

// admit decides on a request that arrives at now.
func (l *limiter) admit(now time.Time) decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endColdStartIfDue(now)
	if l.cold && l.concurrent >= l.coldSlots {
		return l.countOverrun(now)
	}
	if l.concurrent >= l.slots {
		return overloaded
	}
	l.concurrent++
	l.maxConcurrent = max(l.maxConcurrent, l.concurrent)
	return admitted
}

// countOverrun counts an overrun, and decides whether the request is refused or
// makes the backend server crash.
func (l *limiter) countOverrun(now time.Time) decision {
	l.totalOverruns++
	l.recentOverruns = append(l.recentOverruns, now)
	for now.Sub(l.recentOverruns[0]) >= overrunWindow {
		l.recentOverruns = l.recentOverruns[1:]
	}
	if len(l.recentOverruns) < l.crashOverruns {
		return overloaded
	}
	l.recentOverruns = nil
	return crashing
}

// release ends an admitted request.
func (l *limiter) release(success bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.concurrent--
	if success {
		l.coldSuccesses++
	}
}
