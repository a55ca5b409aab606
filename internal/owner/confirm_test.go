package owner

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
)

var (
	errIll    = errors.New("status 503")
	errSilent = errors.New("connection refused")
)

// restartedOwner is the owner of a node that has just started beside a backend server. Its
// time is simulated.
type restartedOwner struct {
	*Owner

	mu sync.Mutex
	// health and healthErr are the result of health checks, which checks counts.
	health    Health
	healthErr error
	checks    int
}

func (r *restartedOwner) check(context.Context, string) (Health, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks++
	return r.health, r.healthErr
}

func (r *restartedOwner) setHealth(health Health, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health, r.healthErr = health, err
}

func (r *restartedOwner) checked() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checks
}

// restart runs f with an owner whose health checks have the given result.
func restart(t *testing.T, health Health, healthErr error, f func(o *restartedOwner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &restartedOwner{health: health, healthErr: healthErr}
		var err error
		r.Owner, err = New(Config{Admission: admission.New(admission.Config{}), CheckHealth: r.check})
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		f(r)
		cancel()
		<-done
		r.config.Admission.Close()
	})
}

// offered returns the incarnation that gets calls after the time, "" if none does.
func (r *restartedOwner) offered(after time.Duration) string {
	time.Sleep(after)
	synctest.Wait()
	if b := r.current(); b != nil {
		return b.announcement.Incarnation
	}
	return ""
}

const (
	// soon is less than the time between two heartbeats, and late more than
	// maxHeartbeatDelay.
	soon  = 50 * time.Millisecond
	late  = 20 * time.Second
	every = 1500 * time.Millisecond
)

// TestLateHeartbeatAfterRestart guards against calls to a backend server that has left: the
// node that was told of it restarts, and a heartbeat from before arrives. Offered is the
// incarnation that gets calls soon after the first heartbeat, and later after the others.
func TestLateHeartbeatAfterRestart(t *testing.T) {
	departing := heartbeat("a", 1, 7, false)
	tests := map[string]struct {
		health    Health
		healthErr error
		// others are how long after the first heartbeat further ones arrive.
		others         []time.Duration
		offered, later string
	}{
		"healthy":                          {Health{Incarnation: "a"}, nil, nil, "a", "a"},
		"leaving":                          {Health{Incarnation: "a", Leaving: true}, errIll, nil, "", ""},
		"leaving, says that it is healthy": {Health{Incarnation: "a", Leaving: true}, nil, nil, "", ""},
		"leaving, heartbeats go on":        {Health{Incarnation: "a", Leaving: true}, errIll, []time.Duration{every, 2 * every, 4 * every}, "", ""},
		"ill":                              {Health{Incarnation: "a"}, errIll, nil, "", ""},
		"ill, held up together":            {Health{Incarnation: "a"}, errIll, []time.Duration{soon, 2 * soon}, "", ""},
		"ill, heartbeats go on":            {Health{Incarnation: "a"}, errIll, []time.Duration{every}, "", "a"},
		"departed":                         {Health{}, errSilent, nil, "", ""},
		"departed, several late":           {Health{}, errSilent, []time.Duration{every, 2 * every}, "", ""},
		"no answer, heartbeats go on":      {Health{}, errSilent, []time.Duration{every, 2 * every, 3 * every, 4 * every}, "", "a"},
		"another instance":                 {Health{Incarnation: "b"}, nil, nil, "", ""},
		"another instance, ill":            {Health{Incarnation: "b"}, errIll, []time.Duration{every, 2 * every}, "", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			restart(t, test.health, test.healthErr, func(r *restartedOwner) {
				qt.Check(t, r.HandleHeartbeat(departing), qt.IsNil)
				qt.Check(t, r.HandleHeartbeat(departing), qt.Equals, ErrStaleHeartbeat) // It arrives twice.
				qt.Check(t, r.offered(soon/2), qt.Equals, test.offered)
				elapsed := soon / 2
				for i, at := range test.others {
					time.Sleep(at - elapsed)
					elapsed = at
					_ = r.HandleHeartbeat(heartbeat("a", 1, 8+uint64(i), false))
				}
				later := r.offered(2 * maxConfirmDelay)
				qt.Check(t, later, qt.Equals, test.later)
				time.Sleep(late)
				synctest.Wait()
				checks := r.checked()
				qt.Check(t, r.offered(late), qt.Equals, later)
				qt.Check(t, r.checked(), qt.Equals, checks) // Health checks end.
			})
		})
	}
}

// TestDepartureOfUnconfirmed guards against calls to an instance that leaves, in each way in
// which it can, while it is not confirmed, and after that.
func TestDepartureOfUnconfirmed(t *testing.T) {
	tests := map[string]func(r *restartedOwner){
		"draining":            func(r *restartedOwner) { _ = r.HandleHeartbeat(heartbeat("a", 1, 8, true)) },
		"departed":            func(r *restartedOwner) { r.MarkDeparted("a", 1) },
		"departed, no start":  func(r *restartedOwner) { r.MarkDeparted("a", 0) },
		"said by the check":   func(r *restartedOwner) { r.setHealth(Health{Incarnation: "a", Leaving: true}, nil); time.Sleep(late) },
		"draining after that": func(r *restartedOwner) { time.Sleep(late); _ = r.HandleHeartbeat(heartbeat("a", 1, 9, true)) },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			restart(t, Health{}, errSilent, func(r *restartedOwner) {
				qt.Check(t, r.HandleHeartbeat(heartbeat("a", 1, 7, false)), qt.IsNil)
				leave(r)
				r.setHealth(Health{Incarnation: "a"}, nil)
				qt.Check(t, r.offered(late), qt.Equals, "")
				qt.Check(t, r.HandleHeartbeat(heartbeat("a", 1, 8, false)), qt.Equals, ErrStaleHeartbeat)
				qt.Check(t, r.offered(late), qt.Equals, "")
			})
		})
	}
}

// TestProvisionalThenLate guards against a late heartbeat of a backend server that a health
// check has announced after the restart, and that has said in a response that it leaves.
func TestProvisionalThenLate(t *testing.T) {
	restart(t, Health{Incarnation: "a"}, nil, func(r *restartedOwner) {
		qt.Assert(t, r.AnnounceProvisionally(heartbeat("a", 0, 0, false)), qt.IsTrue)
		r.observeNotice(r.current(), Notice{Leaving: true})
		qt.Check(t, r.HandleHeartbeat(heartbeat("a", 1, 7, false)), qt.Equals, ErrStaleHeartbeat)
		qt.Check(t, r.offered(late), qt.Equals, "")
	})
}

// TestConfirmedOnce guards against health checks of an instance that is known: one that a
// health check has announced, or that restarts under its name while it is in use. It may be
// cold then, and gets no calls as if it were warm until a check ends.
func TestConfirmedOnce(t *testing.T) {
	restart(t, Health{Incarnation: "a"}, nil, func(r *restartedOwner) {
		qt.Assert(t, r.AnnounceProvisionally(heartbeat("a", 0, 0, false)), qt.IsTrue)
		qt.Check(t, r.HandleHeartbeat(heartbeat("a", 1, 1, false)), qt.IsNil)
		qt.Check(t, r.current().startMs, qt.Equals, int64(1))
		cold := heartbeat("a", 2, 1, false)
		cold.Announcement.Cold = true
		qt.Check(t, r.HandleHeartbeat(cold), qt.IsNil)
		qt.Check(t, r.current().announcement.Cold, qt.IsTrue)
		for sequence := range uint64(5) {
			_ = r.HandleHeartbeat(heartbeat("a", 2, 2+sequence, false))
		}
		qt.Check(t, r.offered(late), qt.Equals, "a")
		qt.Check(t, r.checked(), qt.Equals, 0)
		r.setHealth(Health{Incarnation: "b"}, nil)
		qt.Check(t, r.HandleHeartbeat(heartbeat("b", 3, 1, false)), qt.IsNil)
		qt.Check(t, r.offered(soon), qt.Equals, "b")
		qt.Check(t, r.checked(), qt.Equals, 1)
	})
}

// TestLateDrainingOfEarlier guards against a late heartbeat of an earlier instance, which was
// leaving, that withdraws the one announced provisionally after a restart.
func TestLateDrainingOfEarlier(t *testing.T) {
	restart(t, Health{Incarnation: "b"}, nil, func(r *restartedOwner) {
		qt.Assert(t, r.AnnounceProvisionally(heartbeat("b", 0, 0, false)), qt.IsTrue)
		qt.Check(t, r.HandleHeartbeat(heartbeat("a", 1, 7, true)), qt.IsNil)
		qt.Check(t, r.offered(soon), qt.Equals, "b")
	})
}

// TestColdWhenConfirmed guards against too many calls to a backend server that has become
// cold since the heartbeat was sent.
func TestColdWhenConfirmed(t *testing.T) {
	restart(t, Health{Incarnation: "a", ColdFor: time.Minute}, nil, func(r *restartedOwner) {
		qt.Check(t, r.HandleHeartbeat(heartbeat("a", 1, 7, false)), qt.IsNil)
		qt.Check(t, r.offered(soon), qt.Equals, "a")
		qt.Check(t, r.current().announcement.Cold, qt.IsTrue)
	})
}

// TestClockSetBack guards against an instance whose heartbeats are stale for good since its
// clock was set back, and against a late heartbeat of an earlier one in its place.
func TestClockSetBack(t *testing.T) {
	for name, test := range map[string]struct {
		health    Health
		healthErr error
		offered   string
	}{
		"lives":             {Health{Incarnation: "b"}, nil, "b"},
		"ill":               {Health{Incarnation: "b"}, errIll, ""},
		"a late heartbeat":  {Health{}, errSilent, ""},
		"leaving":           {Health{Incarnation: "b", Leaving: true}, nil, ""},
		"another one lives": {Health{Incarnation: "c"}, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			restart(t, Health{Incarnation: "a"}, nil, func(r *restartedOwner) {
				_ = r.HandleHeartbeat(heartbeat("a", 100, 7, false))
				qt.Check(t, r.offered(soon), qt.Equals, "a")
				r.setHealth(test.health, test.healthErr)
				qt.Check(t, r.HandleHeartbeat(heartbeat("b", 50, 1, false)), qt.Equals, ErrStaleHeartbeat)
				r.MarkDeparted("a", 100)
				for sequence := range uint64(6) {
					_ = r.HandleHeartbeat(heartbeat("b", 50, 2+sequence, false))
					time.Sleep(every)
				}
				qt.Check(t, r.offered(0), qt.Equals, test.offered)
				qt.Check(t, r.HandleHeartbeat(heartbeat("a", 100, 9, false)), qt.Equals, ErrStaleHeartbeat)
			})
		})
	}
}
