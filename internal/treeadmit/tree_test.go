package treeadmit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/treeadmit"
	"curranthold.example/curranthold/pkg/object"
)

// services describes the services of the fleet. A request holds a slot for work and then
// makes its nested calls at once. A request on the route "trees" makes 8 calls to bottom,
// which can serve 6 * 4 / 20 ms = 1200 of them a second: 150 call trees.
var services = map[string]struct {
	hosts, slots int
	work         time.Duration
	nested       []string
}{
	"top":    {4, 200, 2 * time.Millisecond, []string{"mid", "mid"}},
	"mid":    {4, 200, 2 * time.Millisecond, []string{"low"}},
	"low":    {4, 200, 2 * time.Millisecond, []string{"bottom", "bottom", "bottom", "bottom"}},
	"bottom": {6, 4, 20 * time.Millisecond, nil},
	"side":   {2, 40, 10 * time.Millisecond, []string{"mid2"}},
	"mid2":   {2, 40, 10 * time.Millisecond, nil},
}

// routes maps routes to the services of their root requests.
var routes = map[string]string{"trees": "top", "others": "side"}

const (
	treeCapacity = 150 // call trees a second
	timeout      = time.Second
)

// node is an entry, and the owner beside a backend server.
type node struct {
	fleet      *fleet
	balancer   *balance.Balancer
	controller *admission.Controller
	beneath    treeadmit.Beneath
	roots      treeadmit.Roots
	throttle   balance.Throttle
	service    string
	refuses    atomic.Bool
}

type fleet struct {
	tree  bool // the tree's admission instead of the throttle
	nodes map[string]*node
	// nested and nestedRefused count the nested calls and those that were refused.
	nested, nestedRefused atomic.Int64
}

func newFleet(tree bool, entries int) (f *fleet, roots []*node) {
	f = &fleet{tree: tree, nodes: make(map[string]*node)}
	hosts := make(map[string][]balance.Host)
	for name, s := range services {
		for i := range s.hosts {
			id := fmt.Sprint(name, i)
			n := &node{fleet: f, service: name, controller: admission.New(admission.Config{})}
			n.controller.Announce(admission.Announcement{Slots: s.slots, Incarnation: id, Warm: true, Levelled: tree})
			f.nodes[id] = n
			hosts[name] = append(hosts[name], balance.Host{ID: id, Slots: s.slots})
		}
	}
	for i := range entries {
		f.nodes[fmt.Sprint("entry", i)] = &node{fleet: f}
		roots = append(roots, f.nodes[fmt.Sprint("entry", i)])
	}
	for _, n := range f.nodes {
		n.throttle.Multiplier = 1.1
		n.balancer = balance.New(balance.Config{})
		n.balancer.SetHosts(hosts)
	}
	return f, roots
}

// answer is the answer to a call.
type answer struct {
	served, refused, refusedBeneath bool
	// early is set if no host was asked.
	early         bool
	load          admission.Load
	closedBeneath float64
}

// call sends a call to up to three hosts.
func (n *node) call(ctx context.Context, route, service string, r admission.Request) (a answer) {
	var excluded []string
	for range 3 {
		host, err := n.balancer.Choose(balance.Request{Service: service, Urgency: r.Urgency, Nested: r.Depth > 0, Exclude: excluded})
		if err != nil {
			a.refused, a.early = true, a.load == admission.Load{}
			return a
		}
		n.balancer.Begin(host.ID)
		a = n.fleet.nodes[host.ID].serve(ctx, route, r)
		n.balancer.End(host.ID)
		n.balancer.Observe(host.ID, a.load, time.Now())
		if !a.refused {
			return a
		}
		excluded = append(excluded, host.ID)
		r.DemandCounted = r.DemandCounted || !n.fleet.nodes[host.ID].refuses.Load()
	}
	return a
}

func (n *node) serve(ctx context.Context, route string, r admission.Request) (a answer) {
	permit, err := n.controller.Acquire(ctx, r)
	outcome := admission.Refused
	if err == nil && !n.refuses.Load() {
		time.Sleep(services[n.service].work)
		permit.BeginNested()
		a.served = n.callNested(ctx, route, r)
		permit.EndNested()
		a.refusedBeneath = !a.served
		outcome = admission.Succeeded
		if !a.served {
			outcome = admission.FailedNested
		}
	}
	if err == nil {
		permit.Done(outcome)
	}
	a.refused = outcome == admission.Refused
	a.load, a.closedBeneath = n.controller.Load(), n.beneath.Closed(route, time.Now())
	return a
}

// callNested makes the nested calls and reports whether all were served.
func (n *node) callNested(ctx context.Context, route string, r admission.Request) bool {
	var group sync.WaitGroup
	var failed atomic.Bool
	r.Depth++
	r.DemandCounted = false
	for _, service := range services[n.service].nested {
		group.Go(func() {
			a := n.call(ctx, route, service, r)
			n.fleet.nested.Add(1)
			if a.refused {
				n.fleet.nestedRefused.Add(1)
			}
			if !a.served || ctx.Err() != nil {
				failed.Store(true)
			}
			if closed, ok := treeadmit.Reported(a.load, a.closedBeneath); ok && !a.early {
				n.beneath.Report(route, service, closed, time.Now())
			}
		})
	}
	group.Wait()
	return !failed.Load()
}

// root handles a root request and reports whether it was served in time, and whether the
// entry refused it.
func (n *node) root(route string, urgency object.Urgency) (served, refused bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r := admission.Request{Urgency: urgency}
	r.Deadline, _ = ctx.Deadline()
	kind := balance.CallKind{Route: route, Urgency: urgency}
	var err error
	if n.fleet.tree {
		r.AdmitProbability, err = n.roots.Admit(route, urgency, r.Deadline, time.Now())
	} else {
		err = n.throttle.Admit(kind, time.Now())
	}
	if err != nil {
		return false, true
	}
	a := n.call(ctx, route, routes[route], r)
	if closed, ok := treeadmit.Reported(a.load, a.closedBeneath); ok && !a.early && n.fleet.tree {
		n.roots.Report(route, closed, time.Now())
	}
	if !n.fleet.tree {
		n.throttle.Observe(kind, a.refusedBeneath, time.Now())
	}
	return a.served && ctx.Err() == nil, false
}

// figures are the shares of requests that arrived in a period, by route and urgency.
type figures struct {
	mu                    sync.Mutex
	sent, served, refused map[string]float64
}

// play sends root requests from the entries, of which a fifth is urgent and the rest
// normal and deferrable in equal parts, at the rate of load(t) times the capacity of
// bottom. It returns the figures of each second.
func (f *fleet) play(entries []*node, random *rand.Rand, seconds int, load func(second int) float64) []*figures {
	var group sync.WaitGroup
	bySecond := make([]*figures, seconds)
	start := time.Now()
	for second := range seconds {
		p := &figures{sent: map[string]float64{}, served: map[string]float64{}, refused: map[string]float64{}}
		bySecond[second] = p
		for time.Since(start) < time.Duration(second+1)*time.Second {
			rate := load(second)*treeCapacity + treeCapacity
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			route := "trees"
			if random.Float64()*rate < treeCapacity {
				route = "others"
			}
			urgency := object.Urgency((random.IntN(5) + 1) / 2)
			if urgency > object.Deferrable {
				urgency = object.Deferrable
			}
			n := entries[random.IntN(len(entries))]
			group.Go(func() {
				served, refused := n.root(route, urgency)
				p.count(route, urgency, served, refused)
			})
		}
	}
	group.Wait()
	return bySecond
}

func (p *figures) count(route string, urgency object.Urgency, served, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range []string{route, route + " " + urgency.String()} {
		p.sent[key]++
		if served {
			p.served[key]++
		}
		if refused {
			p.refused[key]++
		}
	}
}

// sum adds the figures of the seconds from a to b.
func sum(bySecond []*figures, a, b int, key string) (sent, served, refused float64) {
	for _, p := range bySecond[a:b] {
		sent, served, refused = sent+p.sent[key], served+p.served[key], refused+p.refused[key]
	}
	return sent, served, refused
}

// shares are figures of the route "trees" over some seconds.
type shares struct {
	goodput                        float64 // in relation to treeCapacity
	urgent, normal, others, nested float64 // served; of nested calls, refused
	refused                        float64 // requests refused by the entry
}

// measure plays the load and returns the shares of the seconds from a to b.
func (f *fleet) measure(entries []*node, seconds, a, b int, load func(second int) float64) (shares, []*figures) {
	var nested, nestedRefused int64
	bySecond := f.play(entries, rand.New(rand.NewPCG(1, 2)), seconds, func(second int) float64 {
		switch second {
		case a:
			nested, nestedRefused = -f.nested.Load(), -f.nestedRefused.Load()
		case b:
			nested, nestedRefused = nested+f.nested.Load(), nestedRefused+f.nestedRefused.Load()
		}
		return load(second)
	})
	share := func(key string) float64 {
		sent, served, _ := sum(bySecond, a, b, key)
		return served / sent
	}
	_, served, refused := sum(bySecond, a, b, "trees")
	return shares{
		goodput: served / float64(b-a) / treeCapacity, refused: refused,
		urgent: share("trees urgent"), normal: share("trees normal"), others: share("others"),
		nested: float64(nestedRefused) / float64(nested),
	}, bySecond
}

// TestTreeOverload sends up to 2.5 times the call trees that the service at their bottom
// can serve. It guards against work that is wasted on trees whose last calls are refused.
// The throttle's figures are stated for comparison.
func TestTreeOverload(t *testing.T) {
	const start, end, measured, seconds = 1, 32, 2, 35
	tests := map[string]struct {
		entries int
		peak    float64
	}{
		"2.5, 12 entries": {12, 2.5},
		"2.5, 64 entries": {64, 2.5},
		"1.3, 12 entries": {12, 1.3},
	}
	for name, test := range tests {
		for _, tree := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, tree %v", name, tree), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, entries := newFleet(tree, test.entries)
					s, bySecond := f.measure(entries, seconds, measured, end, func(second int) float64 {
						if second >= start && second < end {
							return test.peak
						}
						return 0.5
					})
					_, _, first := sum(bySecond, end, end+1, "trees")
					_, _, late := sum(bySecond, end+1, seconds, "trees")
					t.Logf("%s, tree %v: goodput %.3f, urgent %.3f, other route %.3f, nested calls refused %.4f, refused in the first second after the peak %.0f, later %.0f",
						name, tree, s.goodput, s.urgent, s.others, s.nested, first, late)
					if !tree {
						return
					}
					qt.Check(t, s.goodput >= 0.9, qt.IsTrue)
					qt.Check(t, s.urgent >= 0.999, qt.IsTrue)
					qt.Check(t, s.others, qt.Equals, 1.0)
					qt.Check(t, s.nested <= 0.08, qt.IsTrue)
					qt.Check(t, late <= 3, qt.IsTrue)
				})
			})
		}
	}
}

// TestFailingServers lets half of the servers at the bottom refuse everything, while the
// others have capacity for all requests. It guards against taking that for an overload of
// the service: the entry must refuse nothing. How many requests fail then depends on the
// number of hosts to which a call is sent.
func TestFailingServers(t *testing.T) {
	for _, tree := range []bool{true, false} {
		t.Run(fmt.Sprintf("tree %v", tree), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const from, to, load = 2, 6, 0.35
				f, entries := newFleet(tree, 12)
				s, _ := f.measure(entries, 8, from, to, func(second int) float64 {
					for i := range 3 {
						f.nodes[fmt.Sprint("bottom", i)].refuses.Store(second >= from && second < to)
					}
					return load
				})
				t.Logf("tree %v: urgent %.3f, normal %.3f, refused by the entry %.0f", tree, s.urgent, s.normal, s.refused)
				if tree {
					qt.Check(t, s.refused, qt.Equals, 0.0)
				}
			})
		})
	}
}
