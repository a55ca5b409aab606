package membership

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/peer"
)

// fleetSizes are the numbers of hosts at which costs are measured.
var fleetSizes = []int{16, 500, 2000, 8100}

const (
	serviceCount = 340
	zoneCount    = 7
)

// newListOfSize returns a list that knows n hosts, including its own, and has no
// changes left to send.
func newListOfSize(n int) *List {
	l := New(Config{ID: "host-00000", Zone: "zone-0", Address: "10.0.0.0:7002"})
	for i := 1; i < n; i++ {
		l.roster.merge(testMember(i), time.Time{})
	}
	l.publish()
	clear(l.roster.unsent)
	return l
}

func testMember(i int) Member {
	return Member{
		ID:          fmt.Sprintf("host-%05d", i),
		Zone:        fmt.Sprintf("zone-%d", i%zoneCount),
		Address:     fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
		Incarnation: newIncarnation(time.Now()),
		Version:     3,
		Service:     fmt.Sprintf("service-%d", i%serviceCount),
		Slots:       50,
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkSlopePublish merges one change of a host and publishes the members. It
// also reports the heap memory of the list.
func BenchmarkSlopePublish(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			before := heapBytes()
			l := newListOfSize(n)
			listBytes := heapBytes() - before
			changed := testMember(1)
			b.ReportAllocs()
			for b.Loop() {
				changed.Version++
				l.roster.merge(changed, time.Time{})
				l.publish()
				l.roster.takeZoneUpdates()
			}
			b.ReportMetric(float64(listBytes), "heap-B")
			runtime.KeepAlive(l)
		})
	}
}

// BenchmarkSlopeProbe chooses the next target of a probe and collects the updates
// to send, averaged over rounds of all hosts.
func BenchmarkSlopeProbe(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			l := newListOfSize(n)
			b.ReportAllocs()
			for b.Loop() {
				_, found := l.nextTarget()
				qt.Assert(b, found, qt.IsTrue)
				l.roster.takeZoneUpdates()
				l.expireSuspects(time.Time{})
			}
		})
	}
}

type fixedGeneration struct{}

func (fixedGeneration) Current() uint64        { return 1 }
func (fixedGeneration) Observe(uint64, string) {}

// countingListener counts the bytes of its connections, in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// startServer serves the list to other nodes and returns the address of the server
// and the number of bytes that it receives and sends.
func startServer(b *testing.B, l *List) (string, *atomic.Int64) {
	log.SetHandler(discard.New())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	server := peer.NewServer(testSecret, fixedGeneration{})
	qt.Assert(b, server.Register("Membership", l.RPC()), qt.IsNil)
	countedListener := countingListener{listener, new(atomic.Int64)}
	ctx, cancel := context.WithCancel(context.Background())
	go l.serveInbox(ctx)
	go func() { _ = server.Serve(countedListener) }()
	b.Cleanup(func() {
		cancel()
		l.close()
		qt.Check(b, server.Close(), qt.IsNil)
	})
	return listener.Addr().String(), countedListener.bytes
}

// serveInbox runs the functions handed to the control goroutine, as Run does, but
// sends no probes.
func (l *List) serveInbox(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.inbox:
			f()
		}
	}
}

var testSecret = []byte("0123456789abcdef0123456789abcdef")

func newPool(b *testing.B) *peer.Pool {
	pool := peer.NewPool(testSecret, "127.0.0.1:7", fixedGeneration{})
	b.Cleanup(func() { _ = pool.Close() })
	return pool
}

func sentBytes() int64 {
	sent, ok := expvar.Get("curranthold-peer").(*expvar.Map).Get("membership-sent-bytes").(*expvar.Int)
	if !ok {
		return 0
	}
	return sent.Value()
}

// BenchmarkSlopeProbeMessage sends a probe, whose updates the receiver knows
// already, over an open connection. The reported bytes are those of the request and
// response frames.
func BenchmarkSlopeProbeMessage(b *testing.B) {
	for _, updates := range []int{0, 1, 64} {
		b.Run(fmt.Sprintf("updates=%d", updates), func(b *testing.B) {
			l := newListOfSize(100)
			address, _ := startServer(b, l)
			pool := newPool(b)
			args := &Ping{From: "host-00001"}
			for i := range updates {
				args.Updates = append(args.Updates, l.roster.members[fmt.Sprintf("host-%05d", i+1)])
			}
			send := func() {
				err := pool.Call(b.Context(), address, "Membership.Ping", args, new(Pong))
				qt.Assert(b, err, qt.IsNil)
			}
			send()
			before := sentBytes()
			b.ReportAllocs()
			for b.Loop() {
				send()
			}
			b.ReportMetric(float64(sentBytes()-before)/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkSlopeFirstProbe sends a probe with one update over a new connection.
// The reported bytes are the whole TCP payload in both directions, with the
// handshake.
func BenchmarkSlopeFirstProbe(b *testing.B) {
	address, bytes := startServer(b, newListOfSize(100))
	args := &Ping{From: "host-00001", Updates: []Member{testMember(1)}}
	b.ReportAllocs()
	for b.Loop() {
		pool := peer.NewPool(testSecret, "127.0.0.1:7", fixedGeneration{})
		err := pool.Call(b.Context(), address, "Membership.Ping", args, new(Pong))
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, pool.Close(), qt.IsNil)
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

// BenchmarkSlopeComparison compares whole rosters: equal ones, ones that differ in
// one bucket, and ones that differ in all buckets, as when a node has just started.
func BenchmarkSlopeComparison(b *testing.B) {
	for _, n := range fleetSizes {
		for _, differ := range []string{"none", "one", "all"} {
			b.Run(fmt.Sprintf("hosts=%d/differ=%s", n, differ), func(b *testing.B) {
				l := newListOfSize(n)
				digest := Digest{Buckets: l.roster.digests}
				switch differ {
				case "one":
					digest.Buckets[0]++
				case "all":
					digest = Digest{}
				}
				benchmarkComparison(b, l, &digest)
			})
		}
	}
}

func benchmarkComparison(b *testing.B, l *List, digest *Digest) {
	address, _ := startServer(b, l)
	pool := newPool(b)
	compare := func() {
		err := pool.Call(b.Context(), address, "Membership.Compare", digest, new(Difference))
		qt.Assert(b, err, qt.IsNil)
	}
	compare()
	before := sentBytes()
	b.ReportAllocs()
	for b.Loop() {
		compare()
	}
	b.ReportMetric(float64(sentBytes()-before)/float64(b.N), "wire-B/op")
}
