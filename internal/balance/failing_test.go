package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/pkg/object"
)

// simulation is a simulated load on the hosts of one service. One of the hosts fails
// half of its requests immediately and so appears to be the least loaded.
type simulation struct {
	fixture *fixture
	// busyUntil holds the end times of the requests on each host.
	busyUntil map[string][]time.Time
	// failed counts the requests that were not served, total counts all requests.
	failed, total int
}

const (
	serviceTime  = 60 * time.Millisecond
	slotsPerHost = 20
)

// sendRequest sends one request and passes the load hint of the chosen host to the
// Balancer.
func (l *simulation) sendRequest(failing string, random *rand.Rand) {
	now := l.fixture.now
	chosen, err := l.fixture.Choose(balance.Request{Service: "rota"})
	l.total++
	if err != nil {
		l.failed++
		return
	}
	var unfinished []time.Time
	for _, end := range l.busyUntil[chosen.ID] {
		if end.After(now) {
			unfinished = append(unfinished, end)
		}
	}
	hint := admission.Load{Limit: slotsPerHost, Slots: slotsPerHost, ShedFrom: object.UrgencyCount}
	if chosen.ID == failing {
		hint.FailingPercent = 50
	}
	if chosen.ID == failing && random.IntN(2) == 0 {
		l.failed++
	} else {
		unfinished = append(unfinished, now.Add(serviceTime))
	}
	l.busyUntil[chosen.ID] = unfinished
	hint.InFlight = len(unfinished)
	l.fixture.Observe(chosen.ID, hint, now)
}

// TestFailingHost simulates loads on four hosts of which one fails half of its
// requests. While the others have spare capacity, few requests may fail; when they
// have none, the failing host must be used as well.
func TestFailingHost(t *testing.T) {
	tests := map[string]struct {
		// perSecond is the load. Four hosts can serve 1,333 requests a second.
		perSecond int
		// maxFailed is the largest allowed fraction of failed requests.
		maxFailed float64
		// minFailing is the smallest allowed fraction of requests that are sent to
		// the failing host.
		minFailing float64
	}{
		"other hosts have spare capacity":    {perSecond: 700, maxFailed: 0.02, minFailing: 0},
		"other hosts have no spare capacity": {perSecond: 1300, maxFailed: 0.125, minFailing: 0.05},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var hosts []balance.Host
			for _, id := range []string{"a1", "a2", "a3", "a4"} {
				hosts = append(hosts, balance.Host{ID: id, Zone: "a", Slots: slotsPerHost})
			}
			l := &simulation{fixture: newFixture(hosts...), busyUntil: make(map[string][]time.Time)}
			random := rand.New(rand.NewPCG(seed, seed))
			for range 10 * test.perSecond {
				l.fixture.now = l.fixture.now.Add(time.Second / time.Duration(test.perSecond))
				l.sendRequest("a2", random)
			}
			share := float64(l.failed) / float64(l.total)
			t.Logf("%.3f of the requests failed", share)
			qt.Check(t, share <= test.maxFailed, qt.IsTrue, qt.Commentf("%.3f", share))
			qt.Check(t, 2*share >= test.minFailing, qt.IsTrue, qt.Commentf("%.3f", share))
		})
	}
}

// TestFailingZone has the only host of the own zone fail half of its requests.
// Requests must go to the other zone, some must try the host again once its load hint
// has expired, and all must return when it no longer fails.
func TestFailingZone(t *testing.T) {
	f := newFixture(host("a1", "a"), host("b1", "b"))
	bad := idle
	bad.FailingPercent = 50
	f.Observe("a1", bad, f.now)
	f.Observe("b1", idle, f.now)
	qt.Check(t, f.counts(100, balance.Request{})["b1"], qt.Equals, 100)
	f.now = f.now.Add(2 * time.Second)
	qt.Check(t, f.counts(100, balance.Request{})["a1"] > 0, qt.IsTrue)
	f.Observe("a1", idle, f.now)
	qt.Check(t, f.counts(100, balance.Request{})["a1"], qt.Equals, 100)
}
