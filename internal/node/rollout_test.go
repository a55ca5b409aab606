package node

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/membership"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/rollout"
	"curranthold.example/curranthold/internal/standin"
)

// failingTable is a table of which every operation fails.
type failingTable struct{ platform.Table }

func (failingTable) Get(context.Context, ...string) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (failingTable) Commit(context.Context, platform.Transaction) error {
	return platform.ErrOutcomeUnknown
}

// TestRolloutRecords guards against two hosts that both end a rollout, and against a record
// that is lost or read wrong.
func TestRolloutRecords(t *testing.T) {
	ctx := t.Context()
	records := &rolloutRecords{table: standin.NewTable()}
	_, _, ok, err := records.Load(ctx, "peals")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, ok, qt.IsFalse)
	want := rollout.Record{
		Service: "peals", Target: "v2", Base: "v1", Order: 7, Over: 12 * time.Second, Phase: rollout.PhaseCanary, Started: time.Unix(5, 0).UTC(),
	}
	qt.Assert(t, records.Save(ctx, want, 0), qt.IsNil)
	qt.Check(t, records.Save(ctx, want, 0), qt.ErrorIs, rollout.ErrConflict)
	got, version, ok, err := records.Load(ctx, "peals")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, got, qt.Equals, want)
	want.Phase, want.Reason = rollout.PhaseCompleted, rollout.ReasonPassed
	qt.Assert(t, records.Save(ctx, want, version), qt.IsNil)
	qt.Check(t, records.Save(ctx, want, version), qt.ErrorIs, rollout.ErrConflict)
	_, _, ok, err = records.Load(ctx, "other")
	qt.Check(t, ok || err != nil, qt.IsFalse)

	_, known, err := records.published(ctx, "peals")
	qt.Check(t, known || err != nil, qt.IsFalse)
	qt.Assert(t, records.Publish(ctx, "peals", "v2", rollout.StateRolledBack), qt.IsNil)
	status, known, err := records.published(ctx, "peals")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, status.State, qt.Equals, "rolled-back")
	qt.Check(t, status.Target, qt.Equals, "v2")
}

// TestRolloutRecordsUnavailable guards against a failure of the store that is taken for a
// missing record or for a conflict.
func TestRolloutRecordsUnavailable(t *testing.T) {
	records := &rolloutRecords{table: failingTable{}}
	_, _, ok, err := records.Load(t.Context(), "peals")
	qt.Check(t, ok, qt.IsFalse)
	qt.Check(t, err, qt.ErrorIs, platform.ErrUnavailable)
	err = records.Save(t.Context(), rollout.Record{Service: "peals"}, 0)
	qt.Check(t, err, qt.ErrorIs, platform.ErrOutcomeUnknown)
	qt.Check(t, errors.Is(err, rollout.ErrConflict), qt.IsFalse)
}

// TestVersionGate guards against a backend server that runs calls of its service before the
// node can know whether its version is in force.
func TestVersionGate(t *testing.T) {
	var disabled *versionGate
	qt.Check(t, disabled.IsCandidate(), qt.IsFalse)
	gate := &versionGate{Manager: rollout.New(rollout.Config{Host: "own", MaxShare: 0.1})}
	qt.Check(t, gate.IsCandidate(), qt.IsFalse)
	gate.versioned.Store(true)
	qt.Check(t, gate.IsCandidate(), qt.IsTrue)
	gate.settled.Store(true)
	qt.Check(t, gate.IsCandidate(), qt.IsFalse)
	gate.SetHosts([]rollout.Host{{ID: "other", Service: "peals", Version: "v1", Slots: 4}, {ID: "own", Service: "peals", Version: "v2", Slots: 4, Cold: true}})
	gate.SetBackend("peals", "v2")
	qt.Check(t, gate.IsCandidate(), qt.IsTrue)
}

// TestVersionsChangeBackends guards against changes of versions that the balancer is not told.
func TestVersionsChangeBackends(t *testing.T) {
	var s memberSnapshot
	m := membership.Member{ID: "own", Zone: "a", Service: "peals", Slots: 4, BackendVersion: "v1"}
	s.update([]membership.Member{m})
	m.BackendVersion = "v2"
	qt.Check(t, s.update([]membership.Member{m}), qt.Equals, memberDiff{backends: true})
	m.Candidate = true
	qt.Check(t, s.update([]membership.Member{m}), qt.Equals, memberDiff{backends: true})
	qt.Check(t, s.update([]membership.Member{m}), qt.Equals, memberDiff{})
}

// TestNoVersionsWithoutRollouts guards against messages that change where no settings enable rollouts.
func TestNoVersionsWithoutRollouts(t *testing.T) {
	n, _ := newIdleNode(t)
	n.wg.Go(func() { n.members.Run(context.Background()) })
	n.announceBackend(owner.Announcement{Service: "peals", Version: "v2", Slots: 4})
	for end := time.Now().Add(5 * time.Second); n.members.Members()[0].Service == "" && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	own := n.members.Members()[0]
	qt.Check(t, own.Service, qt.Equals, "peals")
	qt.Check(t, own.BackendVersion, qt.Equals, "")
	qt.Check(t, own.Candidate, qt.IsFalse)
}
