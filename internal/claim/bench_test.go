package claim

import (
	"context"
	"net"
	"net/rpc"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"curranthold.example/curranthold/pkg/verdict"
)

// benchTickets returns a fleet of one host and n tickets that the host issued.
func benchTickets(b *testing.B, n int) (*fleet, []string) {
	f := newFleet()
	f.hosts = []Host{{ID: "a", Zone: "z", Address: "addr-a"}}
	f.mutate = func(c *Config) { c.MaxTickets, c.MaxTicketsPerAccount = n, n }
	f.start("a", 1)
	tickets, err := f.on("a").Issue("acc", n)
	if err != nil {
		b.Fatal(err)
	}
	return f, tickets
}

func BenchmarkTicketAtHome(b *testing.B) {
	f, tickets := benchTickets(b, b.N)
	defer f.close()
	a, ctx := f.on("a"), context.Background()
	before := heapBytes()
	b.ReportAllocs()
	b.ResetTimer()
	for _, ticket := range tickets {
		cl, err := a.Begin(ctx, Request{Account: "acc", Route: "r", Ticket: ticket})
		if err != nil {
			b.Fatal(err)
		}
		_ = cl.Finish(ctx, verdict.Ran, 200)
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "kept-B/ticket")
	runtime.KeepAlive(tickets)
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// BenchmarkTicketMessages claims and finishes tickets of another host, with the
// messages encoded by net/rpc.
func BenchmarkTicketMessages(b *testing.B) {
	f, tickets := benchTickets(b, b.N)
	defer f.close()
	server := rpc.NewServer()
	_ = server.RegisterName("Claim", f.on("a").RPC())
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	var n atomic.Int64
	client := rpc.NewClient(countingConn{clientConn, &n})
	defer func() { _ = client.Close() }()
	b.ReportAllocs()
	b.ResetTimer()
	for _, ticket := range tickets {
		id := newID()
		_ = client.Call("Claim.Begin", &BeginArgs{ticket, "rota-claims", id}, new(BeginReply))
		end := End{ID: id, Ran: true, Status: 200}
		_ = client.Call("Claim.Finish", &FinishArgs{ticket, "rota-claims", end}, new(FinishReply))
	}
	b.ReportMetric(float64(n.Load())/float64(b.N), "wire-B/ticket")
}

func BenchmarkTicketDecode(b *testing.B) {
	f, tickets := benchTickets(b, 1)
	defer f.close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := f.on("a").ticketCodec.decode(tickets[0]); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkTicketIssue(b *testing.B) {
	f, _ := benchTickets(b, b.N)
	defer f.close()
	f.start("a", 2)
	b.ReportAllocs()
	b.ResetTimer()
	if _, err := f.on("a").Issue("acc", b.N); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkTable writes claims through one batcher to a table that takes 5 ms for
// each transaction, with 1,000 callers. If repeat is not 0, one in repeat
// claims has an idempotency key that was claimed before.
func BenchmarkTable(b *testing.B) {
	for _, rate := range []float64{1e6, defaultMaxTransactionRate} {
		for _, repeat := range []int64{0, 10} {
			b.Run("rate="+strconv.Itoa(int(rate))+"/repeat="+strconv.Itoa(int(repeat)), func(b *testing.B) {
				f := newFleet("a")
				f.mutate = func(c *Config) { c.MaxTransactionRate = rate }
				f.start("a", 2)
				defer f.close()
				f.table.latency = 5 * time.Millisecond
				benchClaims(b, f, repeat)
			})
		}
	}
}

func benchClaims(b *testing.B, f *fleet, repeat int64) {
	var next atomic.Int64
	a, ctx := f.on("a"), context.Background()
	b.ReportAllocs()
	b.SetParallelism(100)
	start, commits := time.Now(), f.table.commits
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n := next.Add(1)
			if repeat > 0 && n%repeat == 0 {
				n -= repeat - 1
			}
			_, _ = a.Begin(ctx, keyRequest(strconv.FormatInt(n, 10)))
		}
	})
	seconds := time.Since(start).Seconds()
	b.ReportMetric(float64(b.N)/seconds, "claims/s")
	b.ReportMetric(float64(f.table.commits-commits)/seconds, "transactions/s")
}
