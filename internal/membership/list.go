package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
)

const (
	// probeInterval is the time between two probes that a node sends.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is the timeout of one direct probe.
	probeTimeout = 300 * time.Millisecond
	// relayCount is how many other nodes are asked to probe a target that did
	// not answer.
	relayCount = 3
	// syncInterval is the time between two synchronizations of the whole roster
	// with a random member.
	syncInterval = 10 * time.Second
	// reconnectInterval is the time between two attempts to reach a dead member
	// and, if no other live node is known, the seeds and the directory.
	reconnectInterval = 2 * time.Second
	// publishIntervalPerMember, times the number of live members, is the minimum
	// time between two publications. The cost of a publication grows with the
	// number of members, so this bounds the CPU time that publishing takes.
	publishIntervalPerMember = 260 * time.Microsecond
	// assumedHosts is the number of hosts that a node expects before it has read the
	// directory.
	assumedHosts = 8
)

// errClosed is returned by operations on a closed list.
var errClosed = errors.New("membership: closed")

// Config identifies this node and says how it reaches others.
type Config struct {
	ID      string
	Zone    string
	Address string
	// Seeds are the peer addresses that the node contacts to find others.
	Seeds []string
	Peers peer.Caller
	// Table holds the directory of hosts. If it is nil, there is no directory.
	Table platform.Table
}

// List keeps track of the members. Only the goroutine that calls Run, the control
// goroutine, changes the roster; other goroutines read published snapshots.
type List struct {
	config      Config
	incarnation uint64
	roster      *roster
	probeOrder  []string
	snapshot    atomic.Pointer[[]Member]
	// expectedHosts is the number of hosts in the directory at its last reading, and
	// assumedHosts before the first.
	expectedHosts atomic.Int64
	// nextPublish is the earliest time of the next publication.
	nextPublish time.Time

	mu          sync.Mutex
	subscribers []func([]Member)

	// renewals holds a value while a call of RenewDirectoryRow is pending.
	renewals chan struct{}
	// leaving is set once Leave is called.
	leaving atomic.Bool

	inbox     chan func()
	done      chan struct{}
	closeOnce sync.Once
	runMu     sync.Mutex // held during Run
	wg        conc.WaitGroup
}

// New returns a list that knows only this node. Call Run to start it.
func New(config Config) *List {
	self := Member{
		ID:          config.ID,
		Zone:        config.Zone,
		Address:     config.Address,
		Incarnation: newIncarnation(time.Now()),
		Version:     1,
	}
	l := &List{
		config:      config,
		incarnation: self.Incarnation,
		roster:      newRoster(self),
		renewals:    make(chan struct{}, 1),
		inbox:       make(chan func(), 64),
		done:        make(chan struct{}),
	}
	l.expectedHosts.Store(assumedHosts)
	members := l.roster.live()
	l.snapshot.Store(&members)
	return l
}

// Incarnation returns the incarnation of this node.
func (l *List) Incarnation() uint64 { return l.incarnation }

// Members returns the live members, this node included. Callers must not change
// the slice.
func (l *List) Members() []Member { return *l.snapshot.Load() }

// ExpectedHosts returns how many hosts there may be, this one included, as far as is known
// while no other answers: the number in the directory, which may list hosts that ended.
func (l *List) ExpectedHosts() int { return int(l.expectedHosts.Load()) }

// Subscribe registers f to be called with each new set of live members, one call
// at a time. It must be called before Run.
func (l *List) Subscribe(f func([]Member)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subscribers = append(l.subscribers, f)
}

// RPC returns the net/rpc receiver that serves the calls of other nodes.
func (l *List) RPC() any { return &RPC{list: l} }

// Backend describes the backend server on this host. The zero Backend means that there
// is none.
type Backend struct {
	Service, Version string
	Slots            int
	Cold, Candidate  bool
}

// Announce announces the backend server on this host to the other nodes.
func (l *List) Announce(b Backend) {
	_ = l.do(func() {
		l.roster.update(func(m *Member) {
			m.Service, m.Slots, m.Cold = b.Service, b.Slots, b.Cold
			m.BackendVersion, m.Candidate = b.Version, b.Candidate
		})
	})
}

// SetCandidate announces whether the version of the backend server on this host is not
// in force.
func (l *List) SetCandidate(candidate bool) {
	_ = l.do(func() {
		l.roster.update(func(m *Member) { m.Candidate = candidate && m.Service != "" })
	})
}

// Leave announces that this node is leaving, and removes its row from the
// directory. It sends the announcement to a few random members immediately; the
// others learn it from them.
func (l *List) Leave(ctx context.Context) {
	l.leaving.Store(true)
	_ = l.do(func() {
		l.roster.update(func(m *Member) { m.Leaving = true })
	})
	var wg conc.WaitGroup
	for _, m := range l.sample(2 * relayCount) {
		wg.Go(func() { _ = l.ping(ctx, m.Address) })
	}
	wg.Wait()
	l.removeFromDirectory(ctx)
}

// Run keeps the list up to date until ctx ends or Close is called.
func (l *List) Run(ctx context.Context) {
	l.runMu.Lock()
	defer l.runMu.Unlock()
	if l.closed() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.wg.Go(func() { l.keepInDirectory(ctx) })
	l.publish()
	publishTimer := time.NewTimer(0)
	defer publishTimer.Stop()
	probeTicker := time.NewTicker(probeInterval)
	defer probeTicker.Stop()
	syncTicker := time.NewTicker(syncInterval)
	defer syncTicker.Stop()
	reconnectTicker := time.NewTicker(reconnectInterval)
	defer reconnectTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.close()
			return
		case <-l.done:
			return
		case f := <-l.inbox:
			f()
		case now := <-probeTicker.C:
			l.expireSuspects(now)
			l.probeNext(ctx)
		case <-syncTicker.C:
			l.syncWithRandomMember(ctx)
		case <-reconnectTicker.C:
			l.reconnect(ctx)
		case <-publishTimer.C:
		}
		l.publishDue(publishTimer)
	}
}

// Close stops the list and waits for its goroutines.
func (l *List) Close() error {
	l.close()
	l.runMu.Lock()
	defer l.runMu.Unlock()
	l.wg.Wait()
	return nil
}

func (l *List) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *List) close() { l.closeOnce.Do(func() { close(l.done) }) }

// do runs f in the control goroutine and waits until it returns.
func (l *List) do(f func()) error {
	finished := make(chan struct{})
	signalling := func() {
		defer close(finished)
		f()
	}
	select {
	case l.inbox <- signalling:
	case <-l.done:
		return errClosed
	}
	select {
	case <-finished:
		return nil
	case <-l.done:
		return errClosed
	}
}

// post hands f to the control goroutine without waiting until it has run.
func (l *List) post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.done:
	}
}

func (l *List) mergeAll(members []Member) {
	now := time.Now()
	for _, m := range members {
		if l.roster.merge(m, now) && m.ID != l.config.ID {
			logChange(m)
		}
	}
}

func (l *List) expireSuspects(now time.Time) {
	for _, m := range l.roster.expireSuspects(now) {
		logChange(m)
	}
}

// publishDue publishes pending changes, or resets publishTimer to fire at
// nextPublish if that is still to come.
func (l *List) publishDue(publishTimer *time.Timer) {
	if !l.roster.changed {
		return
	}
	if wait := time.Until(l.nextPublish); wait > 0 {
		publishTimer.Reset(wait)
		return
	}
	l.publish()
	l.nextPublish = time.Now().Add(publishIntervalPerMember * time.Duration(len(l.Members())))
}

// publish makes the live members available to readers and subscribers if the
// roster has changed.
func (l *List) publish() {
	if !l.roster.changed {
		return
	}
	l.roster.changed = false
	members := l.roster.live()
	l.snapshot.Store(&members)
	metricMembers.Set(int64(len(members)))
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.subscribers {
		f(members)
	}
}

// sample returns up to n random live members other than this node.
func (l *List) sample(n int) []Member {
	return l.sampleOf(n, func(Member) bool { return true })
}

// sampleOf returns up to n random live members other than this node for which eligible
// returns true.
func (l *List) sampleOf(n int, eligible func(Member) bool) []Member {
	members := l.Members()
	var out []Member
	for _, i := range rand.Perm(len(members)) {
		if len(out) == n {
			break
		}
		if members[i].ID != l.config.ID && eligible(members[i]) {
			out = append(out, members[i])
		}
	}
	return out
}

func logChange(m Member) {
	fields := event.Fields{"host": m.ID, "zone": m.Zone, "state": m.State.String(), "leaving": m.Leaving, "service": m.Service}
	if m.State == Dead {
		eventDead.Log(fields)
		return
	}
	eventChanged.Log(fields)
}
