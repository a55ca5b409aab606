package tally

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/metric"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/quota"
	"curranthold.example/curranthold/pkg/verdict"
)

var (
	metrics         = metric.NewGroup("tally")
	spentTokens     = metrics.Int("spent-tokens")
	refusedExceeded = metrics.Int("refused-exceeded-requests")
	refusedUnknown  = metrics.Int("refused-unknown-requests")
	reportMessages  = metrics.Int("report-messages")
	failedReports   = metrics.Int("failed-report-messages")
	homeChanges     = metrics.Int("home-changes")
)

var (
	eventHomeLost = event.New(750, "tally-home-lost", event.Warn,
		"The home of some client accounts did not answer a report; another host temporarily acts as their home.")
	eventHomeTaken = event.New(751, "tally-home-taken", event.Info,
		"This host begins to act as the home of a client account. States the tokens in the bucket, the rate at which it is filled, and the home that the first reporting host had before.")
)

// Config identifies this host and states how it reaches other hosts.
type Config struct {
	Host        string
	Zone        string
	Incarnation uint64
	Peers       peer.Caller
	// ExpectedHosts returns how many hosts there may be, this one included, as long as
	// no other is known: 1 if it is the only one. Nil means 1.
	ExpectedHosts func() int
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Manager spends tokens on behalf of this host, and keeps the buckets of the accounts
// whose home this host is. Its methods may be called concurrently.
type Manager struct {
	config Config

	mu       sync.Mutex
	accounts map[string]*account
	buckets  map[string]*bucket
	hosts    []quota.Host
	// primaryHomes are the homes of the partitions, chosen from all live hosts
	// including those that are avoided.
	primaryHomes [partitionCount]quota.Host
	// missingSince holds, by host, when it disappeared, for hosts that had not
	// announced that they leave.
	missingSince map[string]time.Time
	// avoidedUntil holds, by host, until when it is not chosen as a home.
	avoidedUntil map[string]time.Time
	// named holds the hosts that homes named, by partition.
	named [partitionCount]namedHome
	// started is when this Manager was created, and found is set once another host was
	// known.
	started time.Time
	found   bool
	// leaving is set once this host has announced that it leaves.
	leaving bool
	closed  bool
	calls   conc.WaitGroup
}

// New returns a Manager that knows only this host.
func New(config Config) *Manager {
	if config.Now == nil {
		config.Now = time.Now
	}
	m := &Manager{
		config:       config,
		accounts:     make(map[string]*account),
		buckets:      make(map[string]*bucket),
		hosts:        []quota.Host{{ID: config.Host, Zone: config.Zone}},
		missingSince: make(map[string]time.Time),
		avoidedUntil: make(map[string]time.Time),
		started:      config.Now(),
	}
	m.choosePrimaryHomes()
	return m
}

// SetAccounts sets the limits of all client accounts. A lower limit takes effect
// immediately.
func (m *Manager) SetAccounts(limits map[string]quota.Limit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Now()
	for name := range m.accounts {
		if _, ok := limits[name]; !ok {
			delete(m.accounts, name)
			delete(m.buckets, name)
		}
	}
	for name, limit := range limits {
		if a := m.accounts[name]; a != nil {
			a.setLimit(limit)
		} else {
			m.accounts[name] = newAccount(name, limit, now)
		}
		if b := m.buckets[name]; b != nil {
			b.limit = limit
			b.level = min(b.level, capacity(limit))
		}
	}
}

// SetHosts sets the live hosts, this one included. Leaving holds the IDs of hosts that
// have announced that they leave, this one included.
func (m *Manager) SetHosts(hosts []quota.Host, leaving map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Now()
	live := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		live[h.ID] = true
		delete(m.missingSince, h.ID)
	}
	for _, h := range m.hosts {
		if _, known := m.missingSince[h.ID]; !known && !live[h.ID] && !leaving[h.ID] {
			m.missingSince[h.ID] = now
		}
	}
	m.hosts = append([]quota.Host(nil), hosts...)
	m.leaving = leaving[m.config.Host]
	m.found = m.found || len(hosts) > 1 || len(leaving) > 0
	m.choosePrimaryHomes()
}

// Spend takes a token from the named account. If the host's estimate says that there is
// none, it asks the home for one. Any error is a *verdict.Error with verdict not-run.
func (m *Manager) Spend(ctx context.Context, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[name]
	if a == nil {
		refusedUnknown.Add(1)
		return verdict.New(verdict.NotRun, verdict.QuotaUnavailable, "client account %q is not known here", name)
	}
	now := m.config.Now()
	if a.spend(now, m.share(now)) {
		spentTokens.Add(1)
		m.reportIfStale(a)
		return nil
	}
	if m.ask(ctx, a) {
		spentTokens.Add(1)
		return nil
	}
	refusedExceeded.Add(1)
	now = m.config.Now()
	refusal := verdict.New(verdict.NotRun, verdict.QuotaExceeded,
		"client account %q is above its rate and burst: %.1f tokens, filled with %.1f/s, others spend %.1f/s, answered %d ms ago",
		name, a.level, a.refillRate, a.othersRate, now.Sub(a.lastAnswer).Milliseconds())
	refusal.RetryAfterMs = int(a.retryAfter(now, m.share(now)).Milliseconds())
	return refusal
}

// ask asks the home of an account for one token and reports whether it granted it. It
// returns false at once if another request is asking, the home has just granted none, or
// this host still searches for others. It releases m.mu while it waits.
func (m *Manager) ask(ctx context.Context, a *account) bool {
	now := m.config.Now()
	if m.closed || a.asking || now.Before(a.nextAsk) || m.searching(now) {
		return false
	}
	a.asking = true
	home := m.home(partitionOf(a.name), now)
	args := &ReportArgs{Host: m.config.Host, Incarnation: m.config.Incarnation}
	m.addSpending(args, a, now)
	args.Spendings[0].Wanted = 1
	asked := make(chan bool, 1)
	m.calls.Go(func() { asked <- m.report(home, args) })
	m.mu.Unlock()
	granted := awaitGrant(ctx, asked)
	m.mu.Lock()
	a.asking = false
	if !granted {
		a.nextAsk = m.config.Now().Add(askInterval)
	}
	return granted
}

// awaitGrant waits for the home's answer, for up to askTimeout. A token that is granted
// later is lost.
func awaitGrant(ctx context.Context, asked <-chan bool) bool {
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case granted := <-asked:
		return granted
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// reportIfStale reports an account at once if the tokens that it has spent are due to be
// reported and its last report is older than checkInterval. Among many hosts, each that
// spends for the first time in a while spends from an estimate that may be outdated.
func (m *Manager) reportIfStale(a *account) {
	now := m.config.Now()
	if m.closed || now.Sub(a.lastReport) < checkInterval || !a.reportDue(now, len(m.hosts)) || m.searching(now) {
		return
	}
	home := m.home(partitionOf(a.name), now)
	args := &ReportArgs{Host: m.config.Host, Incarnation: m.config.Incarnation}
	m.addSpending(args, a, now)
	m.calls.Go(func() { m.report(home, args) })
}

// addSpending adds an account to a report.
func (m *Manager) addSpending(args *ReportArgs, a *account, now time.Time) {
	a.lastReport = now
	a.refusedSinceReport = false
	a.advance(now, m.share(now))
	args.Spendings = append(args.Spendings, a.spending(now))
}

// evenFraction returns the fraction of a rate that each host gets if it is divided
// evenly among live and missing hosts.
func (m *Manager) evenFraction() float64 {
	return 1 / float64(max(len(m.hosts)+len(m.missingSince), 1))
}

// Run sends reports of spent tokens until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.sendReports(false)
		}
	}
}

// Close reports all unreported tokens and waits for the answers.
func (m *Manager) Close() error {
	m.sendReports(true)
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.calls.Wait()
	return nil
}

// sendReports sends the reports that are due, one to each home. With all set, it also
// reports accounts that have unreported tokens but are not due.
func (m *Manager) sendReports(all bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	now := m.config.Now()
	m.expire(now)
	if m.searching(now) {
		return
	}
	reports := make(map[quota.Host]*ReportArgs)
	for _, a := range m.accounts {
		if !a.reportDue(now, len(m.hosts)) && (!all || a.total == a.acknowledged) {
			continue
		}
		home := m.home(partitionOf(a.name), now)
		args := reports[home]
		if args == nil {
			args = &ReportArgs{Host: m.config.Host, Incarnation: m.config.Incarnation}
			reports[home] = args
		}
		m.addSpending(args, a, now)
	}
	for home, args := range reports {
		m.calls.Go(func() { m.report(home, args) })
	}
}

// expire removes missing hosts and avoided homes whose time is over.
func (m *Manager) expire(now time.Time) {
	for id, since := range m.missingSince {
		if now.Sub(since) > missingRetention {
			delete(m.missingSince, id)
		}
	}
	for id, until := range m.avoidedUntil {
		if !now.Before(until) {
			delete(m.avoidedUntil, id)
		}
	}
}

// report sends a report to a home and applies the answer. It reports whether the home
// granted a token.
func (m *Manager) report(home quota.Host, args *ReportArgs) (granted bool) {
	reply := new(ReportReply)
	if home.ID == m.config.Host {
		*reply = m.handleReport(args)
	} else if err := m.send(home, args, reply); err != nil {
		m.avoidHome(home, err)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Now()
	for i, state := range reply.States[:min(len(reply.States), len(args.Spendings))] {
		name := args.Spendings[i].Account
		m.followHome(partitionOf(name), home.ID, state.Primary, now)
		if a := m.accounts[name]; a != nil {
			a.applyState(now, home.ID, reply.Incarnation, args.Spendings[i].Total, state, len(m.hosts))
			granted = a.applyGrant(now, state.Granted) || granted
		}
	}
	return granted
}

func (m *Manager) send(home quota.Host, args *ReportArgs, reply *ReportReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	reportMessages.Add(1)
	return m.config.Peers.Call(ctx, home.Address, ServiceName+".Report", args, reply)
}

// handleReport applies a report to the buckets of its accounts and returns their states.
func (m *Manager) handleReport(args *ReportArgs) ReportReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Now()
	states := make([]State, len(args.Spendings))
	for i, s := range args.Spendings {
		a := m.accounts[s.Account]
		if a == nil || a.limit.Rate <= 0 {
			states[i] = State{Level: s.Level}
			continue
		}
		b := m.buckets[s.Account]
		if b == nil {
			b = newBucket(a.limit, now)
			m.buckets[s.Account] = b
		}
		b.advance(now, m.refillRate(b, partitionOf(s.Account), now))
		fromHere := s.Home == m.config.Host && s.HomeIncarnation == m.config.Incarnation
		taken := b.adopt(now, fromHere, s)
		states[i] = b.applyReport(now, args.Host, args.Incarnation, s)
		if primary := m.primaryHomes[partitionOf(s.Account)]; primary.ID != m.config.Host {
			states[i].Primary = primary
		}
		if taken {
			m.logTaken(s, states[i])
		}
	}
	return ReportReply{Incarnation: m.config.Incarnation, States: states}
}

// logTaken logs that this host begins to act as the home of an account. The first host
// that reports to it has sent s and gets state.
func (m *Manager) logTaken(s Spending, state State) {
	homeChanges.Add(1)
	eventHomeTaken.Log(event.Fields{
		"account": s.Account, "tokens": state.Level, "refill-per-second": state.Refill,
		"hosts": len(m.hosts), "home-before": s.Home, "primary-home": m.primaryHomes[partitionOf(s.Account)].ID,
	})
}

// refillRate returns the rate at which this host refills the bucket of an account: the
// account's rate less what is reserved for hosts that do not report. If this host
// replaces the primary home, which may still be serving other hosts, it is the sum of
// the even shares of the hosts that report to this one.
func (m *Manager) refillRate(b *bucket, partition int, now time.Time) float64 {
	evenShare := b.limit.Rate * m.evenFraction()
	b.countHosts(now, evenShare, m.missingSince)
	if m.primaryHomes[partition].ID != m.config.Host {
		return min(evenShare*float64(max(b.reportingHosts, 1)), b.limit.Rate)
	}
	reservedRate := b.reservedRate
	for id := range m.missingSince {
		reservedRate += b.reservedFor(id, evenShare)
	}
	return b.limit.Rate - min(reservedRate, b.limit.Rate*(1-m.evenFraction()))
}
