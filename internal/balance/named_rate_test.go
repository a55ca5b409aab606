package balance_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/history"
	"curranthold.example/curranthold/pkg/object"
)

// namedRateFleet is a service of four hosts. From namedFrom on, its first limited hosts
// take twice as long for a request and name a rate in each response.
type namedRateFleet struct {
	balancer    *balance.Balancer
	controllers map[string]*admission.Controller
	limited     map[string]bool
	start       time.Time

	mu      sync.Mutex
	started map[string][]time.Time
	served  int
}

const (
	namedFrom      = 2 * time.Second
	namedRate      = 11.0
	limitedService = 220 * time.Millisecond
)

func newNamedRateFleet(t *testing.T, limited int) *namedRateFleet {
	f := &namedRateFleet{
		balancer:    balance.New(balance.Config{Zone: "a"}),
		controllers: make(map[string]*admission.Controller),
		limited:     make(map[string]bool),
		start:       time.Now(),
		started:     make(map[string][]time.Time),
	}
	var hosts []balance.Host
	for i := range 4 {
		id := fmt.Sprintf("host-%d", i)
		hosts = append(hosts, balance.Host{ID: id, Zone: string("abcd"[i]), Address: id, Slots: 54})
		c := admission.New(admission.Config{})
		t.Cleanup(c.Close)
		c.Announce(admission.Announcement{Slots: 54, Incarnation: id, ColdRate: 9.1})
		f.controllers[id] = c
		f.limited[id] = i < limited
	}
	f.balancer.SetHosts(map[string][]balance.Host{"archive": hosts})
	return f
}

// request sends one request, to another host after each refusal, up to four in all.
func (f *namedRateFleet) request(ctx context.Context) {
	var excluded []string
	for range 4 {
		host, err := f.balancer.Choose(balance.Request{Service: "archive", Exclude: excluded})
		if err != nil {
			return
		}
		if f.attempt(ctx, host.ID) {
			return
		}
		excluded = append(excluded, host.ID)
	}
}

// attempt runs the request on one host and reports whether it was served.
func (f *namedRateFleet) attempt(ctx context.Context, host string) bool {
	c := f.controllers[host]
	f.balancer.Begin(host)
	defer f.balancer.End(host)
	defer func() { f.balancer.Observe(host, c.Load(), time.Now()) }()
	permit, err := c.Acquire(ctx, admission.Request{Urgency: object.Normal, MaxWait: 150 * time.Millisecond})
	if err != nil {
		return false
	}
	f.mu.Lock()
	f.started[host] = append(f.started[host], time.Now())
	f.mu.Unlock()
	named := f.limited[host] && time.Since(f.start) >= namedFrom
	took := limitedService
	if named {
		took *= 2
	}
	time.Sleep(took)
	c.ObserveNamedRate(namedRate, named)
	permit.Done(admission.Succeeded)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served++
	return true
}

// TestNamedRate sends 100 requests a second to four hosts of which some name a rate. No
// host may get more than one and a half times the rate that it names, and as many
// requests must be served as the hosts take together.
func TestNamedRate(t *testing.T) {
	const perSecond, duration = 100, 20 * time.Second
	tests := map[string]struct {
		limited int
		served  float64
	}{
		"none":          {limited: 0, served: 1},
		"three of four": {limited: 3, served: 0.99},
		"all":           {limited: 4, served: 0.9 * (4*namedRate/perSecond*0.9 + 0.1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newNamedRateFleet(t, test.limited)
				var requests sync.WaitGroup
				sent := 0
				for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second / perSecond) {
					sent++
					requests.Go(func() { f.request(t.Context()) })
				}
				requests.Wait()
				share := float64(f.served) / float64(sent)
				t.Logf("%.3f of %d served", share, sent)
				qt.Check(t, share >= test.served, qt.IsTrue, qt.Commentf("%.3f of %d served, want %.3f", share, sent, test.served))
				for host, limited := range f.limited {
					started := f.started[host]
					for len(started) > 0 && started[0].Sub(f.start) < namedFrom+time.Second {
						started = started[1:]
					}
					const most = 1.5*namedRate*4 + 5
					got := history.MaxInWindow(started, 4*time.Second)
					t.Logf("%s: %d in 4 s", host, got)
					qt.Check(t, !limited || float64(got) <= most, qt.IsTrue, qt.Commentf("%s: %d in 4 s, at most %.0f", host, got, most))
				}
			})
		})
	}
}
