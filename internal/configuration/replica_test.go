package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// inForceDeadline is the maximum time in which an accepted configuration must be in
// force on every host.
const inForceDeadline = 5 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func codeOf(err error) verdict.Code {
	if err == nil {
		return ""
	}
	return verdict.From(err).Code
}

// TestWithdrawnKeyStops withdraws a key under different faults, such as lost
// messages, a table that fails after the commit, and a zone that reaches only one
// other zone. Every running host must refuse the key within inForceDeadline.
func TestWithdrawnKeyStops(t *testing.T) {
	tests := map[string]struct {
		fault     func(from, to Host) messageFault
		tableDown bool
		// acceptingHostStops stops the host that accepted the change after Apply has
		// returned.
		acceptingHostStops bool
	}{
		"no faults":                     {},
		"table fails after the commit":  {tableDown: true},
		"table and accepting host fail": {tableDown: true, acceptingHostStops: true},
		"one message in five lost": {fault: func(_, _ Host) messageFault {
			return messageFault{drop: rand.N(10) == 0, loseAnswer: rand.N(10) == 0, duplicate: rand.N(5) == 0}
		}},
		"table down, third zone reaches only the second": {tableDown: true, fault: func(from, to Host) messageFault {
			partitioned := func(a, b string) bool { return a == "zone-2" && b == "zone-0" }
			return messageFault{drop: partitioned(from.Zone, to.Zone) || partitioned(to.Zone, from.Zone)}
		}},
		"slow messages": {fault: func(_, _ Host) messageFault { return messageFault{delay: rand.N(200 * time.Millisecond)} }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 3, 25)
				fl.startAll()
				defer fl.stopAll()
				declare, presented := withKey("op-1", "k")
				_, err := fl.replica(0).Apply(t.Context(), declare)
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(inForceDeadline)
				for i := range fl.hosts {
					got, err := fl.replica(i).Authenticate(presented)
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, got, qt.Equals, "account-k")
				}

				fl.setFault(test.fault)
				fl.table.setOnCommit(func(platform.Transaction) (commitOutcome, bool) { return appliedThenDown, test.tableDown })
				_, err = fl.replica(0).Apply(t.Context(), withdraw("op-2", "k"))
				qt.Assert(t, err, qt.IsNil)
				hosts := fl.hosts
				if test.acceptingHostStops {
					fl.stop(hosts[0])
					hosts = hosts[1:]
				}
				time.Sleep(inForceDeadline)
				for _, h := range hosts {
					r := fl.running[h.Address]
					_, err := r.Authenticate(presented)
					qt.Assert(t, codeOf(err), qt.Equals, verdict.KeyRefused, qt.Commentf("%s at generation %d", h.ID, r.Snapshot().Generation()))
					qt.Assert(t, verdict.Of(err), qt.Equals, verdict.NotRun)
				}
			})
		})
	}
}

// TestUnreachableWriter accepts a change on a host that reaches the table but no other
// host. The pollers must learn of the change and push it through a large zone, in
// which the roots of every second subtree are unreachable but still listed as live.
func TestUnreachableWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 1, 600)
		fl.startAll()
		defer fl.stopAll()
		zone := fl.replica(0).view.Load().zone("zone-0")
		writer := zone.hosts[599]
		silent := map[string]bool{writer.ID: true}
		for i, part := range zone.span().rest().split() {
			if i%2 == 0 {
				silent[part.hosts[0].ID] = true
			}
		}
		fl.setFault(func(from, to Host) messageFault {
			return messageFault{drop: silent[from.ID] || silent[to.ID]}
		})
		_, err := fl.running[writer.Address].Apply(t.Context(), put("op-1", account("a", 1)))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(inForceDeadline)
		for i, h := range fl.hosts {
			if !silent[h.ID] {
				qt.Assert(t, fl.replica(i).Snapshot().Generation(), qt.Equals, uint64(1), qt.Commentf("%s", h.ID))
			}
		}
	})
}

// TestNotUpToDateWhileBehind checks that a host that is behind does not record that it is
// up to date with the platform or another zone, even if it receives messages from
// there.
func TestNotUpToDateWhileBehind(t *testing.T) {
	fl := newFleet(t, 2, 2)
	r := New(Config{Host: fl.hosts[0].ID, Zone: fl.hosts[0].Zone, Table: fl.table, Peers: fakeCaller{fl.network, fl.hosts[0]}})
	r.SetHosts(fl.hosts)
	qt.Assert(t, r.IsolatedFor(), qt.Equals, neverUpToDate)
	r.observeReply(Sender{Host: fl.hosts[1].ID, Generation: 1}, time.Now())
	r.ObserveGeneration(1, fl.hosts[2].Address)
	r.observeTable(1, time.Now())
	qt.Assert(t, r.IsolatedFor(), qt.Equals, neverUpToDate)
	r.observeReply(Sender{Host: fl.hosts[1].ID, HeardAgo: time.Hour}, time.Now())
	qt.Assert(t, r.IsolatedFor() >= time.Hour, qt.IsTrue)
	r.ObserveGeneration(0, fl.hosts[2].Address)
	qt.Assert(t, r.IsolatedFor() < time.Hour, qt.IsTrue)
	qt.Assert(t, r.Close(), qt.IsNil)
}

// TestState checks which changes and snapshots a state applies, and which changes it
// keeps for peers.
func TestState(t *testing.T) {
	s := newState(&Snapshot{generation: 5})
	s, err := s.advance([]Change{accountChange(t, 4), accountChange(t, 6), accountChange(t, 7)})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.snapshot.generation, qt.Equals, uint64(7))
	for _, full := range []uint64{0, 6, 7} {
		qt.Assert(t, s.replace(&Snapshot{generation: full}), qt.Equals, s)
	}
	afterGap, err := s.advance([]Change{accountChange(t, 9)})
	qt.Assert(t, err, qt.Equals, errGap)
	qt.Assert(t, afterGap, qt.Equals, s)
	for after, want := range map[uint64]int{4: -1, 5: 2, 6: 1, 7: 0, 8: 0} {
		changes, ok := s.changesAfter(after)
		qt.Assert(t, ok, qt.Equals, want >= 0)
		qt.Assert(t, len(changes), qt.Equals, max(want, 0))
	}
	undecodable := Change{Generation: 8, Entries: []Entry{{ID: object.ID{Kind: "new-kind", Name: "a"}, Data: []byte(`{"kind":"new-kind"}`)}}}
	afterUndecodable, err := s.advance([]Change{undecodable})
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, afterUndecodable, qt.Equals, s)
}

// TestReady restarts hosts while the table is down. A host that restarts alone must
// become ready from its peers; after all restart at once, none may become ready
// until the table is back.
func TestReady(t *testing.T) {
	ready := func(r *Replica) bool {
		time.Sleep(inForceDeadline)
		select {
		case <-r.Ready():
			return true
		default:
			return false
		}
	}
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2, 3)
		fl.startAll()
		defer fl.stopAll()
		_, err := fl.replica(0).Apply(t.Context(), put("op-1", account("a", 1)))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(inForceDeadline)

		fl.table.setDown(true)
		for _, h := range fl.hosts {
			r := fl.start(h)
			qt.Assert(t, ready(r), qt.IsTrue)
			qt.Assert(t, r.Snapshot().Generation(), qt.Equals, uint64(1))
		}

		fl.stopAll()
		for _, h := range fl.hosts {
			fl.start(h)
		}
		for i := range fl.hosts {
			qt.Assert(t, ready(fl.replica(i)), qt.IsFalse)
		}
		fl.table.setDown(false)
		for i := range fl.hosts {
			qt.Assert(t, ready(fl.replica(i)), qt.IsTrue)
			qt.Assert(t, fl.replica(i).Snapshot().Generation(), qt.Equals, uint64(1))
		}
	})
}

// TestIsolatedZone isolates a zone from the platform and the other zone. Its hosts
// must then accept or refuse keys as the zone's object specifies.
func TestIsolatedZone(t *testing.T) {
	for name, choice := range map[string]object.IsolatedKeyPolicy{"default": "", "serve": object.IsolatedServe, "refuse": object.IsolatedRefuse} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 2, 12)
				fl.startAll()
				defer fl.stopAll()
				declare, presented := withKey("op-1", "k")
				drafts, _ := declare.Plan(nil)
				zone := Draft{ID: object.ID{Kind: object.KindAvailabilityZone, Name: "zone-1"}, Spec: object.AvailabilityZoneSpec{InService: true, IsolatedKeys: choice}}
				_, err := fl.replica(0).Apply(t.Context(), put("op-1", append(drafts, zone)...))
				qt.Assert(t, err, qt.IsNil)
				for range 12 {
					time.Sleep(inForceDeadline)
					for i := range fl.hosts {
						qt.Assert(t, fl.replica(i).IsolatedFor() < 15*time.Second, qt.IsTrue)
					}
				}
				fl.setFault(func(from, to Host) messageFault { return messageFault{drop: from.Zone != to.Zone} })
				for i := 12; i < 24; i++ {
					fl.replica(i).config.Table.(*partitionableTable).unreachable.Store(true)
				}
				time.Sleep(45 * time.Second)
				want := verdict.Code("")
				if choice == object.IsolatedRefuse {
					want = verdict.KeyUnconfirmed
				}
				for i := range fl.hosts {
					_, err := fl.replica(i).Authenticate(presented)
					if i < 12 {
						qt.Assert(t, err, qt.IsNil)
						continue
					}
					qt.Assert(t, codeOf(err), qt.Equals, want)
				}
			})
		})
	}
}

// TestStatusNotAhead checks that a survey never confirms more than the hosts have
// applied.
func TestStatusNotAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2, 20)
		fl.startAll()
		defer fl.stopAll()
		_, err := fl.replica(0).Apply(t.Context(), put("op-1", account("a", 1)))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(inForceDeadline)
		confirm := func(generation uint64) object.Condition {
			time.Sleep(2 * surveyMaxAge)
			return fl.replica(0).Survey(t.Context(), generation).Confirmation(generation)
		}
		all := confirm(1)
		qt.Assert(t, all.Status, qt.Equals, object.True)
		qt.Assert(t, all.Zones[1].Confirmed, qt.Equals, 20)

		// The unreachable host does not respond, but its descendants in the survey tree
		// do.
		unreachable := fl.replica(0).view.Load().zone("zone-1").hosts[0]
		at := slices.Index(fl.hosts, unreachable)
		fl.setFault(func(from, to Host) messageFault {
			return messageFault{drop: from.ID == unreachable.ID || to.ID == unreachable.ID}
		})
		fl.running[unreachable.Address].config.Table.(*partitionableTable).unreachable.Store(true)
		_, err = fl.replica(0).Apply(t.Context(), put("op-2", account("b", 1)))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(inForceDeadline)
		unheard := confirm(2)
		qt.Assert(t, unheard.Status, qt.Equals, object.Unknown)
		qt.Assert(t, unheard.Zones[1].Confirmed, qt.Equals, 19)
		qt.Assert(t, unheard.Zones[1].Unheard, qt.Equals, 1)
		qt.Assert(t, fl.running[unreachable.Address].Snapshot().Generation(), qt.Equals, uint64(1))

		// The unreachable host still counts as unheard when no host lists it as live.
		// So does a stopped host in the surveying host's own zone.
		stopped := fl.hosts[7]
		fl.stop(stopped)
		live := slices.Concat(fl.hosts[:7], fl.hosts[8:at], fl.hosts[at+1:])
		for _, h := range live {
			fl.running[h.Address].SetHosts(live)
		}
		both := confirm(2)
		qt.Assert(t, both.Status, qt.Equals, object.Unknown)
		for _, zone := range both.Zones {
			qt.Assert(t, zone.Confirmed, qt.Equals, 19)
			qt.Assert(t, zone.Unheard, qt.Equals, 1)
		}
		fl.replica(0).ForgetHost(stopped.ID)
		fl.replica(0).ForgetHost(unreachable.ID)
		qt.Assert(t, confirm(2).Status, qt.Equals, object.True)

		// Hosts that only another host of their zone has in its list of live hosts are
		// counted too.
		fl.replica(0).SetHosts([]Host{fl.hosts[0], fl.hosts[1], live[25]})
		for _, h := range live {
			fl.replica(0).ForgetHost(h.ID)
		}
		for _, zone := range confirm(2).Zones {
			qt.Assert(t, zone.Hosts, qt.Equals, 19)
		}
		fl.replica(0).SetHosts(nil)
		for _, h := range live {
			fl.replica(0).ForgetHost(h.ID)
		}
		qt.Assert(t, confirm(2).Status, qt.Equals, object.Unknown, qt.Commentf("the surveying host has an empty list of hosts"))

		// A declared zone with no known hosts makes the status Unknown.
		fl.replica(0).SetHosts(fl.hosts[:20])
		for _, h := range fl.hosts[20:] {
			fl.replica(0).ForgetHost(h.ID)
		}
		zone := Draft{ID: object.ID{Kind: object.KindAvailabilityZone, Name: "zone-9"}, Spec: object.AvailabilityZoneSpec{}}
		_, err = fl.replica(0).Apply(t.Context(), put("op-3", zone))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(inForceDeadline)
		qt.Assert(t, confirm(3).Status, qt.Equals, object.Unknown)
	})
}

// TestTree checks that the parts of a span hold each host once, and that parent
// agrees with split.
func TestTree(t *testing.T) {
	for _, n := range []int{1, 2, 8, 9, 10, 73, 1157} {
		parents := make([]int, n)
		parents[0] = -1
		var walk func(s span)
		walk = func(s span) {
			for _, part := range s.rest().split() {
				parents[part.first] = s.first
				walk(part)
			}
		}
		hosts := make([]Host, n)
		walk(span{hosts: hosts})
		for i, p := range parents {
			qt.Assert(t, parent(i, n), qt.Equals, p)
		}
	}
}

// TestFarBehind starts a host after more changes than peers keep and than a host
// reads one by one. It must fetch a full snapshot from the table or, while the table is
// down, from a peer.
func TestFarBehind(t *testing.T) {
	for name, down := range map[string]bool{"from the table": false, "from a peer": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 1, 3)
				fl.startAll()
				defer fl.stopAll()
				joiner := fl.hosts[2]
				fl.stop(joiner)
				for i := range maxChanges + 10 {
					_, err := fl.replica(0).Apply(t.Context(), put("op-"+time.Duration(i).String(), account("a", float64(i+1))))
					qt.Assert(t, err, qt.IsNil)
				}
				fl.table.setDown(down)
				r := fl.start(joiner)
				<-r.Ready()
				qt.Assert(t, r.Snapshot().Generation(), qt.Equals, uint64(maxChanges+10))
				qt.Assert(t, r.Snapshot().Accounts()["a"].Rate, qt.Equals, float64(maxChanges+10))
			})
		})
	}
}

// TestRPC calls the receiver through net/rpc instead of fakeNetwork.
func TestRPC(t *testing.T) {
	fl := newFleet(t, 1, 2)
	fl.startAll()
	defer fl.stopAll()
	_, err := fl.replica(0).Apply(t.Context(), put("op-1", account("a", 1)))
	qt.Assert(t, err, qt.IsNil)
	server := rpc.NewServer()
	qt.Assert(t, server.RegisterName(ServiceName, fl.replica(0).RPC()), qt.IsNil)
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	c := rpc.NewClient(clientConn)
	defer func() { qt.Check(t, c.Close(), qt.IsNil) }()

	var head HeadReply
	qt.Assert(t, c.Call(ServiceName+".Head", &HeadArgs{}, &head), qt.IsNil)
	qt.Assert(t, head.Ready, qt.IsTrue)
	var pulled PullReply
	qt.Assert(t, c.Call(ServiceName+".Pull", &PullArgs{}, &pulled), qt.IsNil)
	qt.Assert(t, pulled.Changes, qt.HasLen, 1)
	var fetched FetchReply
	qt.Assert(t, c.Call(ServiceName+".Fetch", &FetchArgs{}, &fetched), qt.IsNil)
	qt.Assert(t, fetched.Entries, qt.HasLen, 1)
	var pushed PushReply
	push := &PushArgs{Generation: 1, Changes: pulled.Changes, Range: Range{Hosts: fl.hosts[:1]}}
	qt.Assert(t, c.Call(ServiceName+".Push", push, &pushed), qt.IsNil)
	qt.Assert(t, pushed.Mismatch, qt.IsFalse)
	var counted SurveyReply
	survey := &SurveyArgs{Range: Range{Hosts: fl.hosts[:1]}, Budget: time.Second}
	qt.Assert(t, c.Call(ServiceName+".Survey", survey, &counted), qt.IsNil)
	qt.Assert(t, counted.Counts, qt.DeepEquals, []Count{{Generation: 1, Hosts: 1}})
}

// TestLargeChange checks that a change too large to be included in a push still
// reaches every host.
func TestLargeChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2, 40)
		fl.startAll()
		defer fl.stopAll()
		drafts := make([]Draft, MaxDrafts)
		for i := range drafts {
			drafts[i] = account(fmt.Sprintf("account-%d", i), 1)
		}
		_, err := fl.replica(0).Apply(t.Context(), put("op-1", drafts...))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(inForceDeadline)
		for i := range fl.hosts {
			qt.Assert(t, fl.replica(i).Snapshot().Accounts(), qt.HasLen, MaxDrafts)
		}
	})
}

// fakeStore is an in-memory object store.
type fakeStore map[string][]byte

func (s fakeStore) Put(_ context.Context, name string, data []byte) error {
	s[name] = data
	return nil
}

func (s fakeStore) Get(_ context.Context, name string) ([]byte, error) {
	data, ok := s[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return data, nil
}

// TestStore checks that a joining host applies the stored snapshot and then the
// changes after it, and that a host ignores a stored snapshot older than its own.
func TestStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 1, 1)
		store := fakeStore{}
		fl.store = store
		fl.startAll()
		defer fl.stopAll()
		r := fl.replica(0)
		change := func(n int) {
			_, err := r.Apply(t.Context(), put(fmt.Sprintf("op-%d", n), account("a", float64(n))))
			qt.Assert(t, err, qt.IsNil)
		}
		for n := 1; n < storeEveryGenerations; n++ {
			change(n)
		}
		r.storeSnapshot(t.Context())
		qt.Assert(t, store, qt.HasLen, 0)
		change(storeEveryGenerations)
		r.storeSnapshot(t.Context())
		qt.Assert(t, store, qt.HasLen, 1)
		change(storeEveryGenerations + 1)
		r.catchUpFromStore(t.Context())
		qt.Assert(t, r.Snapshot().Accounts()["a"].Rate, qt.Equals, float64(storeEveryGenerations+1))

		joiner := New(Config{Host: "joiner", Zone: "zone-0", Table: fl.table, Store: store, Peers: fakeCaller{fl.network, Host{}}})
		var first *Snapshot
		joiner.Subscribe(func(s *Snapshot) {
			if first == nil && s.Generation() > 0 {
				first = s
			}
		})
		go func() { _ = joiner.Run(context.Background()) }()
		<-joiner.Ready()
		qt.Assert(t, joiner.Snapshot().Generation(), qt.Equals, uint64(storeEveryGenerations+1))
		qt.Assert(t, joiner.Close(), qt.IsNil)
		qt.Assert(t, first.Generation(), qt.Equals, uint64(storeEveryGenerations))
	})
}
