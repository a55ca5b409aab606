package quota

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
)

// fleet simulates Managers with a fake clock and a fake network, one event at a
// time.
type fleet struct {
	now time.Time
	rng *rand.Rand
	// events are sorted by time.
	events []timedEvent
	limits map[string]Limit
	timing Timing
	nodes  []*node
	table  fakeTable
	// loss, duplicate and late are the shares of messages that are lost, sent
	// twice or delayed by up to two leases.
	loss, duplicate, late float64
	// partitioned reports whether the network between two hosts is interrupted.
	partitioned func(a, b *node) bool
	spent       map[string][]time.Time
	refused     map[string][]time.Time
	// arrivals are the times of all requests; messages counts the messages
	// between hosts.
	arrivals map[string][]time.Time
	messages int
	// waiters are the requests that wait for a pending borrow.
	waiters map[*pendingBorrow][]func()
}

type node struct {
	host        Host
	m           *Manager
	incarnation uint64
	drift       float64
	// up is false while no process runs. A frozen process resumes at resumesAt.
	up        bool
	resumesAt time.Time
	noTable   bool
	isolated  bool
}

type timedEvent struct {
	at time.Time
	do func()
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleet(seed uint64, limits map[string]Limit, timing Timing, zones ...int) *fleet {
	f := &fleet{
		now:      epoch,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		limits:   limits,
		timing:   timing,
		spent:    make(map[string][]time.Time),
		refused:  make(map[string][]time.Time),
		waiters:  make(map[*pendingBorrow][]func()),
		arrivals: make(map[string][]time.Time),
	}
	f.table.rows = make(map[string]platform.Row)
	for z, count := range zones {
		for range count {
			id := fmt.Sprintf("h%d", len(f.nodes))
			f.nodes = append(f.nodes, &node{host: Host{ID: id, Zone: fmt.Sprintf("z%d", z), Address: id}})
		}
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	at := f.now.Add(d)
	i, _ := slices.BinarySearchFunc(f.events, at, func(e timedEvent, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	f.events = slices.Insert(f.events, i, timedEvent{at: at, do: do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.do()
	}
	f.now = end
}

// clock returns the time of the node's own clock, which may run fast or slow.
func (f *fleet) clock(n *node) time.Time {
	elapsed := f.now.Sub(epoch)
	return f.now.Add(time.Duration(float64(elapsed) * n.drift))
}

func (f *fleet) start(n *node) {
	n.incarnation++
	n.up = true
	n.resumesAt = time.Time{}
	n.m = New(Config{
		Host:        n.host.ID,
		Zone:        n.host.Zone,
		Incarnation: n.incarnation,
		Now:         func() time.Time { return f.clock(n) },
		Timing:      f.timing,
	})
	n.m.SetAccounts(f.limits)
	f.tick(n, n.m)
}

// startAll starts all nodes and tells each of them about the others at once.
func (f *fleet) startAll() {
	for _, n := range f.nodes {
		f.start(n)
	}
	f.announceAll()
}

func (f *fleet) kill(n *node) { n.up = false; n.m = nil }

// runOn runs do in process m of node n: once the process resumes if it is frozen,
// and never if it has ended.
func (f *fleet) runOn(n *node, m *Manager, do func()) {
	switch {
	case n.m != m || m == nil:
	case f.now.Before(n.resumesAt):
		f.after(n.resumesAt.Sub(f.now), func() { f.runOn(n, m, do) })
	default:
		do()
	}
}

func (f *fleet) tick(n *node, m *Manager) {
	f.runOn(n, m, func() {
		f.callAll(n, m.control(f.clock(n)))
		f.after(tickInterval, func() { f.tick(n, m) })
	})
}

func (f *fleet) disconnected(a, b *node) bool {
	return a != b && (a.isolated || b.isolated || f.partitioned != nil && f.partitioned(a, b))
}

// announceHosts tells a node which live hosts it can reach.
func (f *fleet) announceHosts(n *node) {
	if n.m == nil {
		return
	}
	var hosts []Host
	for _, other := range f.nodes {
		if other.up && !f.disconnected(n, other) && (other == n || f.now.After(other.resumesAt)) {
			hosts = append(hosts, other.host)
		}
	}
	n.m.SetHosts(hosts)
}

func (f *fleet) announceAll() {
	for _, n := range f.nodes {
		f.runOn(n, n.m, func() { f.announceHosts(n) })
	}
}

func (f *fleet) delay() time.Duration {
	if f.rng.Float64() < f.late {
		return time.Duration(f.rng.Float64() * float64(2*f.timing.Lease))
	}
	return 200*time.Microsecond + time.Duration(f.rng.IntN(1000))*time.Microsecond
}

func (f *fleet) callAll(n *node, calls []*call) {
	for _, c := range calls {
		f.call(n, c)
	}
}

// call performs one call over the fake network or on the fake table.
func (f *fleet) call(n *node, c *call) {
	m := n.m
	finished := false
	finish := func(err error) {
		f.runOn(n, m, func() {
			if !finished {
				finished = true
				f.callAll(n, m.complete(f.clock(n), c, err))
			}
		})
	}
	if c.keys != nil || c.tx != nil {
		f.callTable(n, c, finish)
		return
	}
	if c.to.ID == n.host.ID {
		finish(m.serve(c.method, c.args, c.reply))
		return
	}
	timeout := callTimeout
	if c.method == methodBorrow {
		timeout = borrowTimeout
	}
	f.after(timeout, func() { finish(peer.ErrBroken) })
	f.messages++
	copies := 1
	if f.rng.Float64() < f.duplicate {
		copies++
	}
	for range copies {
		f.after(f.delay(), func() { f.deliver(n, c, finish, &finished) })
	}
}

func (f *fleet) deliver(from *node, c *call, finish func(error), finished *bool) {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.host.ID == c.to.ID })
	if i < 0 || !f.nodes[i].up || f.disconnected(from, f.nodes[i]) || f.rng.Float64() < f.loss {
		return
	}
	to := f.nodes[i]
	f.runOn(to, to.m, func() {
		reply := reflect.New(reflect.TypeOf(c.reply).Elem())
		err := to.m.serve(c.method, c.args, reply.Interface())
		if f.rng.Float64() < f.loss {
			return
		}
		f.after(f.delay(), func() {
			if *finished || f.disconnected(from, to) {
				return
			}
			reflect.ValueOf(c.reply).Elem().Set(reply.Elem())
			finish(err)
		})
	})
}

// spend simulates one request of an account at a node.
func (f *fleet) spend(n *node, name string) {
	if n.m == nil || f.now.Before(n.resumesAt) {
		return
	}
	f.arrivals[name] = append(f.arrivals[name], f.now)
	a := n.m.snapshot.Load().accounts[name]
	if a.take(f.clock(n), *n.m.usableUntil.Load()) {
		f.spent[name] = append(f.spent[name], f.now)
		return
	}
	a.waiting++
	f.spendBorrowed(n, n.m, a, maxBorrowRounds)
}

func (f *fleet) spendBorrowed(n *node, m *Manager, a *account, attempts int) {
	if attempts == 0 || f.clock(n).Before(a.emptyUntil) {
		a.waiting--
		f.refused[a.name] = append(f.refused[a.name], f.now)
		return
	}
	pendingBorrow, started := a.joinBorrow()
	f.waiters[pendingBorrow] = append(f.waiters[pendingBorrow], func() {
		f.runOn(n, m, func() { f.borrowFinished(n, m, a, pendingBorrow, attempts) })
	})
	if !started {
		return
	}
	c := m.waitingBorrowCall(f.clock(n), a, a.waiting)
	handle := c.done
	c.done = func(now time.Time, err error) []*call {
		more := handle(now, err)
		for _, wake := range f.waiters[pendingBorrow] {
			f.after(0, wake)
		}
		delete(f.waiters, pendingBorrow)
		return more
	}
	f.call(n, c)
}

func (f *fleet) borrowFinished(n *node, m *Manager, a *account, pendingBorrow *pendingBorrow, attempts int) {
	if a.takeWithoutCounting(f.clock(n), *m.usableUntil.Load()) {
		a.waiting--
		f.spent[a.name] = append(f.spent[a.name], f.now)
		return
	}
	if pendingBorrow.failed || !pendingBorrow.delegated {
		attempts = 1
	}
	f.spendBorrowed(n, m, a, attempts-1)
}

// callTable simulates the table service, with its outages and lost answers.
func (f *fleet) callTable(n *node, c *call, finish func(error)) {
	f.after(f.delay(), func() {
		if f.table.down || n.noTable || n.isolated {
			finish(platform.ErrUnavailable)
			return
		}
		lost := f.rng.Float64() < f.loss
		if c.tx != nil {
			if lost {
				f.after(f.delay(), func() { _ = f.table.Commit(context.Background(), *c.tx) })
				f.after(callTimeout, func() { finish(platform.ErrOutcomeUnknown) })
				return
			}
			err := f.table.Commit(context.Background(), *c.tx)
			f.after(f.delay(), func() { finish(err) })
			return
		}
		rows, _ := f.table.Get(context.Background(), c.keys...)
		f.after(f.delay(), func() { c.rows = rows; finish(nil) })
	})
}

// fakeTable is a table in memory.
type fakeTable struct {
	rows   map[string]platform.Row
	down   bool
	writes int
	// checkedWrites is the value of writes at the last check of the rows.
	checkedWrites int
}

func (t *fakeTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		row := t.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows, nil
}

func (t *fakeTable) List(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, errors.New("not used")
}

func (t *fakeTable) Commit(_ context.Context, tx platform.Transaction) error {
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return platform.ErrConflict
		}
	}
	t.writes++
	for _, w := range tx.Writes {
		t.rows[w.Key] = platform.Row{Key: w.Key, Version: t.rows[w.Key].Version + 1, Value: w.Value}
	}
	return nil
}

// checkReferenceBucket replays the spending of the whole fleet on a single token
// bucket. It returns an error if the spending exceeds the rate and burst in some
// window by more than a rounding error.
func checkReferenceBucket(limit Limit, spent []time.Time) error {
	tokens, at := limit.Burst, time.Time{}
	for i, t := range spent {
		if i == 0 {
			at = t
		}
		tokens = min(limit.Burst, tokens+limit.Rate*t.Sub(at).Seconds()) - 1
		at = t
		if tokens < -1e-6 {
			return fmt.Errorf("request %d at %v: reference bucket at %v tokens", i, t, tokens)
		}
	}
	return nil
}

// checkSpending compares the spending of all accounts with the reference bucket.
func (f *fleet) checkSpending(rateFactor float64) error {
	for _, name := range slices.Sorted(maps.Keys(f.limits)) {
		limit := f.limits[name]
		limit.Rate *= rateFactor
		if err := checkReferenceBucket(limit, f.spent[name]); err != nil {
			return fmt.Errorf("client account %s: %w", name, err)
		}
	}
	return nil
}

// sendLoad lets every account send at share of its rate for d. Arrivals don't
// depend on the outcome of earlier requests.
func (f *fleet) sendLoad(d time.Duration, share float64, pick func(*rand.Rand) *node) {
	for i, name := range slices.Sorted(maps.Keys(f.limits)) {
		rng := rand.New(rand.NewPCG(uint64(f.now.UnixNano()), uint64(i)))
		rate := f.limits[name].Rate * share
		end := f.now.Add(d)
		var next func()
		next = func() {
			if f.now.After(end) {
				return
			}
			f.spend(pick(rng), name)
			f.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
		f.after(0, next)
	}
}

func (f *fleet) anyNode(rng *rand.Rand) *node { return f.nodes[rng.IntN(len(f.nodes))] }
