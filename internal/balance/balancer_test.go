package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

const seed = 11

// fixture is a Balancer in zone "a" with a fake clock and a fixed random seed.
type fixture struct {
	*balance.Balancer
	now time.Time
}

func newFixture(hosts ...balance.Host) *fixture {
	f := &fixture{now: time.Unix(1_000_000, 0)}
	random := rand.New(rand.NewPCG(seed, seed))
	f.Balancer = balance.New(balance.Config{
		Zone:   "a",
		Now:    func() time.Time { return f.now },
		Random: random.Uint64,
	})
	f.SetHosts(map[string][]balance.Host{"rota": hosts})
	return f
}

// counts calls Choose n times and returns how often it returned each host, by ID,
// and each error, by code.
func (f *fixture) counts(n int, r balance.Request) map[string]int {
	r.Service = "rota"
	counts := map[string]int{}
	for range n {
		host, err := f.Choose(r)
		if err != nil {
			counts[string(verdict.From(err).Code)]++
			continue
		}
		counts[host.ID]++
	}
	return counts
}

func host(id, zone string) balance.Host {
	return balance.Host{ID: id, Zone: zone, Slots: 100}
}

var (
	idle     = admission.Load{Limit: 100, Slots: 100, ShedFrom: object.UrgencyCount}
	full     = admission.Load{InFlight: 100, Queued: 50, Limit: 100, Slots: 100, ShedFrom: object.UrgencyCount}
	shedding = admission.Load{InFlight: 100, Queued: 200, Limit: 100, Slots: 100, ShedFrom: object.Normal}
	cold     = admission.Load{InFlight: 2, Limit: 2, Slots: 100, ShedFrom: object.UrgencyCount, Cold: true}
	leaving  = admission.Load{Limit: 100, Slots: 100, ShedFrom: object.UrgencyCount, Leaving: true}
)

// TestChoose checks the distribution of 100 choices in various situations.
func TestChoose(t *testing.T) {
	tests := map[string]struct {
		hosts   []balance.Host
		prepare func(*fixture)
		request balance.Request
		want    map[string]int
	}{
		"no host": {want: map[string]int{"no-host": 100}},
		"own zone first": {
			hosts: []balance.Host{host("a1", "a"), host("b1", "b")},
			want:  map[string]int{"a1": 100},
		},
		"own zone missing": {
			hosts: []balance.Host{host("b1", "b")},
			want:  map[string]int{"b1": 100},
		},
		"own zone saturated": {
			hosts:   []balance.Host{host("a1", "a"), host("b1", "b")},
			prepare: func(f *fixture) { f.Observe("a1", full, f.now) },
			want:    map[string]int{"b1": 100},
		},
		"own zone cold": {
			hosts:   []balance.Host{host("a1", "a"), host("b1", "b")},
			prepare: func(f *fixture) { f.Observe("a1", cold, f.now) },
			want:    map[string]int{"b1": 100},
		},
		"less loaded of two": {
			hosts:   []balance.Host{host("a1", "a"), host("a2", "a")},
			prepare: func(f *fixture) { f.Observe("a1", full, f.now) },
			want:    map[string]int{"a2": 100},
		},
		"own calls in flight count as load": {
			hosts:   []balance.Host{host("a1", "a"), host("a2", "a")},
			prepare: func(f *fixture) { f.Begin("a1") },
			want:    map[string]int{"a2": 100},
		},
		"excluded": {
			hosts:   []balance.Host{host("a1", "a"), host("b1", "b")},
			request: balance.Request{Exclude: []string{"a1"}},
			want:    map[string]int{"b1": 100},
		},
		"leaving according to the membership": {
			hosts: []balance.Host{{ID: "a1", Zone: "a", Slots: 100, Leaving: true}, host("a2", "a")},
			want:  map[string]int{"a2": 100},
		},
		"leaving according to a load hint": {
			hosts:   []balance.Host{host("a1", "a"), host("a2", "a")},
			prepare: func(f *fixture) { f.Observe("a1", leaving, f.now) },
			want:    map[string]int{"a2": 100},
		},
		"all hosts shed, one probe": {
			hosts:   []balance.Host{host("a1", "a")},
			prepare: func(f *fixture) { f.Observe("a1", shedding, f.now) },
			request: balance.Request{Urgency: object.Normal},
			want:    map[string]int{"a1": 1, "overloaded": 99},
		},
		"more urgent than what is shed": {
			hosts:   []balance.Host{host("a1", "a")},
			prepare: func(f *fixture) { f.Observe("a1", shedding, f.now) },
			request: balance.Request{Urgency: object.Urgent},
			want:    map[string]int{"a1": 100},
		},
		"shed in own zone only": {
			hosts: []balance.Host{host("a1", "a"), host("b1", "b")},
			prepare: func(f *fixture) {
				f.Observe("a1", shedding, f.now)
				f.Observe("b1", full, f.now)
			},
			request: balance.Request{Urgency: object.Deferrable},
			want:    map[string]int{"b1": 100},
		},
		"expired hint": {
			hosts: []balance.Host{host("a1", "a")},
			prepare: func(f *fixture) {
				f.Observe("a1", shedding, f.now)
				f.now = f.now.Add(time.Second)
			},
			request: balance.Request{Urgency: object.Deferrable},
			want:    map[string]int{"a1": 100},
		},
		"unreachable, one probe": {
			hosts: []balance.Host{host("a1", "a"), host("b1", "b")},
			prepare: func(f *fixture) {
				f.RecordUnreachable("a1", f.now)
				f.now = f.now.Add(time.Second)
			},
			want: map[string]int{"a1": 1, "b1": 99},
		},
		"reachable again": {
			hosts: []balance.Host{host("a1", "a"), host("b1", "b")},
			prepare: func(f *fixture) {
				f.RecordUnreachable("a1", f.now)
				f.Observe("a1", idle, f.now)
			},
			want: map[string]int{"a1": 100},
		},
		"many failures at once count as one": {
			hosts: []balance.Host{host("a1", "a")},
			prepare: func(f *fixture) {
				for range 50 {
					f.RecordUnreachable("a1", f.now)
				}
				f.now = f.now.Add(300 * time.Millisecond)
			},
			want: map[string]int{"a1": 1, "no-host": 99},
		},
		"state kept when hosts are replaced": {
			hosts: []balance.Host{host("a1", "a"), host("a2", "a")},
			prepare: func(f *fixture) {
				f.Begin("a1")
				f.SetHosts(map[string][]balance.Host{"rota": {host("a1", "a"), host("a2", "a")}})
			},
			want: map[string]int{"a2": 100},
		},
		"own zone out of service": {
			hosts:   []balance.Host{host("a1", "a"), host("b1", "b")},
			prepare: func(f *fixture) { f.SetZones(map[string]bool{"a": false}) },
			want:    map[string]int{"b1": 100},
		},
		"all zones out of service": {
			hosts:   []balance.Host{host("a1", "a")},
			prepare: func(f *fixture) { f.SetZones(map[string]bool{"a": false}) },
			want:    map[string]int{"zone-out-of-service": 100},
		},
		"all zones out of service, nested call": {
			hosts:   []balance.Host{host("a1", "a")},
			prepare: func(f *fixture) { f.SetZones(map[string]bool{"a": false}) },
			request: balance.Request{Nested: true},
			want:    map[string]int{"a1": 100},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(test.hosts...)
			if test.prepare != nil {
				test.prepare(f)
			}
			qt.Assert(t, f.counts(100, test.request), qt.DeepEquals, test.want)
		})
	}
}

func TestExhausted(t *testing.T) {
	f := newFixture(host("a1", "a"))
	f.Observe("a1", shedding, f.now)
	f.counts(1, balance.Request{Urgency: object.Normal})
	_, err := f.Choose(balance.Request{Service: "rota", Urgency: object.Normal})
	qt.Assert(t, verdict.From(err).Exhausted, qt.IsTrue)
	qt.Assert(t, verdict.Of(err), qt.Equals, verdict.NotRun)
}

// TestZoneRampUp checks that the traffic of a zone that returned to service rises
// linearly.
func TestZoneRampUp(t *testing.T) {
	f := newFixture(host("a1", "a"), host("b1", "b"))
	f.SetZones(map[string]bool{"a": false})
	f.SetZones(nil)
	last := 0
	for _, elapsed := range []time.Duration{0, 2500, 5000, 7500, 10_000} {
		f.now = time.Unix(1_000_000, 0).Add(elapsed * time.Millisecond)
		got := f.counts(1000, balance.Request{})["a1"]
		want := int(elapsed / 10)
		t.Logf("seed %d: after %d ms the zone gets %d of 1000 calls", seed, elapsed, got)
		qt.Assert(t, got >= want-60 && got <= want+60, qt.IsTrue)
		qt.Assert(t, got >= last, qt.IsTrue)
		last = got
	}
}

// TestDrawsBySlots checks that hosts are chosen in proportion to their slots while
// no load hints are known.
func TestDrawsBySlots(t *testing.T) {
	var hosts []balance.Host
	for i := range 10 {
		hosts = append(hosts, balance.Host{ID: fmt.Sprint(i), Zone: "a", Slots: 25 * (1 + 9*(i%2))})
	}
	f := newFixture(hosts...)
	counts := map[int]int{}
	var inFlight []string
	for range 2000 {
		h, err := f.Choose(balance.Request{Service: "rota"})
		qt.Assert(t, err, qt.IsNil)
		f.Begin(h.ID)
		inFlight = append(inFlight, h.ID)
		if len(inFlight) > 500 {
			f.End(inFlight[0])
			inFlight = inFlight[1:]
		}
		counts[h.Slots]++
	}
	ratio := float64(counts[250]) / float64(counts[25])
	t.Logf("seed %d: hosts with 250 slots get %.1f times the calls of hosts with 25", seed, ratio)
	qt.Assert(t, ratio > 8 && ratio < 12, qt.IsTrue)
}

func BenchmarkChoose(b *testing.B) {
	sizes := map[string]struct{ hosts, services int }{
		"hosts=16/services=1":     {16, 1},
		"hosts=1000/services=1":   {1000, 1},
		"hosts=8100/services=1":   {8100, 1},
		"hosts=8100/services=340": {8100, 340},
	}
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			balancer := balance.New(balance.Config{Zone: "zone-0"})
			byService := map[string][]balance.Host{}
			names := make([]string, size.services)
			for i := range size.services {
				names[i] = fmt.Sprintf("service-%d", i)
			}
			for i := range size.hosts {
				service := names[i%size.services]
				h := balance.Host{ID: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("zone-%d", i/size.services%7), Slots: 50}
				byService[service] = append(byService[service], h)
			}
			balancer.SetHosts(byService)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				h, err := balancer.Choose(balance.Request{Service: names[i%size.services], Urgency: object.Normal})
				if err != nil {
					b.Fatal(err)
				}
				balancer.Begin(h.ID)
				balancer.End(h.ID)
			}
		})
	}
}

func BenchmarkSetHosts(b *testing.B) {
	byService := map[string][]balance.Host{}
	for i := range 8100 {
		service := fmt.Sprintf("service-%d", i%340)
		h := balance.Host{ID: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("zone-%d", i/340%7), Slots: 50}
		byService[service] = append(byService[service], h)
	}
	balancer := balance.New(balance.Config{Zone: "zone-0"})
	b.ReportAllocs()
	for b.Loop() {
		balancer.SetHosts(byService)
	}
}

func ExampleBalancer() {
	b := balance.New(balance.Config{Zone: "north"})
	b.SetHosts(map[string][]balance.Host{
		"rota": {{ID: "host-1", Zone: "south", Address: "127.0.0.2:7000", Slots: 150}},
	})
	host, err := b.Choose(balance.Request{Service: "rota"})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Begin(host.ID)
	defer b.End(host.ID)
	fmt.Println(host.Address)
	// Output: 127.0.0.2:7000
}
