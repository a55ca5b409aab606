package rollout

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	testService = "service"
	testOver    = 12 * time.Second
	testSlack   = 50
	testShare   = 0.1
	testBack    = 5 * time.Second
)

var errAway = errors.New("store away")

// fakeStore keeps records in memory. Fail returns the error of the next operation; with
// lost set, a failing save takes effect all the same.
type fakeStore struct {
	mu        sync.Mutex
	records   map[string]Record
	versions  map[string]uint64
	published []string
	calls     int
	fail      func(call int, operation string) error
	lost      bool
}

func (s *fakeStore) failure(operation string) error {
	s.calls++
	if s.fail == nil {
		return nil
	}
	return s.fail(s.calls, operation)
}

func (s *fakeStore) Load(_ context.Context, service string) (Record, uint64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure("load"); err != nil {
		return Record{}, 0, false, err
	}
	record, ok := s.records[service]
	return record, s.versions[service], ok, nil
}

func (s *fakeStore) Save(_ context.Context, record Record, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.failure("save")
	if err != nil && !s.lost {
		return err
	}
	if s.versions[record.Service] != version {
		return ErrConflict
	}
	s.records[record.Service] = record
	s.versions[record.Service]++
	return err
}

func (s *fakeStore) Publish(_ context.Context, service, target string, state State) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure("publish"); err != nil {
		return err
	}
	s.published = append(s.published, fmt.Sprint(service, " ", target, " ", state))
	return nil
}

func (s *fakeStore) last() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.published) == 0 {
		return ""
	}
	return s.published[len(s.published)-1]
}

// states returns the published states, and record the stored record of the service.
func (s *fakeStore) states() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.published)
}

func (s *fakeStore) record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[testService]
}

// put replaces the stored record of the service.
func (s *fakeStore) put(record Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[testService] = record
	s.versions[testService]++
}

// setFail sets which operations from now on fail.
func (s *fakeStore) setFail(fail func(call int, operation string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls, s.fail = 0, fail
}

// node is one host of a fleet.
type node struct {
	host    Host
	side    int // of a partition
	manager *Manager
	stop    context.CancelFunc
	// concentrated is until when an entry sends all calls to the candidates.
	concentrated time.Time
	down         bool
}

// testFleet is a set of hosts in one process, run in a synctest bubble.
type testFleet struct {
	mu      sync.Mutex // guards the nodes for their messages
	nodes   []*node
	store   *fakeStore
	orders  []Order
	ordered time.Time
	over    time.Duration
	rng     *rand.Rand
	// behave returns how a backend server responds. Elapsed is the time since the order,
	// load the requests that its version gets relative to the ones it was made for.
	behave func(version, route string, elapsed time.Duration, concentrated bool) (failed bool, took time.Duration)
	routes []string
	rate   int // calls a second

	all, toNew, badNew, refused int
	lateNew                     int // calls to the new version after the rollback bound
	badAt                       time.Time
	lastNew                     time.Time
}

type network struct {
	fleet *testFleet
	from  *node
}

// Call passes messages through gob, as net/rpc does.
func (n network) Call(ctx context.Context, address, _ string, args, reply any) error {
	to := n.fleet.reach(n.from, address)
	if to == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	var received PollArgs
	if err := throughGob(args, &received); err != nil {
		return err
	}
	var answer PollReply
	if err := to.RPC().(*RPC).Poll(&received, &answer); err != nil {
		return err
	}
	return throughGob(&answer, reply)
}

func throughGob(from, to any) error {
	var wire bytes.Buffer
	if err := gob.NewEncoder(&wire).Encode(from); err != nil {
		return err
	}
	return gob.NewDecoder(&wire).Decode(to)
}

// reach returns the manager of another host; nil if it can't be reached.
func (f *testFleet) reach(from *node, address string) *Manager {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.node(address)
	if to == nil || to.down || from.down || to.side != from.side {
		return nil
	}
	return to.manager
}

func (f *testFleet) node(id string) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.host.ID == id })
	if i < 0 {
		return nil
	}
	return f.nodes[i]
}

// newFleet starts old and new backend servers and entries, without an order.
func newFleet(t *testing.T, seed uint64, old, candidates, entries int) *testFleet {
	f := &testFleet{
		store: &fakeStore{records: make(map[string]Record), versions: make(map[string]uint64)},
		rng:   rand.New(rand.NewPCG(seed, 1)), routes: []string{"/a", "/b", "/c"}, rate: 1000, over: testOver,
	}
	f.behave = func(string, string, time.Duration, bool) (bool, time.Duration) { return f.good() }
	for i := range old {
		f.add(fmt.Sprintf("old-%d", i), testService, "v1")
	}
	for i := range entries {
		f.add(fmt.Sprintf("entry-%d", i), "other", "w1")
	}
	f.sync()
	for i := range candidates {
		f.add(fmt.Sprintf("new-%d", i), testService, "v2")
	}
	f.sync()
	t.Cleanup(f.close)
	return f
}

// good is a response of a backend server without regression: 0.4 % failures.
func (f *testFleet) good() (bool, time.Duration) {
	took := time.Duration(float64(20*time.Millisecond) * (0.5 + f.rng.ExpFloat64()))
	return f.rng.Float64() < 0.004, took
}

func (f *testFleet) add(id, service, version string) *node {
	n := &node{host: Host{ID: id, Address: id, Service: service, Version: version, Slots: 40}}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.start(n)
	return n
}

// start starts the node's process, also after a stop.
func (f *testFleet) start(n *node) {
	manager := New(Config{
		Host: n.host.ID, Peers: network{f, n}, Records: f.store, MaxShare: testShare, Slack: testSlack,
		RollbackTime: testBack, Running: func() int { return 0 },
	})
	f.mu.Lock()
	n.down, n.manager = false, manager
	f.mu.Unlock()
	n.manager.SetHosts(f.live(n.side))
	n.manager.SetOrders(f.orders)
	n.manager.SetBackend(n.host.Service, n.host.Version)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { _ = manager.Run(ctx) }()
}

// kill ends the node's process. The membership of the others doesn't notice until sync.
func (f *testFleet) kill(n *node) {
	f.mu.Lock()
	n.down = true
	f.mu.Unlock()
	n.stop()
}

// split moves a host to a side of a partition.
func (f *testFleet) split(n *node, side int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.side = side
}

func (f *testFleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	synctest.Wait()
}

func (f *testFleet) live(side int) []Host {
	var hosts []Host
	for _, n := range f.nodes {
		if !n.down && n.side == side {
			hosts = append(hosts, n.host)
		}
	}
	return hosts
}

// sync lets all nodes know the live hosts on their side.
func (f *testFleet) sync() {
	for _, n := range f.nodes {
		n.manager.SetHosts(f.live(n.side))
	}
}

func (f *testFleet) order(id uint64, target string, over time.Duration) {
	f.orders = []Order{{Service: testService, Target: target, Over: over, ID: id}}
	f.over = over
	if f.ordered.IsZero() {
		f.ordered = time.Now()
	}
	f.setOrders()
}

func (f *testFleet) setOrders() {
	for _, n := range f.nodes {
		n.manager.SetOrders(f.orders)
	}
}

// run sends calls for a time.
func (f *testFleet) run(d time.Duration) {
	const tick = 10 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		for range max(f.rate/100, 1) {
			f.call()
		}
		time.Sleep(tick)
	}
}

// call sends one call through a random live entry, as the entry stage does: candidates
// are used one at a time, changing each second, and refusals go to the other version.
func (f *testFleet) call() {
	entry := f.nodes[f.rng.IntN(len(f.nodes))]
	if entry.down {
		return
	}
	now := time.Now()
	concentrated := now.Before(entry.concentrated)
	first := "v1"
	if entry.manager.UseCandidate(testService) || concentrated {
		first = "v2"
	}
	f.all++
	if served, superseded := f.try(entry, first, concentrated); served {
		return
	} else if superseded {
		entry.concentrated = now.Add(2 * time.Second)
	}
	second := "v1"
	if first == "v1" {
		second = "v2"
		if !now.Before(entry.concentrated) {
			f.refused++
			return
		}
	}
	if served, _ := f.try(entry, second, concentrated); !served {
		f.refused++
	}
}

func (f *testFleet) try(entry *node, version string, concentrated bool) (served, superseded bool) {
	var hosts []*node
	for _, n := range f.nodes {
		if !n.down && n.side == entry.side && n.host.Service == testService && n.host.Version == version {
			hosts = append(hosts, n)
		}
	}
	if len(hosts) == 0 {
		return false, false
	}
	start := f.rng.IntN(len(hosts))
	if version == "v2" && !concentrated {
		start = int(time.Since(f.ordered)/time.Second) % len(hosts)
	}
	for i := range hosts {
		host := hosts[(start+i)%len(hosts)]
		leaving, replaced := host.manager.Refusal()
		superseded = superseded || replaced
		if leaving || replaced {
			continue
		}
		f.serve(host, version, concentrated)
		return true, false
	}
	return false, superseded
}

func (f *testFleet) serve(host *node, version string, concentrated bool) {
	now := time.Now()
	route := f.routes[f.rng.IntN(len(f.routes))]
	failed, took := f.behave(version, route, now.Sub(f.ordered), concentrated)
	host.manager.Record(route, failed, took)
	if version != "v2" {
		return
	}
	if now.Sub(f.ordered) < f.over {
		f.toNew++
	}
	f.lastNew = now
	if failed || took > 200*time.Millisecond {
		f.badNew++
		if f.badNew == 50 {
			f.badAt = now
		}
	}
	if !f.badAt.IsZero() && now.After(f.badAt.Add(testBack)) {
		f.lateNew++
	}
}

// exposed returns the requests that the new version got above the allowed share.
func (f *testFleet) exposed() int { return f.toNew - int(testShare*float64(f.all)) - testSlack }

func (f *testFleet) state() string { return f.store.last() }

// decider returns the host that decides now.
func (f *testFleet) decider() *node {
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		n.manager.mu.Lock()
		r := n.manager.rollouts[testService]
		taken := r != nil && r.decision.taken
		n.manager.mu.Unlock()
		if taken {
			return n
		}
	}
	return nil
}

// inFleet runs a test in a bubble with its own clock.
func inFleet(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}
