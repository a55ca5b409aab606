package configuration

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/key"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/object"
)

// fakeTable is an in-memory table that can simulate faults.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	down bool
	// onCommit, if not nil, chooses the outcome of each commit.
	onCommit func(tx platform.Transaction) (commitOutcome, bool)
	delayed  []platform.Transaction
}

// partitionableTable is the table as seen by one host. Reads by key fail while it
// is unreachable.
type partitionableTable struct {
	*fakeTable
	unreachable atomic.Bool
}

func (t *partitionableTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if t.unreachable.Load() {
		return nil, platform.ErrUnavailable
	}
	return t.fakeTable.Get(ctx, keys...)
}

// commitOutcome is the simulated outcome of a commit.
type commitOutcome int

const (
	applied commitOutcome = iota
	responseLost
	requestLost
	requestDelayed
	unavailable
	appliedThenDown
)

func (t *fakeTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, platform.ErrUnavailable
	}
	rows := make([]platform.Row, len(keys))
	for i, k := range keys {
		rows[i] = t.rows[k]
		rows[i].Key = k
	}
	return rows, nil
}

func (t *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, platform.ErrUnavailable
	}
	var found []platform.Row
	for k, row := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return found[:min(limit, len(found))], nil
}

func (t *fakeTable) Commit(_ context.Context, tx platform.Transaction) error {
	t.mu.Lock()
	onCommit := t.onCommit
	t.mu.Unlock()
	outcome := applied
	if onCommit != nil {
		if o, ok := onCommit(tx); ok {
			outcome = o
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.down, outcome == unavailable:
		return platform.ErrUnavailable
	case outcome == requestLost:
		return platform.ErrOutcomeUnknown
	case outcome == requestDelayed:
		t.delayed = append(t.delayed, tx)
		return platform.ErrOutcomeUnknown
	}
	err := t.apply(tx)
	t.down = outcome == appliedThenDown
	if outcome == responseLost {
		return platform.ErrOutcomeUnknown
	}
	return err
}

func (t *fakeTable) apply(tx platform.Transaction) error {
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return platform.ErrConflict
		}
	}
	for _, w := range tx.Writes {
		version := t.rows[w.Key].Version + 1
		t.rows[w.Key] = platform.Row{Key: w.Key, Version: version, Value: w.Value}
		if w.Delete {
			delete(t.rows, w.Key)
		}
	}
	return nil
}

// applyDelayed applies the delayed commits whose conditions still hold.
func (t *fakeTable) applyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tx := range t.delayed {
		_ = t.apply(tx)
	}
	t.delayed = nil
}

func (t *fakeTable) setOnCommit(onCommit func(platform.Transaction) (commitOutcome, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onCommit = onCommit
}

func (t *fakeTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// fakeNetwork carries calls between replicas, with arguments and replies encoded by
// gob as on a real connection.
type fakeNetwork struct {
	mu       sync.Mutex
	replicas map[string]*Replica
	// fault, if not nil, returns the fault to simulate for a call.
	fault func(from, to Host) messageFault
	bytes int
	calls int
}

type messageFault struct {
	drop, loseAnswer, duplicate bool
	delay                       time.Duration
}

// wait waits for the delay and reports whether it elapsed before the context ended.
// It makes no timer for a delay of 0, because the race detector of Go 1.26 crashes
// on such a timer in a synctest bubble.
func (f messageFault) wait(ctx context.Context) bool {
	if f.delay == 0 {
		return true
	}
	timer := time.NewTimer(f.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// fakeCaller is the peer.Caller of one host on a fakeNetwork.
type fakeCaller struct {
	network *fakeNetwork
	host    Host
}

func (c fakeCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	c.network.mu.Lock()
	to, ok := c.network.replicas[address]
	var f messageFault
	if ok && c.network.fault != nil {
		f = c.network.fault(c.host, Host{ID: to.config.Host, Zone: to.config.Zone, Address: address})
	}
	c.network.calls++
	c.network.mu.Unlock()
	if !ok || f.drop {
		return peer.ErrNotSent
	}
	if !f.wait(ctx) {
		return peer.ErrBroken
	}
	if f.duplicate {
		_ = c.deliver(to, method, args, reflect.New(reflect.TypeOf(reply).Elem()).Interface())
	}
	err := c.deliver(to, method, args, reply)
	if f.loseAnswer || ctx.Err() != nil {
		return peer.ErrBroken
	}
	return err
}

func (c fakeCaller) deliver(to *Replica, method string, args, reply any) error {
	_, name, _ := strings.Cut(method, ".")
	m := reflect.ValueOf(to.RPC()).MethodByName(name)
	received := reflect.New(m.Type().In(0).Elem()).Interface()
	answered := reflect.New(m.Type().In(1).Elem()).Interface()
	if err := c.copy(args, received); err != nil {
		return err
	}
	out := m.Call([]reflect.Value{reflect.ValueOf(received), reflect.ValueOf(answered)})
	if err, _ := out[0].Interface().(error); err != nil {
		return err
	}
	return c.copy(answered, reply)
}

func (c fakeCaller) copy(from, to any) error {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(from); err != nil {
		return err
	}
	c.network.mu.Lock()
	c.network.bytes += buffer.Len()
	c.network.mu.Unlock()
	return gob.NewDecoder(&buffer).Decode(to)
}

// fleet is a set of replicas that share one table and one network.
type fleet struct {
	t       testing.TB
	table   *fakeTable
	store   platform.ObjectStore
	network *fakeNetwork
	hosts   []Host
	running map[string]*Replica
	// source returns the source of a host. If it is nil, there is none.
	source func(Host) Source
}

func newFleet(t testing.TB, zones, hostsPerZone int) *fleet {
	f := &fleet{
		t:       t,
		table:   &fakeTable{rows: map[string]platform.Row{}},
		network: &fakeNetwork{replicas: map[string]*Replica{}},
		running: map[string]*Replica{},
	}
	for z := range zones {
		for h := range hostsPerZone {
			id := fmt.Sprintf("host-%d-%d", z, h)
			f.hosts = append(f.hosts, Host{ID: id, Zone: fmt.Sprintf("zone-%d", z), Address: "addr-" + id})
		}
	}
	return f
}

func (f *fleet) startAll() {
	for _, h := range f.hosts {
		f.start(h)
	}
	for _, h := range f.hosts {
		<-f.running[h.Address].Ready()
	}
}

// start runs a new replica on a host, after stopping any that runs there.
func (f *fleet) start(h Host, subscribers ...func(*Snapshot)) *Replica {
	f.stop(h)
	config := Config{Host: h.ID, Zone: h.Zone, Table: &partitionableTable{fakeTable: f.table}, Store: f.store, Peers: fakeCaller{f.network, h}}
	if f.source != nil {
		config.Source = f.source(h)
	}
	r := New(config)
	for _, s := range subscribers {
		r.Subscribe(s)
	}
	r.SetHosts(f.hosts)
	f.network.mu.Lock()
	f.network.replicas[h.Address] = r
	f.network.mu.Unlock()
	f.running[h.Address] = r
	go func() { _ = r.Run(context.Background()) }()
	return r
}

func (f *fleet) stop(h Host) {
	if r, ok := f.running[h.Address]; ok {
		f.network.mu.Lock()
		delete(f.network.replicas, h.Address)
		f.network.mu.Unlock()
		qt.Assert(f.t, r.Close(), qt.IsNil)
		delete(f.running, h.Address)
	}
}

func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		f.stop(h)
	}
}

func (f *fleet) setFault(fault func(from, to Host) messageFault) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.fault = fault
}

func (f *fleet) replica(i int) *Replica { return f.running[f.hosts[i].Address] }

func put(id string, drafts ...Draft) Operation {
	return Operation{
		ID: id, Operator: "anna", Action: "apply", Request: []byte(id),
		Plan: func(*Snapshot) ([]Draft, error) { return drafts, nil },
	}
}

func account(name string, rate float64) Draft {
	return Draft{
		ID:   object.ID{Kind: object.KindClientAccount, Name: name},
		Spec: object.ClientAccountSpec{Rate: rate, Burst: 10}, AnyVersion: true,
	}
}

// withKey returns an operation that declares a client account and a key for it, and
// the key as a caller presents it.
func withKey(id, name string) (Operation, string) {
	presented, spec := key.Generate(name, "account-"+name)
	d := Draft{ID: object.ID{Kind: object.KindKey, Name: name}, Spec: spec}
	return put(id, account("account-"+name, 1), d), presented
}

// withdraw returns an operation that withdraws a key.
func withdraw(id, name string) Operation {
	op := put(id)
	op.Plan = func(base *Snapshot) ([]Draft, error) {
		o, ok := base.Object(object.ID{Kind: object.KindKey, Name: name})
		if !ok {
			return nil, errors.New("no such key")
		}
		spec, _ := o.Spec.(object.KeySpec)
		spec.Withdrawn = true
		return []Draft{{ID: o.ID(), Spec: spec, AnyVersion: true}}, nil
	}
	return op
}
