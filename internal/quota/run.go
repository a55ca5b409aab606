package quota

import (
	"context"
	"errors"
	"time"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
)

const (
	// closeTimeout bounds how long Close waits for homes and the table.
	closeTimeout = 3 * time.Second
	// closeRetryInterval is the time between two attempts while closing.
	closeRetryInterval = 50 * time.Millisecond
)

var (
	errNoTable       = errors.New("quota: no table is configured")
	errUnknownMethod = errors.New("quota: unknown method")
	errNotReleased   = errors.New("quota: a home has not released the host's delegation")
)

// Run runs the control loop. It returns when ctx ends or Close is called.
func (m *Manager) Run(ctx context.Context) error {
	m.runMu.Lock()
	defer m.runMu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.stop:
			return nil
		case <-ticker.C:
			m.startAll(m.control(m.now()))
		}
	}
}

// control does the periodic work that is due, and returns the calls to make.
func (m *Manager) control(now time.Time) []*call {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(now)
	if m.chooseHomes(now) {
		m.publish()
	}
	calls := append(m.pendingCalls, m.rosterReplica.tick(now)...)
	m.pendingCalls = nil
	calls = append(calls, m.delegations.tick(now, &m.homes, &m.primaryHomes)...)
	return append(calls, m.exchangeLoans(now)...)
}

// refresh applies the current state of the roster to the delegations, and to
// usableUntil, which requests read without the lock; m.mu is held.
func (m *Manager) refresh(now time.Time) {
	fraction := m.rosterReplica.fraction()
	if fraction != m.delegations.fraction {
		eventFractionChanged.Log(event.Fields{"fraction": fraction, "before": m.delegations.fraction})
		fractionMillionths.Set(int64(fraction * 1e6))
	}
	m.delegations.setFraction(now, fraction, m.rosterReplica.confirmedAt(now))
	if usableUntil := m.delegations.usableUntil; !usableUntil.Equal(*m.usableUntil.Load()) {
		m.usableUntil.Store(&usableUntil)
	}
	stale := fraction > 0 && !now.Before(m.delegations.usableUntil)
	if stale == m.stale {
		return
	}
	m.stale = stale
	if stale {
		eventStale.Log(nil)
		return
	}
	eventFresh.Log(nil)
}

// complete handles the outcome of a call and returns the calls that follow from
// it.
func (m *Manager) complete(now time.Time, c *call, err error) []*call {
	if err != nil {
		failedMessages.Add(1)
	}
	if c.method == methodBorrow {
		return c.done(now, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	more := c.done(now, err)
	m.refresh(now)
	return more
}

func (m *Manager) startAll(calls []*call) {
	for _, c := range calls {
		m.start(c)
	}
}

// start makes a call, and those that follow from it, in a new goroutine. It
// returns false if the Manager is closed.
func (m *Manager) start(c *call) bool {
	m.startMu.Lock()
	defer m.startMu.Unlock()
	if m.closed {
		return false
	}
	m.calls.Go(func() { m.perform(context.Background(), c) })
	return true
}

// perform makes a call and those that follow from it.
func (m *Manager) perform(ctx context.Context, c *call) {
	err := m.execute(ctx, c)
	for _, next := range m.complete(m.now(), c, err) {
		m.perform(ctx, next)
	}
}

func (m *Manager) execute(ctx context.Context, c *call) error {
	timeout := callTimeout
	if c.method == methodBorrow {
		timeout = borrowTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch {
	case c.keys != nil || c.tx != nil:
		return m.callTable(ctx, c)
	case c.to.ID == "":
		return peer.ErrNotSent
	case c.to.ID == m.self.ID:
		return m.serve(c.method, c.args, c.reply)
	}
	switch c.method {
	case methodBorrow:
		borrowMessages.Add(1)
	case methodDelegate:
		delegateMessages.Add(1)
	default:
		rosterMessages.Add(1)
	}
	return m.peers.Call(ctx, c.to.Address, serviceName+"."+c.method, c.args, c.reply)
}

func (m *Manager) callTable(ctx context.Context, c *call) error {
	if m.table == nil {
		return errNoTable
	}
	if c.tx != nil {
		tableWrites.Add(1)
		return m.table.Commit(ctx, *c.tx)
	}
	tableReads.Add(1)
	rows, err := m.table.Get(ctx, c.keys...)
	c.rows = rows
	return err
}

// Close returns tokens, ends delegations, gives up the host's fraction, and waits
// for everything that the Manager started. Spend fails afterwards.
func (m *Manager) Close() error {
	m.closeOnce.Do(func() {
		close(m.stop)
		m.runMu.Lock()
		defer m.runMu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		m.closeErr = m.leave(ctx)
		if m.closeErr != nil {
			eventLeaveFailed.Log(event.Fields{"error": m.closeErr.Error()})
		}
		m.startMu.Lock()
		m.closed = true
		m.startMu.Unlock()
		m.calls.Wait()
	})
	return m.closeErr
}

func (m *Manager) leave(ctx context.Context) error {
	for _, c := range m.returnAllLoans() {
		m.perform(ctx, c)
	}
	for !m.delegationsReleased() {
		for _, c := range m.releaseDelegations() {
			m.perform(ctx, c)
		}
		if err := sleep(ctx, closeRetryInterval); err != nil {
			return errNotReleased
		}
	}
	return m.leaveRoster(ctx)
}

// returnAllLoans stops the refill of the host's own buckets, and returns the
// calls that give all borrowed tokens back.
func (m *Manager) returnAllLoans() []*call {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.rosterReplica.leaving = true
	m.delegations.stopRefilling(now)
	var calls []*call
	for p := range m.homes {
		calls = append(calls, m.returnLoans(now, p)...)
	}
	m.snapshot.Store(&snapshot{homes: m.homes})
	return calls
}

func (m *Manager) delegationsReleased() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.delegations.allReleased(m.now())
}

func (m *Manager) releaseDelegations() []*call {
	m.mu.Lock()
	defer m.mu.Unlock()
	var none [partitionCount]Host
	m.delegations.nextSend = time.Time{}
	return m.delegations.tick(m.now(), &none, &none)
}

// leaveRoster gives up the host's fraction in its zone's row, and removes its
// entry unless it is a voter.
func (m *Manager) leaveRoster(ctx context.Context) error {
	if m.table == nil {
		return nil
	}
	for {
		rows, err := m.table.Get(ctx, m.rosterReplica.rowKey())
		if err != nil {
			return err
		}
		c := m.rosterReplica.leaveCall(rows)
		if c == nil {
			return nil
		}
		err = m.table.Commit(ctx, *c.tx)
		if err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return err
		}
		if err := sleep(ctx, closeRetryInterval); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
