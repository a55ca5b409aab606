package claim

import (
	"context"
	"math/rand/v2"
	"reflect"
	"strings"
	"sync"
	"time"

	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
)

// faultRates holds the probability of each fault for one message. delay is the
// upper limit of the random delays before and after delivery.
type faultRates struct {
	drop, loseAnswer, duplicate, late float64
	delay                             time.Duration
}

// faults are the faults of one message, and its delays before and after delivery.
type faults struct {
	drop, loseAnswer, duplicate, late bool
	before, after                     time.Duration
}

// faultInjector draws the faults of messages at random, from a seed.
type faultInjector struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rates faultRates
}

func newFaultInjector(seed uint64, rates faultRates) *faultInjector {
	return &faultInjector{rng: rand.New(rand.NewPCG(seed, 0)), rates: rates}
}

func (fi *faultInjector) setFaultRates(rates faultRates) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.rates = rates
}

func (fi *faultInjector) faults() faults {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	hit := func(share float64) bool { return fi.rng.Float64() < share }
	return faults{
		drop: hit(fi.rates.drop), loseAnswer: hit(fi.rates.loseAnswer),
		duplicate: hit(fi.rates.duplicate), late: hit(fi.rates.late),
		before: time.Duration(fi.rng.Int64N(int64(fi.rates.delay) + 1)),
		after:  time.Duration(fi.rng.Int64N(int64(fi.rates.delay) + 1)),
	}
}

// lateDelay returns the random delay of a late copy of a message or a late write.
func (fi *faultInjector) lateDelay() time.Duration {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return time.Duration(fi.rng.Int64N(int64(10 * time.Second)))
}

// fakeTable is an in-memory platform.Table with faults.
type fakeTable struct {
	*faultInjector
	mu      sync.Mutex
	rows    map[string]platform.Row
	down    bool
	latency time.Duration
	commits int
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, faultInjector: newFaultInjector(0, faultRates{})}
}

func (f *fakeTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeTable) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *fakeTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if !sleep(ctx, f.latency+f.faults().before) {
		return nil, platform.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		row := f.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows, nil
}

func (f *fakeTable) List(_ context.Context, prefix, _ string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []platform.Row
	for _, key := range sortedKeys(f.rows) {
		if len(rows) < limit && len(key) > len(prefix) && key[:len(prefix)] == prefix {
			rows = append(rows, f.rows[key])
		}
	}
	return rows, nil
}

func (f *fakeTable) Commit(ctx context.Context, tx platform.Transaction) error {
	if f.isDown() {
		return platform.ErrUnavailable
	}
	faults := f.faults()
	if !sleep(ctx, f.latency+faults.before) || faults.late {
		time.AfterFunc(f.lateDelay(), func() { _ = f.apply(tx) })
		return platform.ErrOutcomeUnknown
	}
	err := f.apply(tx)
	if faults.loseAnswer {
		return platform.ErrOutcomeUnknown
	}
	return err
}

func (f *fakeTable) apply(tx platform.Transaction) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	for _, c := range tx.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return platform.ErrConflict
		}
	}
	for _, w := range tx.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = platform.Row{Key: w.Key, Version: f.rows[w.Key].Version + 1, Value: w.Value}
	}
	return nil
}

// fakeNetwork is a peer.Caller that delivers calls between the Claimers of a test,
// with faults.
type fakeNetwork struct {
	*faultInjector
	mu           sync.Mutex
	nodes        map[string]*Claimer
	disconnected map[string]bool
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{nodes: map[string]*Claimer{}, disconnected: map[string]bool{}, faultInjector: newFaultInjector(0, faultRates{})}
}

func (n *fakeNetwork) listen(address string, c *Claimer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = c
}

func (n *fakeNetwork) setDisconnected(address string, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[address] = disconnected
}

func (n *fakeNetwork) node(address string) *Claimer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.disconnected[address] {
		return nil
	}
	return n.nodes[address]
}

// Call delivers the message with the faults drawn for it. A late copy reaches the
// Claimer that listens at the address when the copy arrives.
func (n *fakeNetwork) Call(ctx context.Context, address, method string, args, reply any) error {
	if n.node(address) == nil {
		return peer.ErrNotSent
	}
	faults := n.faults()
	if faults.late || faults.duplicate {
		time.AfterFunc(n.lateDelay(), func() { _ = n.deliver(address, method, args, nil) })
	}
	if faults.late || faults.drop || !sleep(ctx, faults.before) {
		return peer.ErrBroken
	}
	err := n.deliver(address, method, args, reply)
	if faults.loseAnswer || !sleep(ctx, faults.after) || n.node(address) == nil {
		return peer.ErrBroken
	}
	return err
}

func (n *fakeNetwork) deliver(address, method string, args, reply any) error {
	c := n.node(address)
	if c == nil {
		return peer.ErrBroken
	}
	rpc := reflect.ValueOf(c.RPC()).MethodByName(strings.TrimPrefix(method, "Claim."))
	if reply == nil {
		reply = reflect.New(rpc.Type().In(1).Elem()).Interface()
	}
	err, _ := rpc.Call([]reflect.Value{reflect.ValueOf(args), reflect.ValueOf(reply)})[0].Interface().(error)
	return err
}
