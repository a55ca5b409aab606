package rollout

import (
	"cmp"
	"time"
)

const (
	// silenceTime is how long an owner of the old version refuses calls during a
	// promotion without hearing from a decider, and how long after the deadline a
	// candidate accepts calls without a decision.
	silenceTime = 2 * time.Second
	// guessTime is how long a process corrects its guess of the version in force. The
	// membership is complete within less.
	guessTime = 10 * time.Second
)

// view is an immutable snapshot of what calls need.
type view struct {
	shares map[string]windowShare
	// recorder is nil if no rollout of the own service is running.
	recorder  *recorder
	candidate bool
	// leavingFrom is when the own backend server stops taking calls; zero if never.
	leavingFrom time.Time
	// superseded is set if another version has replaced the own one, and
	// supersededUntil is until when a promotion moves calls to the candidates.
	superseded      bool
	supersededUntil time.Time
}

// windowShare is the share of a rollout, which ends with its window.
type windowShare struct {
	*share
	until time.Time
}

// newView returns the view of the present state; nil if calls are to be served as
// without rollouts.
func (m *Manager) newView(now time.Time) *view {
	v := &view{shares: make(map[string]windowShare)}
	for service, r := range m.rollouts {
		if !r.phase.terminal() && now.Before(r.since.Add(r.order.Over)) {
			v.shares[service] = windowShare{r.share, r.since.Add(r.order.Over)}
		}
	}
	r := m.rollouts[m.service]
	v.candidate = m.candidate(r)
	if r != nil && r.recorder != nil && !r.phase.terminal() {
		r.recorder.setStart(r.since, m.ownCold())
		v.recorder = r.recorder
	}
	replaced := r != nil && r.phase == PhaseCompleted && v.candidate
	switch {
	case replaced:
		v.superseded = true
	case v.candidate:
		v.leavingFrom = m.leavingFrom(r, now)
	case r != nil && r.phase == PhasePromoting && m.version != r.order.Target:
		v.supersededUntil = r.heard.Add(silenceTime)
	}
	m.logNotOrdered(v.candidate && !replaced && (r == nil || r.withdrawn || m.version != r.order.Target))
	if len(v.shares) == 0 && v.recorder == nil && !v.candidate {
		return nil
	}
	return v
}

// leavingFrom returns from when on the own backend server, a candidate, refuses calls.
func (m *Manager) leavingFrom(r *rollout, now time.Time) time.Time {
	switch {
	case r == nil || r.withdrawn || m.version != r.order.Target || r.selfBad || r.phase.terminal():
		return now
	case r.phase == PhaseCanary:
		return r.since.Add(r.order.Over + silenceTime)
	}
	return time.Time{}
}

// candidate reports whether the own backend server has a version that isn't in force.
func (m *Manager) candidate(r *rollout) bool {
	switch {
	case m.version == "":
		return false
	case r != nil && r.phase == PhaseCompleted:
		return m.version != r.order.Target
	case r != nil && !r.withdrawn && m.version == r.order.Target:
		return !r.wasInForce
	case r != nil && r.base != "":
		return m.version != r.base
	}
	return m.inForce != "" && m.version != m.inForce
}

// guessInForce sets the version in force of the own service if it isn't known yet: the
// one that most of the warm backend servers have. A version that joins later is not in
// force until an order was completed. The record in the store takes precedence.
func (m *Manager) guessInForce(now time.Time) {
	if m.service == "" || m.inForce != "" && !m.guessing(now) {
		return
	}
	best := ""
	target := ""
	if r := m.rollouts[m.service]; r != nil && !r.withdrawn && !r.phase.terminal() {
		target = r.order.Target
	}
	warm, all := make(map[string]int), make(map[string]int)
	for _, h := range m.hosts {
		if h.Service == m.service && h.Version != "" && h.Version != target {
			all[h.Version]++
			if !h.Cold {
				warm[h.Version]++
			}
		}
	}
	for version := range all {
		if best == "" || cmp.Or(warm[version]-warm[best], all[version]-all[best],
			len(best)-len(version), cmp.Compare(best, version)) > 0 {
			best = version
		}
	}
	if best == "" {
		return
	}
	m.inForce, m.guessed = best, true
	if m.guessedAt.IsZero() {
		m.guessedAt = now
	}
}

// guessing reports whether the version in force is a guess that may still change.
func (m *Manager) guessing(now time.Time) bool {
	return m.guessed && now.Sub(m.guessedAt) < guessTime
}

// setInForce sets the version in force as a decider or the store told.
func (m *Manager) setInForce(version string) {
	m.inForce, m.guessed = version, false
}

// otherVersions returns the versions other than the given one of a service's hosts.
func (m *Manager) otherVersions(service, version string) []string {
	var others []string
	for _, h := range m.hosts {
		if h.Service == service && h.Version != "" && h.Version != version {
			others = append(others, h.Version)
		}
	}
	return others
}

// ownCold reports whether the own backend server is cold.
func (m *Manager) ownCold() bool {
	for _, h := range m.hosts {
		if h.ID == m.config.Host {
			return h.Cold
		}
	}
	return false
}

// load returns the view, nil without rollouts.
func (m *Manager) load() *view {
	if m == nil {
		return nil
	}
	return m.view.Load()
}

// Record records one response of the own backend server. Failures caused by nested
// calls must not be recorded as failed.
func (m *Manager) Record(route string, failed bool, took time.Duration) {
	if v := m.load(); v != nil && v.recorder != nil {
		v.recorder.record(m.config.Now(), route, failed, took)
	}
}

// Refusal reports whether the own backend server must get no new calls: because its
// version is not in use (leaving), or because its traffic moves to another version.
func (m *Manager) Refusal() (leaving, superseded bool) {
	v := m.load()
	if v == nil {
		return false, false
	}
	now := m.config.Now()
	if !v.leavingFrom.IsZero() && !now.Before(v.leavingFrom) {
		metricNotCandidate.Add(1)
		return true, false
	}
	if v.superseded || now.Before(v.supersededUntil) {
		metricSuperseded.Add(1)
		return false, true
	}
	return false, false
}

// IsCandidate reports whether the own backend server has a version that is not in force.
func (m *Manager) IsCandidate() bool {
	v := m.load()
	return v != nil && v.candidate
}

// UseCandidate reports whether the next first attempt of a call to the service goes to
// a candidate.
func (m *Manager) UseCandidate(service string) bool {
	v := m.load()
	if v == nil {
		return false
	}
	s, ok := v.shares[service]
	if !ok || !m.config.Now().Before(s.until) || !s.next() {
		return false
	}
	metricCandidate.Add(1)
	return true
}
