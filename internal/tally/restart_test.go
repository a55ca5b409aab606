package tally

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/history"
	"curranthold.example/curranthold/internal/quota"
)

const (
	// gossipTime bounds how long a host takes to learn of a change of another one.
	gossipTime = 500 * time.Millisecond
	// leavingTime is how long a host that leaves still serves requests.
	leavingTime = 1500 * time.Millisecond
	// downTime is how long a restarted host is gone.
	downTime = 500 * time.Millisecond
)

// restartingFleet is a fleet whose hosts can be restarted. Each host has a view of its
// own of the live hosts, which lags behind the changes of the others.
type restartingFleet struct {
	*network
	ctx    context.Context
	limit  quota.Limit
	hosts  []quota.Host
	random *rand.Rand
	// live and leaving hold what each host knows of the others, by its ID.
	live    map[string]map[string]bool
	leaving map[string]map[string]bool
	stop    map[string]context.CancelFunc
	// expected is the number of hosts that a starting host takes for the fleet's, while
	// it knows no other; 0 stands for 1.
	expected int
}

func newRestartingFleet(ctx context.Context, n int, limit quota.Limit, seed uint64) *restartingFleet {
	f := &restartingFleet{
		network: newNetwork(),
		ctx:     ctx,
		limit:   limit,
		random:  rand.New(rand.NewPCG(seed, 5)),
		live:    make(map[string]map[string]bool),
		leaving: make(map[string]map[string]bool),
		stop:    make(map[string]context.CancelFunc),
	}
	for i := range n {
		id := fmt.Sprintf("host-%d", i)
		f.hosts = append(f.hosts, quota.Host{ID: id, Zone: fmt.Sprintf("zone-%d", 3*i/n), Address: id})
	}
	for _, h := range f.hosts {
		f.start(h)
	}
	for _, h := range f.hosts {
		f.tellAll(h, true, false, 0)
	}
	time.Sleep(time.Millisecond)
	return f
}

// start starts a host that knows only itself.
func (f *restartingFleet) start(h quota.Host) {
	expected := f.expected
	m := New(Config{
		Host: h.ID, Zone: h.Zone, Incarnation: uint64(time.Now().UnixNano()), Peers: caller{network: f.network, host: h.ID},
		ExpectedHosts: func() int { return expected },
	})
	m.SetAccounts(map[string]quota.Limit{"account": withHalfOverage(f.limit)})
	f.live[h.ID] = map[string]bool{h.ID: true}
	f.leaving[h.ID] = make(map[string]bool)
	f.managers[h.ID] = m
	ctx, cancel := context.WithCancel(f.ctx)
	f.stop[h.ID] = cancel
	go func() { _ = m.Run(ctx) }()
}

// drawn returns a random number below n.
func (f *restartingFleet) drawn(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// tellAll has each host learn of the state of h within a random part of the time delay.
func (f *restartingFleet) tellAll(h quota.Host, live, leaving bool, delay time.Duration) {
	for _, other := range f.hosts {
		wait := time.Duration(f.drawn(int(delay) + 1))
		if other.ID == h.ID {
			wait = 0
		}
		time.AfterFunc(wait, func() { f.tell(other.ID, h.ID, live, leaving) })
	}
}

// tell has a host learn of the state of another one, as a node learns from its members:
// a host that leaves is no longer listed, other than at that host itself.
func (f *restartingFleet) tell(host, about string, live, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.managers[host] == nil {
		return
	}
	f.live[host][about], f.leaving[host][about] = live, leaving
	var hosts []quota.Host
	for _, h := range f.hosts {
		if f.live[host][h.ID] && (!f.leaving[host][h.ID] || h.ID == host) {
			hosts = append(hosts, h)
		}
	}
	f.managers[host].SetHosts(hosts, f.leaving[host])
}

// restart stops a host as planned and starts it again.
func (f *restartingFleet) restart(h quota.Host) {
	f.tellAll(h, true, true, gossipTime)
	time.Sleep(leavingTime)
	f.mu.Lock()
	m := f.managers[h.ID]
	delete(f.managers, h.ID)
	f.mu.Unlock()
	_ = m.Close()
	f.stop[h.ID]()
	time.Sleep(downTime)
	f.mu.Lock()
	f.start(h)
	known := make(map[string]bool)
	for _, other := range f.hosts {
		known[other.ID] = f.managers[other.ID] != nil
	}
	f.live[h.ID] = known
	f.mu.Unlock()
	f.tellAll(h, true, false, gossipTime)
}

// spendWhileRestarting sends perSecond requests a second to random hosts while the hosts
// restart in turn, one each interval. It returns the times of the allowed requests, and
// the number of requests that hosts received.
func (f *restartingFleet) spendWhileRestarting(perSecond float64, interval time.Duration) (allowed []time.Time, sent int) {
	order := slices.Clone(f.hosts)
	f.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, h := range order {
			go f.restart(h)
			time.Sleep(interval)
		}
		time.Sleep(leavingTime + downTime)
	}()
	return f.spendUntil(done, perSecond)
}

// spendFor is spendUntil for the duration d.
func (f *restartingFleet) spendFor(perSecond float64, d time.Duration) (allowed []time.Time, sent int) {
	done := make(chan struct{})
	time.AfterFunc(d, func() { close(done) })
	return f.spendUntil(done, perSecond)
}

// spendUntil sends perSecond requests a second to random hosts until done is closed, also
// while earlier ones wait for a home. It returns the times of the allowed requests, and
// the number of requests that hosts received.
func (f *restartingFleet) spendUntil(done <-chan struct{}, perSecond float64) (allowed []time.Time, sent int) {
	var mu sync.Mutex
	var spenders sync.WaitGroup
	for {
		select {
		case <-done:
			spenders.Wait()
			return allowed, sent
		default:
		}
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
		m := f.manager(f.hosts[f.drawn(len(f.hosts))].ID)
		if m == nil {
			continue
		}
		sent++
		spenders.Go(func() {
			if m.Spend(f.ctx, "account") == nil {
				mu.Lock()
				defer mu.Unlock()
				allowed = append(allowed, time.Now())
			}
		})
	}
}

// checkWindow checks that no window has more requests than the limit allows.
func checkWindow(t *testing.T, limit quota.Limit, allowed []time.Time) {
	t.Helper()
	bound := (limit.Rate*window.Seconds()+limit.Burst)*overage + slack
	t.Logf("%d requests in a window, bound %.0f", history.MaxInWindow(allowed, window), bound)
	qt.Check(t, float64(history.MaxInWindow(allowed, window)) <= bound, qt.IsTrue)
}

// TestLimitHeldWhileHostsRestartInTurn guards against homes that add tokens as they change.
func TestLimitHeldWhileHostsRestartInTurn(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				limit := quota.Limit{Rate: 81, Burst: 81}
				f := newRestartingFleet(ctx, 14, limit, seed)
				f.spendFor(300, 5*time.Second)
				allowed, _ := f.spendWhileRestarting(300, time.Second)
				checkWindow(t, limit, allowed)
				cancel()
				time.Sleep(time.Second) // Wait for reports in flight.
			})
		})
	}
}

// TestServedWithinRateWhileHostsRestartInTurn has an account stay below its rate while
// hosts restart in turn. Nearly all of its requests must be served.
func TestServedWithinRateWhileHostsRestartInTurn(t *testing.T) {
	tests := map[string]struct{ rate, demand float64 }{
		"large account":         {81, 0.8},
		"small account":         {13, 0.8},
		"small, at nine tenths": {13, 0.9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newRestartingFleet(ctx, 14, quota.Limit{Rate: test.rate, Burst: test.rate}, 1)
				f.spendFor(test.demand*test.rate, 5*time.Second)
				served, sent := 0, 0
				for range 5 {
					allowed, n := f.spendWhileRestarting(test.demand*test.rate, time.Second)
					served, sent = served+len(allowed), sent+n
				}
				t.Logf("%d of %d served", served, sent)
				qt.Check(t, float64(served) >= 0.99*float64(sent), qt.IsTrue, qt.Commentf("%d of %d served", served, sent))
				cancel()
				time.Sleep(time.Second) // Wait for reports in flight.
			})
		})
	}
}

// TestLeavingHostFillsNoBucketForItself guards against a leaving home that goes on as the home of its own requests.
func TestLeavingHostFillsNoBucketForItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		limit := quota.Limit{Rate: 100, Burst: 100}
		f := newRestartingFleet(ctx, 3, limit, 1)
		f.spendFor(400, 5*time.Second)
		home := f.homeOf("host-0")
		f.tellAll(home, true, true, 0)
		allowed, _ := f.spendFor(400, 5*time.Second)
		bound := (limit.Rate*window.Seconds()+limit.Burst)*overage + slack
		qt.Check(t, float64(len(allowed)) <= bound, qt.IsTrue, qt.Commentf("%d requests in 5 s, bound %.0f", len(allowed), bound))
		cancel()
		time.Sleep(time.Second) // Wait for reports in flight.
	})
}

// TestEndedHomeIsReplacedByOneHost guards against hosts that pass over a zone because one of its processes ended.
func TestEndedHomeIsReplacedByOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newRestartingFleet(ctx, 12, quota.Limit{Rate: 100, Burst: 100}, 1)
		f.spendFor(400, time.Second)
		home := f.homeOf("host-0")
		f.mu.Lock()
		ended := f.managers[home.ID]
		delete(f.managers, home.ID)
		f.mu.Unlock()
		f.stop[home.ID]()
		f.spendFor(400, 500*time.Millisecond)
		homes := f.homes()
		qt.Check(t, homes, qt.HasLen, 1, qt.Commentf("homes of the hosts: %v", homes))
		cancel()
		_ = ended.Close()
		time.Sleep(time.Second) // Wait for reports in flight.
	})
}

// TestHostsFollowAHomeThatKnowsBetter guards against two homes while some hosts have not heard of a change.
func TestHostsFollowAHomeThatKnowsBetter(t *testing.T) {
	tests := map[string]struct{ live, leaving bool }{
		"home returned": {live: true},
		"home leaves":   {live: true, leaving: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				limit := quota.Limit{Rate: 100, Burst: 100}
				f := newRestartingFleet(ctx, 12, limit, 1)
				first := f.homeOf("host-0")
				if !test.leaving {
					f.tellAll(first, false, false, 0)
					time.Sleep(time.Millisecond)
					f.tell(first.ID, first.ID, true, false)
				}
				other := f.homeOf(f.otherThan(first))
				f.spendFor(400, 5*time.Second)
				// Half of the hosts hear of the change, the home before among them.
				for i, h := range f.hosts {
					if i%2 == 0 || h.ID == other.ID || h.ID == first.ID {
						f.tell(h.ID, first.ID, test.live, test.leaving)
					}
				}
				allowed, _ := f.spendFor(400, 5*time.Second)
				bound := (limit.Rate*window.Seconds()+limit.Burst)*overage + slack
				t.Logf("%d requests in 5 s, bound %.0f", len(allowed), bound)
				qt.Check(t, float64(len(allowed)) <= bound, qt.IsTrue)
				homes := f.homes()
				qt.Check(t, homes, qt.HasLen, 1, qt.Commentf("homes of the hosts: %v", homes))
				cancel()
				time.Sleep(time.Second) // Wait for reports in flight.
			})
		})
	}
}

// homeOf returns the account's home in the view of a host.
func (f *restartingFleet) homeOf(host string) quota.Host {
	m := f.manager(host)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.home(partitionOf("account"), time.Now())
}

// homes counts for each host how many take it for the account's home.
func (f *restartingFleet) homes() map[string]int {
	homes := make(map[string]int)
	for _, h := range f.hosts {
		if f.manager(h.ID) != nil {
			homes[f.homeOf(h.ID).ID]++
		}
	}
	return homes
}

// otherThan returns the ID of a host other than h.
func (f *restartingFleet) otherThan(h quota.Host) string {
	if f.hosts[0].ID != h.ID {
		return f.hosts[0].ID
	}
	return f.hosts[1].ID
}

// TestHomeThatRestartsAtOnceAddsNoTokens guards against a full bucket at a home whose process was replaced unnoticed.
func TestHomeThatRestartsAtOnceAddsNoTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		limit := quota.Limit{Rate: 100, Burst: 100}
		f := newRestartingFleet(ctx, 12, limit, 1)
		f.spendFor(400, 5*time.Second)
		home := f.homeOf("host-0")
		go func() {
			for range 5 {
				f.mu.Lock()
				f.stop[home.ID]()
				f.start(home)
				for _, h := range f.hosts {
					f.live[home.ID][h.ID] = true
				}
				f.mu.Unlock()
				f.tell(home.ID, home.ID, true, false)
				time.Sleep(time.Second)
			}
		}()
		allowed, _ := f.spendFor(400, 5*time.Second)
		bound := (limit.Rate*window.Seconds()+limit.Burst)*overage + slack
		t.Logf("%d requests in 5 s, bound %.0f", len(allowed), bound)
		qt.Check(t, float64(len(allowed)) <= bound, qt.IsTrue)
		cancel()
		time.Sleep(time.Second) // Wait for reports in flight.
	})
}
