package quota

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
)

const (
	// failedBorrowBackoff is how long a host doesn't ask a home again after a
	// failed request for tokens.
	failedBorrowBackoff = 50 * time.Millisecond
	// tickInterval is the interval of the control goroutine.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds one call of the control goroutine.
	callTimeout = 2 * time.Second
	// borrowTimeout bounds one call for tokens, because requests wait for it.
	borrowTimeout = 250 * time.Millisecond
)

// Config configures a Manager.
type Config struct {
	// Host and Zone identify this host. No two live processes have the same Host.
	Host string
	Zone string
	// Incarnation grows with each start of the host's process.
	Incarnation uint64
	Peers       peer.Caller
	Table       platform.Table
	// Now returns the time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// Timing must be the same on all hosts.
	Timing Timing
}

// Manager spends, borrows, delegates and lends tokens for one host. Spend, Take
// and Permit.Return may be called from any goroutine.
type Manager struct {
	self        Host
	incarnation uint64
	peers       peer.Caller
	table       platform.Table
	now         func() time.Time
	timing      Timing

	snapshot atomic.Pointer[snapshot]
	// usableUntil is a copy of delegations.usableUntil for requests, which do
	// not take mu.
	usableUntil atomic.Pointer[time.Time]

	homeMu sync.Mutex
	home   *home

	// mu guards the control state below.
	mu       sync.Mutex
	accounts map[string]*account
	// sortedAccounts are the accounts sorted by name.
	sortedAccounts []*account
	hosts          []Host
	// primaryHomes are the homes chosen among all live hosts, and homes those in
	// use.
	primaryHomes  [partitionCount]Host
	homes         [partitionCount]Host
	delegations   *delegations
	rosterReplica *rosterReplica
	sampledAt     time.Time
	// pendingCalls are returned by the next run of control.
	pendingCalls []*call
	// stale is set while the host may not use its fraction, because the last
	// confirmation of it is too old.
	stale bool

	// startMu guards closed. No call starts after closed is set.
	startMu sync.Mutex
	closed  bool
	calls   conc.WaitGroup

	runMu     sync.Mutex
	stop      chan struct{}
	closeOnce sync.Once
	closeErr  error
}

// snapshot is state that requests read without taking Manager.mu.
type snapshot struct {
	accounts map[string]*account
	homes    [partitionCount]Host
}

// New returns a Manager that holds no tokens. It uses no fraction until the
// roster grants it one and a whole lease has passed.
func New(c Config) *Manager {
	now := c.Now
	if now == nil {
		now = time.Now
	}
	timing := c.Timing.withDefaults()
	start := now()
	self := Host{ID: c.Host, Zone: c.Zone}
	m := &Manager{
		self:          self,
		incarnation:   c.Incarnation,
		peers:         c.Peers,
		table:         c.Table,
		now:           now,
		timing:        timing,
		home:          newHome(c.Incarnation, start, timing),
		accounts:      make(map[string]*account),
		delegations:   newDelegations(c.Host, c.Incarnation, start, timing),
		rosterReplica: newRosterReplica(self, start, timing),
		stop:          make(chan struct{}),
	}
	m.usableUntil.Store(&time.Time{})
	m.snapshot.Store(&snapshot{})
	return m
}

// SetAccounts replaces the accounts and their limits. A changed limit takes
// effect on this host at once. A new account starts with no tokens.
func (m *Manager) SetAccounts(limits map[string]Limit) {
	m.homeMu.Lock()
	m.home.setAccounts(m.now(), limits)
	m.homeMu.Unlock()

	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for name, a := range m.accounts {
		if _, ok := limits[name]; !ok {
			delete(m.accounts, name)
			m.delegations.removeAccount(now, a)
		}
	}
	for name, limit := range limits {
		a := m.accounts[name]
		if a == nil {
			a = &account{name: name, partition: partitionOf(name)}
			m.accounts[name] = a
			m.delegations.addAccount(now, a)
		}
		a.mu.Lock()
		a.setLimit(now, limit)
		a.mu.Unlock()
	}
	m.sortedAccounts = slices.SortedFunc(maps.Values(m.accounts), func(a, b *account) int {
		return strings.Compare(a.name, b.name)
	})
	m.publish()
}

// SetHosts replaces the live hosts; they include this one.
func (m *Manager) SetHosts(hosts []Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts = append([]Host(nil), hosts...)
	for p := range m.primaryHomes {
		m.primaryHomes[p] = homeOf(p, m.hosts)
	}
	m.chooseHomes(m.now())
	m.rosterReplica.setHosts(m.hosts)
	m.publish()
}

// chooseHomes selects the home of each partition and reports whether one has
// changed. The primary home is used once it has answered; until then the
// previous home stays if it is still usable. If the primary home is
// unresponsive, the home chosen among the zone's responsive hosts is used
// instead. Two homes at once are safe: each adds tokens only for the fractions
// delegated to it.
func (m *Manager) chooseHomes(now time.Time) (changed bool) {
	for p := range m.homes {
		home, old := m.primaryHomes[p], m.homes[p]
		switch {
		case m.delegations.unresponsive(now, home.ID):
			home = homeOf(p, m.responsiveHosts(now))
		case old != home && m.usable(now, old) && !m.delegations.answeredRecently(now, home.ID):
			home = old
		}
		if old == home {
			continue
		}
		changed = true
		if old.ID != "" && old.ID != home.ID {
			m.pendingCalls = append(m.pendingCalls, m.returnLoans(now, p)...)
		}
		m.homes[p] = home
	}
	if changed {
		m.delegations.nextSend = now
	}
	return changed
}

// usable reports whether a home is still a live host and not unresponsive.
func (m *Manager) usable(now time.Time, home Host) bool {
	return slices.Contains(m.hosts, home) && !m.delegations.unresponsive(now, home.ID)
}

// responsiveHosts returns the zone's hosts that are not known to be unresponsive.
func (m *Manager) responsiveHosts(now time.Time) []Host {
	var hosts []Host
	for _, h := range m.hosts {
		if h.Zone == m.self.Zone && !m.delegations.unresponsive(now, h.ID) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// returnLoans removes the borrowed tokens of a partition, and returns the calls
// that give them back to the home.
func (m *Manager) returnLoans(now time.Time, p int) []*call {
	var calls []*call
	to := m.homes[p]
	for _, a := range m.delegations.accounts[p] {
		a.mu.Lock()
		id := a.homeIDFor(to.ID)
		item := BorrowItem{Account: a.name, Reports: a.returnAll(id)}
		a.mu.Unlock()
		if len(item.Reports) > 0 {
			calls = append(calls, m.borrowCall(now, to, id, []*account{a}, []BorrowItem{item}))
		}
	}
	return calls
}

func (m *Manager) publish() {
	next := &snapshot{accounts: make(map[string]*account, len(m.accounts)), homes: m.homes}
	if !m.rosterReplica.leaving {
		maps.Copy(next.accounts, m.accounts)
	}
	m.snapshot.Store(next)
}

// startBorrow asks the account's home for need tokens, without waiting for the
// answer.
func (m *Manager) startBorrow(a *account, need int) {
	a.mu.Lock()
	c := m.waitingBorrowCall(m.now(), a, need)
	a.mu.Unlock()
	if !m.start(c) {
		a.mu.Lock()
		a.finishBorrow(true, false)
		a.mu.Unlock()
	}
}

// waitingBorrowCall builds the request for tokens of an account that has a
// pending borrow; a.mu is held.
func (m *Manager) waitingBorrowCall(now time.Time, a *account, need int) *call {
	to := m.snapshot.Load().homes[a.partition]
	id := a.homeIDFor(to.ID)
	item, _ := a.prepareBorrow(now, id, need, m.timing)
	c := m.borrowCall(now, to, id, []*account{a}, []BorrowItem{item})
	handle := c.done
	c.done = func(now time.Time, err error) []*call {
		handle(now, err)
		a.mu.Lock()
		defer a.mu.Unlock()
		if err != nil {
			a.emptyUntil = now.Add(failedBorrowBackoff)
			a.homeState = homeUnreachable
		}
		a.finishBorrow(err != nil, err == nil && a.homeState == homeDelegated)
		return nil
	}
	return c
}

// borrowCall builds a request to one home for a group of accounts.
func (m *Manager) borrowCall(sent time.Time, to Host, id homeID, accounts []*account, items []BorrowItem) *call {
	reply := &BorrowReply{}
	return &call{
		to:     to,
		method: methodBorrow,
		args:   &BorrowArgs{Host: m.self.ID, HomeIncarnation: id.incarnation, Items: items},
		reply:  reply,
		done: func(now time.Time, err error) []*call {
			if err != nil || len(reply.Results) != len(accounts) {
				return nil
			}
			from := homeID{host: to.ID, incarnation: reply.HomeIncarnation}
			for i, a := range accounts {
				a.mu.Lock()
				a.applyBorrowResult(now, sent, from, &reply.Results[i])
				a.mu.Unlock()
			}
			return nil
		},
	}
}

// exchangeLoans samples the demand of all accounts, and returns the calls that
// report spending, return tokens that would expire unused, and borrow those
// expected to be needed.
func (m *Manager) exchangeLoans(now time.Time) []*call {
	if now.Sub(m.sampledAt) < m.timing.PrefetchInterval {
		return nil
	}
	elapsed := now.Sub(m.sampledAt)
	m.sampledAt = now
	type group struct {
		accounts []*account
		items    []BorrowItem
	}
	groups := make(map[homeID]*group)
	for _, a := range m.sortedAccounts {
		id, item, due := a.sampleDemand(now, elapsed, m.homes[a.partition].ID, m.timing)
		if !due || id.host == "" {
			continue
		}
		g := groups[id]
		if g == nil {
			g = &group{}
			groups[id] = g
		}
		g.accounts = append(g.accounts, a)
		g.items = append(g.items, item)
	}
	var calls []*call
	for p := range m.homes {
		for id, g := range groups {
			if id.host == m.homes[p].ID {
				calls = append(calls, m.borrowCall(now, m.homes[p], id, g.accounts, g.items))
				delete(groups, id)
			}
		}
	}
	return calls
}
