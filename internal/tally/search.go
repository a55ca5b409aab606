package tally

import "time"

// share says how much of the rates this host takes by itself.
type share struct {
	// even is the fraction of a rate that each host gets if it is divided evenly.
	even float64
	// fixed is set if the host takes no more than that, because it still searches for
	// the others.
	fixed bool
}

// searching reports whether this host started a short time ago and has found no other
// host, though there may be some. It then reports to no home, and takes a fixed share of
// each rate in place of filling buckets by itself.
func (m *Manager) searching(now time.Time) bool {
	return !m.found && now.Sub(m.started) < missingRetention && m.expectedHosts() > 1
}

// expectedHosts returns the number of hosts that there may be while no other is found.
func (m *Manager) expectedHosts() int {
	if m.config.ExpectedHosts == nil {
		return 1
	}
	return max(m.config.ExpectedHosts(), 1)
}

// share returns how much of the rates this host takes by itself.
func (m *Manager) share(now time.Time) share {
	if m.searching(now) {
		return share{even: 1 / float64(m.expectedHosts()), fixed: true}
	}
	return share{even: m.evenFraction()}
}
