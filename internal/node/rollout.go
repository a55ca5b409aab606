package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/membership"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/rollout"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

const (
	// rolloutRecordPrefix and rolloutStatePrefix precede the name of the service in the
	// keys of the rows that hold the record and, without an adapter, the published state
	// of its last rollout.
	rolloutRecordPrefix = "rollout/"
	rolloutStatePrefix  = "rollout-state/"
	// candidateInterval is the time between two checks whether the version of the backend
	// server on this host is in force.
	candidateInterval = 200 * time.Millisecond
	// settleTime is how long, at most, a node that has started waits until it knows the
	// backend servers of most hosts before its own counts as one of the version in force.
	// Heartbeats come at intervals of up to 1.5 s.
	settleTime = 3 * time.Second
	// withdrawalDelay is how long a superseded backend server that has stopped is still
	// announced. It is longer than the membership takes to spread that the version that
	// replaced it is in force: an entry that has not learned that yet would otherwise know
	// no host to call.
	withdrawalDelay = 3 * time.Second
	// settledFraction is the fraction of the hosts in the directory that are enough. The
	// directory may list some that have ended.
	settledFraction = 0.9
)

// versionGate is what the owner asks about the version of the backend server. Until the
// node knows most hosts, it can't tell which version is in force, and takes the backend
// server's for one that is not: otherwise a new version could run calls without an order.
type versionGate struct {
	*rollout.Manager
	settled atomic.Bool
	// versioned is set if the backend server states a version.
	versioned atomic.Bool
}

// IsCandidate implements owner.Rollout.
func (g *versionGate) IsCandidate() bool {
	return g != nil && (g.Manager.IsCandidate() || (g.versioned.Load() && !g.settled.Load()))
}

// buildRollout builds the manager of rollouts. It stays nil if the settings disable them.
func (n *Node) buildRollout() {
	limits := n.settings.Limits
	if limits.CanaryPercent == 0 {
		return
	}
	n.records = &rolloutRecords{table: n.table, publish: n.adapter.PublishRollout}
	n.rollout = rollout.New(rollout.Config{
		Host: n.settings.Host, Peers: n.pool, Records: n.records,
		MaxShare: n.canaryShare(), Slack: limits.CanarySlack, RollbackTime: n.settings.RollbackTime(),
		Running: func() int { return n.admission.Load().InFlight },
	})
	n.versions = &versionGate{Manager: n.rollout}
}

// canaryShare returns the bound on a bad version's share of the requests.
func (n *Node) canaryShare() float64 { return float64(n.settings.Limits.CanaryPercent) / 100 }

// withdrawal is the withdrawal of a superseded backend server that has stopped.
type withdrawal struct {
	mu sync.Mutex
	// due is when the withdrawal is announced, zero if there is none to announce.
	due time.Time
}

// announceBackend announces the backend server on this host to the other nodes, the zero
// Announcement that there is none.
func (n *Node) announceBackend(a owner.Announcement) {
	n.withdrawal.mu.Lock()
	defer n.withdrawal.mu.Unlock()
	if _, superseded := n.rollout.Refusal(); superseded && a.Service == "" {
		n.withdrawal.due = time.Now().Add(withdrawalDelay)
		return
	}
	n.setBackend(a)
}

// announceWithdrawal announces a withdrawal that is due.
func (n *Node) announceWithdrawal(now time.Time) {
	n.withdrawal.mu.Lock()
	defer n.withdrawal.mu.Unlock()
	if !n.withdrawal.due.IsZero() && !now.Before(n.withdrawal.due) {
		n.setBackend(owner.Announcement{})
	}
}

// setBackend tells the other nodes and the manager of rollouts of the backend server. The
// withdrawal's mutex must be held.
func (n *Node) setBackend(a owner.Announcement) {
	n.withdrawal.due = time.Time{}
	announced := membership.Backend{Service: a.Service, Slots: a.Slots, Cold: a.Cold}
	if n.rollout != nil {
		n.versions.versioned.Store(a.Version != "")
		n.rollout.SetBackend(a.Service, a.Version)
		announced.Version, announced.Candidate = a.Version, n.versions.IsCandidate()
	}
	n.members.Announce(announced)
}

// announceCandidate keeps what the other nodes are told up to date: whether the version of
// the backend server on this host is in force. The decision can change at any time.
func (n *Node) announceCandidate(ctx context.Context) {
	ticker := time.NewTicker(candidateInterval)
	defer ticker.Stop()
	started := time.Now()
	for {
		if !n.versions.settled.Load() && (n.knowsMostBackends() || time.Since(started) >= settleTime) {
			n.versions.settled.Store(true)
		}
		n.announceWithdrawal(time.Now())
		n.members.SetCandidate(n.versions.IsCandidate())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// knowsMostBackends reports whether most of the hosts in the directory are known to have a
// backend server.
func (n *Node) knowsMostBackends() bool {
	known := 0
	for _, m := range n.members.Members() {
		if m.Service != "" {
			known++
		}
	}
	return float64(known) >= settledFraction*float64(n.members.ExpectedHosts())
}

// applyOrders passes the orders of rollouts to the manager.
func (n *Node) applyOrders(s *configuration.Snapshot) {
	if n.rollout == nil {
		return
	}
	var orders []rollout.Order
	for _, o := range s.Rollouts() {
		spec, ok := o.Spec.(object.RolloutSpec)
		if !ok {
			continue
		}
		orders = append(orders, rollout.Order{
			Service: o.Name, Target: spec.Target, Over: time.Duration(spec.OverMs) * time.Millisecond, ID: o.ResourceVersion,
		})
	}
	n.rollout.SetOrders(orders)
}

// applyVersions passes the hosts that have a backend server to the manager. Hosts that are
// leaving take no part in decisions.
func (n *Node) applyVersions(members []membership.Member) {
	if n.rollout == nil {
		return
	}
	var hosts []rollout.Host
	for _, m := range members {
		if m.Service == "" || m.Leaving {
			continue
		}
		hosts = append(hosts, rollout.Host{
			ID: m.ID, Zone: m.Zone, Address: m.Address, Service: m.Service,
			Version: m.BackendVersion, Slots: m.Slots, Cold: m.Cold,
		})
	}
	n.rollout.SetHosts(hosts)
}

// assumedVersion returns the version that the backend server on this host has if all of
// its service have the same; ok is false if they differ, or if another one is ordered, so
// that only the backend server itself can tell.
func (n *Node) assumedVersion(service string) (version string, ok bool) {
	if n.rollout == nil {
		return "", true
	}
	known := false
	for _, m := range n.members.Members() {
		if m.Service != service {
			continue
		}
		if known && m.BackendVersion != version {
			return "", false
		}
		version, known = m.BackendVersion, true
	}
	o, ordered := n.configuration.Snapshot().Object(object.ID{Kind: object.KindRollout, Name: service})
	spec, _ := o.Spec.(object.RolloutSpec)
	return version, !ordered || spec.Target == version
}

// RolloutStatus implements resource.Rollouts. Unless this host knows how the rollout ended,
// the state is that of the record in the table: hosts of other services aren't told.
func (n *Node) RolloutStatus(ctx context.Context, service string) (client.Rollout, bool, error) {
	local, known := n.rollout.Status(service)
	record, _, stored, err := n.records.Load(ctx, service)
	if err != nil && !known {
		return client.Rollout{}, false, err
	}
	o, ordered := n.configuration.Snapshot().Object(object.ID{Kind: object.KindRollout, Name: service})
	if ordered && record.Order != o.ResourceVersion {
		stored = false // It is the record of an earlier order.
	}
	status := client.Rollout{Service: service}
	if known {
		status.Target, status.State = local.Target, string(local.State)
		status.Phase, status.Reason = string(local.Phase), string(local.Reason)
		status.ElapsedMs = local.Elapsed.Milliseconds()
		status.Old, status.New = versionTotals(local.Old), versionTotals(local.New)
	}
	ended := stored && stateOf(record.Phase) != rollout.StateRunning
	if stored && !known || ended && local.State == rollout.StateRunning {
		status.Target, status.Phase = record.Target, string(record.Phase)
		status.State, status.Reason = string(stateOf(record.Phase)), string(record.Reason)
	}
	if known || stored || ordered {
		return status, known || stored, nil
	}
	return n.records.published(ctx, service)
}

// stateOf returns the state of a rollout in the phase.
func stateOf(phase rollout.Phase) rollout.State {
	switch phase {
	case rollout.PhaseCompleted:
		return rollout.StateCompleted
	case rollout.PhaseRolledBack:
		return rollout.StateRolledBack
	default:
		return rollout.StateRunning
	}
}

// versionTotals returns nil for empty totals, which this host doesn't know.
func versionTotals(t rollout.Totals) *client.VersionTotals {
	if t == (rollout.Totals{}) {
		return nil
	}
	return &client.VersionTotals{
		Hosts: t.Hosts, Responses: t.Responses, Failures: t.Failures, MedianMs: t.MedianMs, P95Ms: t.P95Ms,
	}
}

// rolloutRecords implements rollout.Records with a row of the table for each service.
type rolloutRecords struct {
	table platform.Table
	// publish replaces Publish if it is not nil.
	publish func(ctx context.Context, service, target string, state rollout.State) error
}

// rolloutStateRow is the value of the row that Publish writes without an adapter.
type rolloutStateRow struct {
	Target string        `json:"target"`
	State  rollout.State `json:"state"`
}

// Load implements rollout.Records.
func (r *rolloutRecords) Load(ctx context.Context, service string) (record rollout.Record, version uint64, ok bool, err error) {
	row, err := r.get(ctx, rolloutRecordPrefix+service)
	if err != nil || row.Version == 0 {
		return record, 0, false, err
	}
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return rollout.Record{}, 0, false, fmt.Errorf("node: row %s: %w", row.Key, err)
	}
	return record, row.Version, true, nil
}

func (r *rolloutRecords) get(ctx context.Context, key string) (platform.Row, error) {
	rows, err := r.table.Get(ctx, key)
	if err != nil {
		return platform.Row{}, err
	}
	if len(rows) != 1 {
		return platform.Row{}, fmt.Errorf("%w: %d rows for one key", platform.ErrUnavailable, len(rows))
	}
	return rows[0], nil
}

// Save implements rollout.Records.
func (r *rolloutRecords) Save(ctx context.Context, record rollout.Record, version uint64) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	key := rolloutRecordPrefix + record.Service
	err = r.table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return fmt.Errorf("%w: %w", rollout.ErrConflict, err)
	}
	return err
}

// Publish implements rollout.Records.
func (r *rolloutRecords) Publish(ctx context.Context, service, target string, state rollout.State) error {
	if r.publish != nil {
		return r.publish(ctx, service, target, state)
	}
	value, err := json.Marshal(rolloutStateRow{Target: target, State: state})
	if err != nil {
		return err
	}
	return r.table.Commit(ctx, platform.Transaction{Writes: []platform.Write{{Key: rolloutStatePrefix + service, Value: value}}})
}

// published returns the state that Publish wrote without an adapter.
func (r *rolloutRecords) published(ctx context.Context, service string) (client.Rollout, bool, error) {
	row, err := r.get(ctx, rolloutStatePrefix+service)
	if err != nil || row.Version == 0 {
		return client.Rollout{}, false, err
	}
	var state rolloutStateRow
	if err := json.Unmarshal(row.Value, &state); err != nil {
		return client.Rollout{}, false, fmt.Errorf("node: row %s: %w", row.Key, err)
	}
	return client.Rollout{
		Service: service, Target: state.Target, State: cmp.Or(string(state.State), string(rollout.StateRunning)),
	}, true, nil
}
