package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCandidateWithoutDecider guards against a candidate that keeps failing calls while no
// decider reaches it and it hasn't taken over yet.
func TestCandidateWithoutDecider(t *testing.T) {
	inFleet(t, func(t *testing.T) {
		f := newFleet(t, 1, 4, 2, 2)
		f.order(1, "v2", testOver)
		f.run(2 * time.Second)
		for _, n := range f.nodes {
			if n.host.ID == "new-0" || n.host.ID == "entry-0" {
				f.split(n, 1)
			}
		}
		f.makeBad(1)
		n := f.node("new-0")
		for range 20 {
			f.serve(n, "v2", false)
		}
		time.Sleep(2 * selfInterval)
		leaving, _ := n.manager.Refusal()
		qt.Check(t, leaving, qt.IsTrue)
	})
}

// TestOrderSeenLate guards against hosts that learn of an order later than others and so
// complete it after its deadline, whichever host knows it first.
func TestOrderSeenLate(t *testing.T) {
	for _, early := range []string{"old-0", "old-1", "old-2", "new-0", "new-1"} {
		t.Run(early, func(t *testing.T) {
			inFleet(t, func(t *testing.T) {
				f := newFleet(t, 1, 3, 2, 2)
				f.ordered = time.Now()
				orders := []Order{{Service: testService, Target: "v2", Over: testOver, ID: 1}}
				f.node(early).manager.SetOrders(orders)
				f.run(2 * time.Second)
				f.order(1, "v2", testOver)
				f.run(2 * time.Second)
				for _, n := range f.nodes {
					if status, _ := n.manager.Status(testService); n.host.Service == testService {
						qt.Check(t, status.Elapsed, qt.Equals, 4*time.Second, qt.Commentf("%s", n.host.ID))
					}
				}
				f.run(8 * time.Second)
				qt.Check(t, f.state(), qt.Equals, completed)
			})
		})
	}
}

// TestSupersededEnds guards against owners of the old version that refuse calls for good
// after a decider is lost in a promotion, or after a rollback.
func TestSupersededEnds(t *testing.T) {
	now := time.Unix(0, 0)
	m := New(Config{Host: "a", MaxShare: testShare, Now: func() time.Time { return now }})
	m.SetHosts([]Host{{ID: "a", Service: testService, Version: "v1"}, {ID: "b", Service: testService, Version: "v2"}})
	m.SetBackend(testService, "v1")
	m.SetOrders([]Order{{Service: testService, Target: "v2", Over: testOver, ID: 1}})
	poll := func(phase Phase) {
		m.handlePoll(&PollArgs{Service: testService, Order: 1, Phase: phase, Decider: "b", Base: "v1"})
	}
	superseded := func() bool {
		leaving, superseded := m.Refusal()
		qt.Check(t, leaving, qt.IsFalse)
		return superseded
	}
	qt.Check(t, superseded(), qt.IsFalse)
	poll(PhasePromoting)
	qt.Check(t, superseded(), qt.IsTrue)
	now = now.Add(silenceTime)
	qt.Check(t, superseded(), qt.IsFalse)
	poll(PhasePromoting)
	qt.Check(t, superseded(), qt.IsTrue)
	poll(PhaseCanary) // A poll that was sent earlier.
	qt.Check(t, superseded(), qt.IsTrue)
	poll(PhaseRolledBack)
	qt.Check(t, superseded(), qt.IsFalse)
}

// TestEvidenceOfRestartedOwner guards against a decider that forgets the responses from
// before an owner's restart.
func TestEvidenceOfRestartedOwner(t *testing.T) {
	evidence := func(responses int) Evidence {
		r := newRecorder(testOver)
		for range responses {
			r.record(r.since, "/a", true, time.Millisecond)
		}
		return r.snapshot()
	}
	var h hostEvidence
	for _, responses := range []int{10, 30, 5, 7, 2} {
		h.update(evidence(responses))
	}
	qt.Check(t, merge([]Evidence{h.earlier, h.current}).total().Failures, qt.Equals, uint64(30+7+2))
}
