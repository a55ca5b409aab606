package rollout

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/event"
)

// Manager keeps the rollouts of this host's view. All methods may be called
// concurrently, and work on a nil Manager.
type Manager struct {
	config Config
	wake   chan struct{}
	// view is what calls read; nil without orders and with a version in force.
	view atomic.Pointer[view]

	mu         sync.Mutex
	rollouts   map[string]*rollout
	configured bool
	hosts      []Host
	// service and version are those of the own backend server, and inForce is the
	// version of the service that is in force, "" if that isn't known.
	service, version, inForce string
	// guessed is set while inForce is a guess that may change, and guessedAt is when
	// it was made first.
	guessed   bool
	guessedAt time.Time
	// recordRead is set once the record of the own service was read.
	recordRead    bool
	recordRetryAt time.Time
	readingRecord bool
	notOrdered    bool
}

// rollout is the state of one order. It is guarded by Manager.mu.
type rollout struct {
	order Order
	since time.Time
	// fresh is set while since is only the time at which this process first saw the
	// order, which it found in its first configuration.
	fresh  bool
	phase  Phase
	reason Reason
	// base is the version in force before the order, "" if that isn't known.
	base string
	// wasInForce is set if this host saw the target in force before the order.
	wasInForce bool
	withdrawn  bool
	// replaced is the target of an earlier order that was running; "" if there is none.
	replaced string
	share    *share

	// recorder keeps the evidence of the own backend server.
	recorder *recorder
	// selfBad is set once the own evidence alone shows that the own backend server is
	// worse than baseline, the responses of the old version.
	selfBad  bool
	baseline Evidence
	// lastPoll is when another decider polled this host, or when the order was seen.
	lastPoll    time.Time
	lastDecider string
	// heard is when a decider, this host included, last polled.
	heard      time.Time
	promotedAt time.Time

	decision decision
	storage  storage
}

func (r *rollout) elapsed(now time.Time) time.Duration { return now.Sub(r.since) }

// adoptElapsed moves the start of the order back if another host saw it earlier.
func (r *rollout) adoptElapsed(now time.Time, elapsed time.Duration) {
	if since := now.Add(-elapsed); since.Before(r.since) {
		r.since = since
	}
}

// New returns a Manager without orders.
func New(config Config) *Manager {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Manager{config: config, wake: make(chan struct{}, 1), rollouts: make(map[string]*rollout)}
}

func (m *Manager) disabled() bool { return m == nil || m.config.MaxShare <= 0 }

// SetOrders sets the orders of the configuration in force. Of several orders of one
// service, only the one with the highest ID counts.
func (m *Manager) SetOrders(orders []Order) {
	if m.disabled() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Now()
	latest := make(map[string]Order)
	for _, o := range orders {
		if known, ok := latest[o.Service]; !ok || o.ID > known.ID {
			latest[o.Service] = o
		}
	}
	for service, r := range m.rollouts {
		if o, ok := latest[service]; !ok || o.ID < r.order.ID {
			m.withdraw(r, now, ok)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(latest)) {
		if r := m.rollouts[service]; r == nil || latest[service].ID > r.order.ID {
			m.rollouts[service] = m.newRollout(latest[service], r, now)
		}
	}
	m.configured = true
	m.refresh(now)
}

// withdraw rolls a rollout back whose order was deleted. If an older order is in force
// instead, this host's configuration is behind, and nothing changes.
func (m *Manager) withdraw(r *rollout, now time.Time, older bool) {
	if older || r.withdrawn {
		return
	}
	r.withdrawn = true
	if !r.phase.terminal() && m.decides(r, now) {
		m.rollBack(r, ReasonWithdrawn, "", now)
	}
	m.enter(r, PhaseRolledBack, ReasonWithdrawn, now)
}

func (m *Manager) newRollout(o Order, previous *rollout, now time.Time) *rollout {
	r := &rollout{order: o, since: now, lastPoll: now, fresh: !m.configured, phase: PhaseCanary}
	r.share = newShare(m.fraction())
	if previous != nil && !previous.phase.terminal() {
		r.replaced = previous.order.Target
	}
	if o.Service != m.service {
		return r
	}
	r.recorder = newRecorder(o.Over)
	switch {
	case m.inForce != o.Target:
		r.base = m.inForce
	case !r.fresh && len(m.otherVersions(o.Service, o.Target)) == 0:
		r.wasInForce = true
	}
	return r
}

// SetHosts sets the live hosts, this one included.
func (m *Manager) SetHosts(hosts []Host) {
	if m.disabled() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, r := range m.rollouts {
		if !slices.Equal(hostIDs(m.hosts, service), hostIDs(hosts, service)) {
			r.decision.announced = false
		}
	}
	m.hosts = slices.Clone(hosts)
	m.refresh(m.config.Now())
}

// SetBackend sets the service and version of the own backend server; "" if there is none.
func (m *Manager) SetBackend(service, version string) {
	if m.disabled() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if service == m.service && version == m.version {
		return
	}
	if service != m.service {
		m.inForce, m.guessed, m.guessedAt, m.recordRead = "", false, time.Time{}, false
	}
	if r := m.rollouts[service]; r != nil && (r.recorder == nil || version != m.version) {
		r.recorder, r.selfBad = newRecorder(r.order.Over), false
	}
	m.service, m.version = service, version
	m.refresh(m.config.Now())
}

// enter advances a rollout to a phase, unless it is in that phase or a later one.
func (m *Manager) enter(r *rollout, phase Phase, reason Reason, now time.Time) {
	if phase.rank() <= r.phase.rank() {
		return
	}
	r.phase, r.reason = phase, reason
	r.decision.announced = false
	if phase == PhasePromoting {
		r.promotedAt = now
	}
	if r.order.Service == m.service {
		switch {
		case phase == PhaseCompleted:
			m.setInForce(r.order.Target)
		case phase == PhaseRolledBack && r.base != "":
			m.setInForce(r.base)
		}
	}
}

// refresh publishes the view of the calls and wakes Run.
func (m *Manager) refresh(now time.Time) {
	m.guessInForce(now)
	m.view.Store(m.newView(now))
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Status returns the status of the service's last rollout.
func (m *Manager) Status(service string) (Status, bool) {
	if m.disabled() {
		return Status{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rollouts[service]
	if r == nil {
		return Status{}, false
	}
	return Status{
		Service: service, Target: r.order.Target, State: r.phase.state(), Phase: r.phase, Reason: r.reason,
		Elapsed: r.elapsed(m.config.Now()), Old: r.decision.old, New: r.decision.new,
	}, true
}

// logNotOrdered logs once that the own backend server's version is not in force.
func (m *Manager) logNotOrdered(notOrdered bool) {
	if notOrdered && !m.notOrdered {
		eventNotOrdered.Log(event.Fields{"service": m.service, "version": m.version, "in-force": m.inForce})
	}
	m.notOrdered = notOrdered
}
