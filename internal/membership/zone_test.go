package membership

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/platform"
)

const (
	// messageBytes is the size of a message without updates, and memberBytes that of
	// one update, as the benchmarks measure them. bucketBytes is the size of the
	// digest of one bucket.
	messageBytes = 60
	memberBytes  = 63
	bucketBytes  = 9
)

// fakeTable is a directory in memory. A request takes 4 ms.
type fakeTable struct {
	platform.Table
	mu   sync.Mutex
	rows map[string][]byte
}

// List implements platform.Table.
func (t *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	time.Sleep(tableLatency)
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if len(rows) < limit && key > after && strings.HasPrefix(key, prefix) {
			rows = append(rows, platform.Row{Key: key, Value: t.rows[key], Version: 1})
		}
	}
	return rows, nil
}

// Commit implements platform.Table.
func (t *fakeTable) Commit(_ context.Context, tx platform.Transaction) error {
	time.Sleep(tableLatency)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range tx.Writes {
		t.rows[w.Key] = w.Value
	}
	return nil
}

const tableLatency = 4 * time.Millisecond

// zoneNetwork counts the bytes of the messages between hosts of different zones.
type zoneNetwork struct {
	network
	crossZone int
}

type zoneEndpoint struct {
	endpoint
	zones *zoneNetwork
}

func (p zoneEndpoint) Call(ctx context.Context, address, method string, args, reply any) error {
	err := p.endpoint.Call(ctx, address, method, args, reply)
	if zoneOf(p.address) == zoneOf(address) {
		return err
	}
	bytes := 2 * messageBytes
	for _, message := range []any{args, reply} {
		switch m := message.(type) {
		case *Ping:
			bytes += memberBytes * len(m.Updates)
		case *Pong:
			bytes += memberBytes * len(m.Updates)
		case *Digest:
			bytes += bucketBytes * bucketCount
		case *Difference:
			bytes += bucketBytes*bucketCount + memberBytes*len(m.Members)
		}
	}
	p.zones.mu.Lock()
	defer p.zones.mu.Unlock()
	p.zones.crossZone += bytes
	return err
}

// zoneOf returns the zone of a host of zoneFleet.
func zoneOf(address string) string { return address[:1] }

// startZones starts hosts in five zones at once. They find each other by a directory.
func startZones(ctx context.Context, hosts int) (*zoneNetwork, []*List) {
	n := &zoneNetwork{network: network{lists: make(map[string]*List)}}
	table := &fakeTable{rows: make(map[string][]byte)}
	var lists []*List
	for i := range hosts {
		id := fmt.Sprintf("%c%d", 'a'+i%5, i)
		l := New(Config{ID: id, Zone: zoneOf(id), Address: id, Table: table, Peers: zoneEndpoint{endpoint{&n.network, id}, n}})
		n.lists[id] = l
		lists = append(lists, l)
	}
	for _, l := range lists {
		go l.Run(ctx)
		go func() {
			time.Sleep(time.Second)
			l.Announce(Backend{Service: "service", Slots: 50})
		}()
	}
	return n, lists
}

// TestBytesBetweenZones starts fleets of several sizes at once, lets every host announce
// its backend server, and counts the bytes that cross zones in 40 s. They must grow no
// faster than the number of hosts, and every host must know every other within 5 s.
func TestBytesBetweenZones(t *testing.T) {
	const small, large = 100, 300
	crossZone := func(hosts int) (bytes int) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			began := time.Now()
			n, lists := startZones(ctx, hosts)
			agreed := timeToAgree(lists)
			t.Logf("%d hosts: every host knows all announcements after %v", hosts, agreed)
			qt.Check(t, agreed < 10*time.Second, qt.IsTrue, qt.Commentf("%v at %d hosts", agreed, hosts))
			time.Sleep(40*time.Second - time.Since(began))
			n.mu.Lock()
			bytes = n.crossZone
			n.mu.Unlock()
			stopAll(cancel, lists)
		})
		return bytes
	}
	few, many := crossZone(small), crossZone(large)
	t.Logf("%d bytes at %d hosts, %d at %d", few, small, many, large)
	qt.Check(t, float64(many)/float64(few) <= float64(large)/float64(small), qt.IsTrue, qt.Commentf("%d bytes at %d hosts, %d at %d", few, small, many, large))
}

// timeToAgree waits until every list holds the announcement of every host, and returns
// how long that took.
func timeToAgree(lists []*List) time.Duration {
	return timeUntil(func() bool {
		return !slices.ContainsFunc(lists, func(l *List) bool { return announcedCount(l) < len(lists) })
	})
}

// timeUntil waits until the condition holds, for up to 30 s, and returns how long that
// took.
func timeUntil(holds func() bool) time.Duration {
	began := time.Now()
	for !holds() && time.Since(began) < 30*time.Second {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

func announcedCount(l *List) int {
	count := 0
	for _, m := range l.Members() {
		if m.Service != "" {
			count++
		}
	}
	return count
}

// TestZoneLossAmongManyHosts silences a zone of 100 hosts, lets every other host notice,
// and restores it. All must know that the zone is lost and that it is back within 15 s.
func TestZoneLossAmongManyHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, perZone = 100, 20
		ctx, cancel := context.WithCancel(context.Background())
		n, lists := startZones(ctx, hosts)
		timeToAgree(lists)
		others := slices.DeleteFunc(slices.Clone(lists), func(l *List) bool { return l.config.Zone == "c" })
		n.setDropped(func(from, to string) bool { return zoneOf(from) == "c" || zoneOf(to) == "c" })
		lost := timeUntil(func() bool {
			return !slices.ContainsFunc(others, func(l *List) bool { return liveCount(l) > hosts-perZone })
		})
		n.setDropped(nil)
		back := timeUntil(func() bool {
			return !slices.ContainsFunc(lists, func(l *List) bool { return liveCount(l) < hosts })
		})
		t.Logf("all know of the loss after %v, of the return after %v", lost, back)
		qt.Check(t, lost < 15*time.Second, qt.IsTrue, qt.Commentf("%v", lost))
		qt.Check(t, back < 15*time.Second, qt.IsTrue, qt.Commentf("%v", back))
		stopAll(cancel, lists)
	})
}
