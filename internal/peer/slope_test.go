package peer_test

import (
	"expvar"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/peer"
)

// Owner is the receiver that the benchmarks register and call. It answers each call
// with the header and body of its request.
type Owner struct{}

func (Owner) Call(args *call.Request, reply *call.Answer) error {
	*reply = call.Answer{ID: args.ID, Status: http.StatusOK, Header: args.Header, Body: args.Body}
	reply.Seal()
	return nil
}

// Exchange is Call with packed messages.
func (o Owner) Exchange(args, reply *call.Packed) error {
	request, err := args.Request()
	if err != nil {
		return err
	}
	var answer call.Answer
	_ = o.Call(request, &answer)
	*reply = answer.Pack()
	return nil
}

// exchange sends a packed request, as entries do, and decodes the answer.
func exchange(b *testing.B, pool *peer.Pool, address string, request *call.Request) {
	packed, reply := request.Pack(), call.Packed{}
	qt.Assert(b, pool.Call(b.Context(), address, "Owner.Exchange", &packed, &reply), qt.IsNil)
	_, err := reply.Answer()
	qt.Assert(b, err, qt.IsNil)
}

func serveOwner(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	server := peer.NewServer(secret, new(recordedGenerations))
	qt.Assert(b, server.Register("Owner", Owner{}), qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { qt.Check(b, server.Close(), qt.IsNil) })
	return listener.Addr().String()
}

func newRequest(body int) *call.Request {
	return &call.Request{
		ID: "0123456789abcdef.1", RequestID: "0123456789abcdef", Service: "service-17",
		Method: http.MethodGet, Target: "/lookups/today?tower=17",
		Header:  http.Header{"Accept": {"application/json"}, "Content-Type": {"application/json"}},
		Body:    make([]byte, body),
		Account: "account-17", KeyName: "key-17", Weight: 100, Route: "lookups",
		Remaining: 900 * time.Millisecond, ExtraAttempts: 2,
	}
}

// BenchmarkCall sends a call and receives its answer over an open loopback
// connection. The reported bytes are those of the request and response frames.
func BenchmarkCall(b *testing.B) {
	for _, body := range []int{0, 1 << 10, 16 << 10} {
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			address := serveOwner(b)
			pool := peer.NewPool(secret, "127.0.0.1:7", new(recordedGenerations))
			b.Cleanup(func() { _ = pool.Close() })
			request := newRequest(body)
			send := func() {
				err := pool.Call(b.Context(), address, "Owner.Call", request, new(call.Answer))
				qt.Assert(b, err, qt.IsNil)
			}
			send()
			sent := expvar.Get("curranthold-peer").(*expvar.Map).Get("owner-sent-bytes").(*expvar.Int)
			before := sent.Value()
			b.ReportAllocs()
			for b.Loop() {
				send()
			}
			b.ReportMetric(float64(sent.Value()-before)/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkCallPacked is BenchmarkCall with packed messages, which entries use.
func BenchmarkCallPacked(b *testing.B) {
	for _, body := range []int{0, 1 << 10, 16 << 10} {
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			address := serveOwner(b)
			pool := peer.NewPool(secret, "127.0.0.1:7", new(recordedGenerations))
			b.Cleanup(func() { _ = pool.Close() })
			request := newRequest(body)
			exchange(b, pool, address, request)
			b.ReportAllocs()
			for b.Loop() {
				exchange(b, pool, address, request)
			}
		})
	}
}

// BenchmarkSlopeConnections opens connections to one node and sends one packed call over
// each. It reports the heap and stack memory that both ends of a connection take.
func BenchmarkSlopeConnections(b *testing.B) {
	for _, n := range []int{16, 100, 400} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(measureConnections(b, n), "memory-B/connection")
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/connection")
		})
	}
}

func measureConnections(b *testing.B, n int) float64 {
	address := serveOwner(b)
	before := memoryInUse()
	pools := make([]*peer.Pool, n)
	for i := range pools {
		pools[i] = peer.NewPool(secret, "127.0.0.1:7", new(recordedGenerations))
		exchange(b, pools[i], address, newRequest(0))
	}
	used := memoryInUse() - before
	for _, pool := range pools {
		qt.Assert(b, pool.Close(), qt.IsNil)
	}
	return float64(used) / float64(n)
}

func memoryInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
