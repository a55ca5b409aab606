package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRecoversAfterFailure partitions a zone from the other or kills a home.
// Membership reports this late, and the hosts of a partitioned zone one at a
// time. The load stays below the share of the rate that remains usable during
// the failure; the test bounds the time until the last refusal. The homes of the
// 8 accounts are spread over both zones.
func TestRecoversAfterFailure(t *testing.T) {
	const detectionDelay = 3 * time.Second
	tests := map[string]struct {
		fail  func(f *fleet)
		share float64
		nodes func(f *fleet) []*node
		// lostHosts is how many hosts of the second zone are removed one at a
		// time.
		lostHosts int
		bound     time.Duration
		// names replaces the default accounts.
		names []string
	}{
		"a partitioned zone": {
			fail: func(f *fleet) {
				f.partitioned = func(a, b *node) bool { return a.host.Zone != b.host.Zone }
				for _, n := range f.nodes[:3] {
					n.noTable = true
				}
			},
			share:     0.5,
			nodes:     func(f *fleet) []*node { return f.nodes[:3] },
			lostHosts: 3,
			bound:     3 * time.Second,
		},
		"a partitioned zone, load on one host": {
			fail: func(f *fleet) {
				f.partitioned = func(a, b *node) bool { return a.host.Zone != b.host.Zone }
			},
			share:     0.5,
			nodes:     func(f *fleet) []*node { return f.nodes[:1] },
			lostHosts: 3,
			bound:     3 * time.Second,
		},
		"a partitioned zone, one account": {
			fail: func(f *fleet) {
				f.partitioned = func(a, b *node) bool { return a.host.Zone != b.host.Zone }
			},
			share:     0.5,
			nodes:     func(f *fleet) []*node { return f.nodes[:3] },
			names:     []string{remoteName()},
			lostHosts: 3,
			bound:     3 * time.Second,
		},
		"a killed home": {
			fail:  func(f *fleet) { f.kill(f.nodes[0]) },
			share: 5.0 / 6,
			nodes: func(f *fleet) []*node { return f.nodes[1:] },
			bound: 2 * time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limits := make(map[string]Limit)
			names := test.names
			if names == nil {
				names = []string{"a", "b", "c", "d", "e", "f", "g", "h"}
			}
			for _, name := range names {
				limits[name] = Limit{Rate: 400, Burst: 400}
			}
			f := newFleet(7, limits, Timing{}, 3, 3)
			f.startAll()
			f.run(90 * time.Second)
			nodes := test.nodes(f)
			f.sendLoad(20*time.Second, 0.6*test.share, func(rng *rand.Rand) *node { return nodes[rng.IntN(len(nodes))] })
			f.run(5 * time.Second)
			start := f.now
			test.fail(f)
			lost := f.byHomeRank(names[0], f.nodes[3:])
			for i := range test.lostHosts {
				f.after(detectionDelay+time.Duration(i)*500*time.Millisecond, func() { f.setHostsWithout(nodes, lost[:i+1]) })
			}
			f.after(detectionDelay+3*time.Second, f.announceAll)
			f.run(15 * time.Second)
			last, count, sent := start, 0, 0
			for name := range limits {
				sent += len(f.arrivals[name])
				for _, at := range f.refused[name] {
					last, count = later(last, at), count+1
				}
			}
			t.Logf("%d of %d refused, the last %v after the failure", count, sent, last.Sub(start))
			qt.Assert(t, last.Sub(start) <= test.bound, qt.IsTrue)
			qt.Assert(t, f.checkSpending(1), qt.IsNil)
		})
	}
}

// remoteName returns an account for which the two hosts that rank highest as its
// home are in the second of two zones of three hosts.
func remoteName() string {
	f := newFleet(1, nil, Timing{}, 3, 3)
	for i := 0; ; i++ {
		name := fmt.Sprintf("account-%d", i)
		hosts := make([]Host, 0, len(f.nodes))
		for _, n := range f.nodes {
			hosts = append(hosts, n.host)
		}
		first := homeOf(partitionOf(name), hosts)
		rest := slices.DeleteFunc(hosts, func(h Host) bool { return h.ID == first.ID })
		if first.Zone == "z1" && homeOf(partitionOf(name), rest).Zone == "z1" {
			return name
		}
	}
}

// byHomeRank sorts the nodes by their rank as an account's home, best first.
func (f *fleet) byHomeRank(name string, nodes []*node) []*node {
	nodes = slices.Clone(nodes)
	slices.SortFunc(nodes, func(a, b *node) int {
		if homeOf(partitionOf(name), []Host{a.host, b.host}) == a.host {
			return -1
		}
		return 1
	})
	return nodes
}

// setHostsWithout tells the nodes that all running hosts except the lost ones are
// live.
func (f *fleet) setHostsWithout(nodes, lost []*node) {
	var hosts []Host
	for _, n := range f.nodes {
		if n.up && !slices.Contains(lost, n) {
			hosts = append(hosts, n.host)
		}
	}
	for _, n := range nodes {
		n.m.SetHosts(hosts)
	}
}

// TestHomeMovesToStartedHost starts an account's primary home after the other
// hosts. The account's tokens must move to it, and refusals must end within a
// second.
func TestHomeMovesToStartedHost(t *testing.T) {
	f := newFleet(7, map[string]Limit{"a": {Rate: 400, Burst: 400}, "b": {Rate: 400, Burst: 400}}, Timing{}, 3, 3)
	started := f.homeNode("a")
	for _, n := range f.nodes {
		if n != started {
			f.start(n)
		}
	}
	f.announceAll()
	f.run(90 * time.Second)
	f.sendLoad(20*time.Second, 0.6, func(rng *rand.Rand) *node {
		n := f.anyNode(rng)
		for n == started {
			n = f.anyNode(rng)
		}
		return n
	})
	f.run(5 * time.Second)
	f.start(started)
	f.announceAll()
	start := f.now
	f.run(15 * time.Second)
	last := start
	for _, at := range f.refused["a"] {
		last = later(last, at)
	}
	t.Logf("%d of %d refused, the last %v after the move", len(f.refused["a"]), len(f.arrivals["a"]), last.Sub(start))
	qt.Assert(t, last.Sub(start) <= time.Second, qt.IsTrue)
}

// homeNode returns the home of an account when all nodes are live.
func (f *fleet) homeNode(name string) *node {
	var hosts []Host
	byID := make(map[string]*node)
	for _, n := range f.nodes {
		hosts = append(hosts, n.host)
		byID[n.host.ID] = n
	}
	return byID[homeOf(partitionOf(name), hosts).ID]
}

// TestZonesStartApart starts one zone a second before the other, so that it knows
// only itself at first. Every host must soon have its full fraction.
func TestZonesStartApart(t *testing.T) {
	const bound = 10 * time.Second
	f := newFleet(7, map[string]Limit{"a": {Rate: 400, Burst: 400}}, Timing{}, 3, 3)
	for _, n := range f.nodes[:3] {
		f.start(n)
	}
	f.announceAll()
	f.run(time.Second)
	for _, n := range f.nodes[3:] {
		f.start(n)
	}
	f.announceAll()
	start := f.now
	fullyGranted := func() bool {
		sum, least := 0.0, 1.0
		for _, n := range f.nodes {
			sum += n.m.delegations.fraction
			least = min(least, n.m.delegations.fraction)
		}
		return sum > 0.99 && least > 0.16
	}
	for !fullyGranted() && f.now.Sub(start) < 5*time.Minute {
		f.run(100 * time.Millisecond)
	}
	t.Logf("all fractions granted after %v", f.now.Sub(start))
	qt.Assert(t, f.now.Sub(start) <= bound, qt.IsTrue)
}
