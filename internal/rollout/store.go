package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/event"
)

const (
	// storeTime limits one operation, which takes about 5 ms.
	storeTime = time.Second
	// storeRetryTime is the pause after a failed operation.
	storeRetryTime = 250 * time.Millisecond
)

// storage is what a decider knows of the rollout's record in the store.
type storage struct {
	// busy is set while an operation runs.
	busy    bool
	retryAt time.Time
	failed  bool
	// loaded is set while version is that of the stored record, as far as known.
	loaded bool
	// read is set once the record was read.
	read    bool
	version uint64
	stored  Record
	// begun is set once the stored record is that of this order.
	begun     bool
	published State
	// replacedPublished is set once the state of the order before was published.
	replacedPublished bool
	// settled is set once the terminal phase is stored and published.
	settled bool
}

// readOwnRecord reads the record of the own service once if versions other than the own
// are alive, and this process has not been told which one is in force and hasn't run long
// enough to know. It reports whether that is still to be done.
func (m *Manager) readOwnRecord(ctx context.Context, calls *conc.WaitGroup, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rollouts[m.service]
	switch {
	case m.recordRead, m.version == "", r != nil && r.base != "":
		return false
	case m.inForce != "" && !m.guessing(now):
		return false
	case len(m.otherVersions(m.service, m.version)) == 0 && (r == nil || !r.fresh):
		return false
	case m.readingRecord || now.Before(m.recordRetryAt):
		return true
	}
	m.readingRecord = true
	service := m.service
	calls.Go(func() {
		record, _, ok, err := m.loadRecord(ctx, service)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.readingRecord = false
		if err != nil {
			m.recordRetryAt = m.config.Now().Add(storeTime)
			return
		}
		if service != m.service {
			return
		}
		m.recordRead = true
		if ok && record.inForce() != "" {
			m.setInForce(record.inForce())
		}
		if r := m.rollouts[service]; ok && r != nil && r.order.ID == record.Order {
			m.adoptRecord(r, record, m.config.Now())
		}
		m.refresh(m.config.Now())
	})
	return true
}

// inForce returns the version in force according to the record.
func (r Record) inForce() string {
	if r.Phase == PhaseCompleted {
		return r.Target
	}
	return r.Base
}

func (m *Manager) loadRecord(ctx context.Context, service string) (Record, uint64, bool, error) {
	metricStoreReads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	record, version, ok, err := m.config.Records.Load(ctx, service)
	if err != nil {
		metricStoreFailed.Add(1)
	}
	return record, version, ok, err
}

// adoptRecord takes over the stored record of the same order.
func (m *Manager) adoptRecord(r *rollout, record Record, now time.Time) {
	if r.base == "" {
		r.base = record.Base
	}
	if r.fresh && !record.Started.IsZero() {
		r.adoptElapsed(now, now.Sub(record.Started))
		r.fresh = false
	}
	if record.Phase.terminal() {
		m.enter(r, record.Phase, record.Reason, now)
	}
}

// startStorage starts the next operation of a rollout in the store, if there is one.
func (m *Manager) startStorage(ctx context.Context, calls *conc.WaitGroup, r *rollout, now time.Time) {
	s := &r.storage
	if s.busy || s.settled || now.Before(s.retryAt) {
		return
	}
	operation := m.nextOperation(r)
	if operation == nil {
		return
	}
	s.busy = true
	calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, storeTime)
		defer cancel()
		err := operation(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		s.busy = false
		m.noteStore(r, err)
		m.refresh(m.config.Now())
	})
}

// noteStore logs the first of several failures, and delays the next operation after it.
func (m *Manager) noteStore(r *rollout, err error) {
	s := &r.storage
	if err == nil || errors.Is(err, ErrConflict) {
		s.failed = false
		return
	}
	s.retryAt = m.config.Now().Add(storeRetryTime)
	if !s.failed {
		eventStoreUnavailable.Log(event.Fields{"service": r.order.Service, "order": r.order.ID, "error": err.Error()})
	}
	s.failed = true
}

// nextOperation returns what is to be read or written next: first the record, then the
// state for operators.
func (m *Manager) nextOperation(r *rollout) func(context.Context) error {
	s := &r.storage
	switch {
	case !s.loaded:
		return func(ctx context.Context) error { return m.readRecord(ctx, r) }
	case r.replaced != "" && !s.replacedPublished:
		return func(ctx context.Context) error { return m.publishReplaced(ctx, r) }
	}
	record := m.wanted(r)
	switch {
	case record.Order != s.stored.Order || record.Phase != s.stored.Phase:
		version := s.version
		return func(ctx context.Context) error { return m.save(ctx, r, record, version) }
	case s.published != r.phase.state() && (r.phase.terminal() || r.elapsed(m.config.Now()) < r.order.Over):
		state := r.phase.state()
		return func(ctx context.Context) error { return m.publish(ctx, r, state) }
	}
	s.settled = r.phase.terminal()
	return nil
}

// wanted returns the record that is to be stored.
func (m *Manager) wanted(r *rollout) Record {
	record := Record{
		Service: r.order.Service, Target: r.order.Target, Base: r.base, Order: r.order.ID, Over: r.order.Over,
		Phase: PhaseCanary, Reason: r.reason, Started: r.since,
	}
	switch {
	case r.phase.terminal():
		record.Phase = r.phase
	case r.decision.wantComplete:
		record.Phase = PhaseCompleted
		if r.phase == PhaseCanary {
			record.Reason = ReasonInForce
		}
	}
	return record
}

// readRecord reads the record and adopts it, or finds out which version was in force.
func (m *Manager) readRecord(ctx context.Context, r *rollout) error {
	record, version, ok, err := m.loadRecord(ctx, r.order.Service)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Now()
	s := &r.storage
	s.loaded, s.read, s.version, s.stored = true, true, version, record
	switch {
	case ok && record.Order == r.order.ID:
		s.begun = true
		m.adoptRecord(r, record, now)
	case ok && record.Order > r.order.ID:
		// The operators have given a later order, which this host will learn of.
		m.enter(r, PhaseRolledBack, ReasonReplaced, now)
		s.settled = true
	case ok:
		r.base = record.inForce()
		if !record.Phase.terminal() {
			r.replaced = record.Target
		}
	case r.base == "":
		r.base = m.commonVersion(r.order.Service, r.order.Target)
	}
	if r.base == r.order.Target {
		r.base, r.wasInForce, r.decision.inForce, r.decision.wantComplete = "", true, true, true
	}
	return nil
}

func (m *Manager) publishReplaced(ctx context.Context, r *rollout) error {
	eventReplaced.Log(event.Fields{"service": r.order.Service, "target": r.order.Target, "order": r.order.ID, "replaced": r.replaced})
	if err := m.publishState(ctx, r.order.Service, r.replaced, StateRolledBack); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.storage.replacedPublished = true
	return nil
}

// save writes a record. After a conflict or an unknown outcome it is read again.
func (m *Manager) save(ctx context.Context, r *rollout, record Record, version uint64) error {
	metricStoreWrites.Add(1)
	err := m.config.Records.Save(ctx, record, version)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &r.storage
	if err != nil {
		if !errors.Is(err, ErrConflict) {
			metricStoreFailed.Add(1)
		}
		s.loaded = false
		return err
	}
	s.stored, s.begun = record, true
	// The version of the written record is only needed for a further write.
	s.loaded = record.Phase.terminal()
	if record.Phase == PhaseCompleted && r.phase != PhaseCompleted {
		m.enter(r, PhaseCompleted, record.Reason, m.config.Now())
		r.decision.nextRound = m.config.Now()
	}
	return nil
}

func (m *Manager) publish(ctx context.Context, r *rollout, state State) error {
	if err := m.publishState(ctx, r.order.Service, r.order.Target, state); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.storage.published = state
	fields := event.Fields{"service": r.order.Service, "target": r.order.Target, "order": r.order.ID, "reason": string(r.reason)}
	switch state {
	case StateCompleted:
		metricCompleted.Add(1)
		eventCompleted.Log(fields)
	case StateRolledBack:
		metricRolledBack.Add(1)
	}
	return nil
}

func (m *Manager) publishState(ctx context.Context, service, target string, state State) error {
	metricStoreWrites.Add(1)
	err := m.config.Records.Publish(ctx, service, target, state)
	if err != nil {
		metricStoreFailed.Add(1)
	}
	return err
}

// commonVersion returns the version other than target that most hosts of a service have.
func (m *Manager) commonVersion(service, target string) string {
	count := make(map[string]int)
	common := ""
	for _, version := range m.otherVersions(service, target) {
		count[version]++
		if common == "" || count[version] > count[common] || count[version] == count[common] && version < common {
			common = version
		}
	}
	return common
}
