package pipeline

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
)

var configs = []struct {
	name   string
	config Config
}{{"without", Config{}}, {"with", defaults()}}

// pause is a pause before a request in which net/http ends its read in the background. It then
// always ends with an error, which is an allocation, and not with the next request.
const pause = 100 * time.Microsecond

// exchangeOne sends one request and reads its response without an allocation.
func exchangeOne(tb testing.TB, conn net.Conn, reader *bufio.Reader, request []byte, responseBytes int) {
	if _, err := conn.Write(request); err != nil {
		tb.Fatal(err)
	}
	if _, err := reader.Discard(responseBytes); err != nil {
		tb.Fatal(err)
	}
}

// startPlain returns a connection to a server with a handler that allocates nothing, and the
// length of its responses.
func startPlain(tb testing.TB, config Config, request []byte) (net.Conn, *bufio.Reader, int) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s := newTestServer(tb, config, func(server *http.Server) { server.Handler = handler })
	conn, err := net.Dial("tcp", s.address)
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write(request)
	qt.Assert(tb, err, qt.IsNil)
	reader := bufio.NewReader(conn)
	bytes := 0
	for line := ""; line != "\r\n"; bytes += len(line) {
		line, err = reader.ReadString('\n')
		qt.Assert(tb, err, qt.IsNil)
	}
	return conn, reader, bytes
}

// BenchmarkNotPipelined measures one request at a time, without this package and with it.
func BenchmarkNotPipelined(b *testing.B) {
	request := []byte(get("/"))
	for _, c := range configs {
		b.Run(c.name, func(b *testing.B) {
			conn, reader, bytes := startPlain(b, c.config, request)
			b.ReportAllocs()
			for b.Loop() {
				exchangeOne(b, conn, reader, request, bytes)
			}
		})
		b.Run(c.name+", paused", func(b *testing.B) {
			conn, reader, bytes := startPlain(b, c.config, request)
			b.ReportAllocs()
			for b.Loop() {
				time.Sleep(pause)
				exchangeOne(b, conn, reader, request, bytes)
			}
		})
	}
}

// TestAllocations guards against allocations for requests that are not pipelined. It compares
// the least of some rounds with the most, since on a busy machine net/http's read in the
// background sometimes ends with the next request all the same.
func TestAllocations(t *testing.T) {
	request := []byte(get("/"))
	allocations := make(map[string][]float64)
	for _, c := range configs {
		conn, reader, bytes := startPlain(t, c.config, request)
		for range 5 {
			allocations[c.name] = append(allocations[c.name], testing.AllocsPerRun(100, func() {
				time.Sleep(pause)
				exchangeOne(t, conn, reader, request, bytes)
			}))
		}
	}
	t.Logf("allocations a request: %v", allocations)
	qt.Check(t, slices.Min(allocations["with"]) <= slices.Max(allocations["without"]), qt.IsTrue, qt.Commentf("%v", allocations))
}

// BenchmarkWaiting measures how long requests wait until they are handled. On each of 10
// connections, a client sends requests at random times, on average one in 1.125 times the time
// that each takes. That time is 40 ms, a twentieth of the time measured elsewhere.
func BenchmarkWaiting(b *testing.B) {
	for _, c := range configs {
		b.Run(c.name, func(b *testing.B) {
			waits := hdrhistogram.New(1, 1e9, 3)
			latencies := hdrhistogram.New(1, 1e9, 3)
			for b.Loop() {
				s := newTestServer(b, c.config, func(server *http.Server) { server.Handler = http.HandlerFunc(serveSlowly) })
				var wg conc.WaitGroup
				var mu sync.Mutex
				for seed := range uint64(10) {
					wg.Go(func() {
						for _, sample := range sendAtRandom(s.dial(b), seed) {
							mu.Lock()
							_ = waits.RecordValue(sample.wait.Microseconds())
							_ = latencies.RecordValue(sample.latency.Microseconds())
							mu.Unlock()
						}
					})
				}
				wg.Wait()
			}
			waiting := 0.0
			for _, bar := range waits.Distribution() {
				if bar.From > takes.Microseconds()/2 {
					waiting += float64(bar.Count)
				}
			}
			b.ReportMetric(100*waiting/float64(waits.TotalCount()), "%wait>20ms")
			b.ReportMetric(float64(waits.ValueAtQuantile(50))/1000, "p50-wait-ms")
			b.ReportMetric(float64(waits.ValueAtQuantile(99))/1000, "p99-wait-ms")
			b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-latency-ms")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-latency-ms")
		})
	}
}

// takes is the time that a handler of BenchmarkWaiting takes.
const takes = 40 * time.Millisecond

// serveSlowly responds with the time at which it began, in Unix nanoseconds.
func serveSlowly(w http.ResponseWriter, _ *http.Request) {
	begun := time.Now()
	time.Sleep(takes)
	_, _ = io.WriteString(w, strconv.FormatInt(begun.UnixNano(), 10))
}

// sample is how long a request waited until it was handled, and until its response arrived.
type sample struct{ wait, latency time.Duration }

// sendAtRandom sends requests at random times and returns their times.
func sendAtRandom(c *client, seed uint64) (samples []sample) {
	const requests = 100
	sent := make(chan time.Time, requests)
	random := rand.New(rand.NewPCG(seed, 0))
	go func() {
		at := time.Now()
		for range requests {
			at = at.Add(time.Duration(random.ExpFloat64() * 1.125 * float64(takes)))
			time.Sleep(time.Until(at))
			sent <- time.Now()
			_, _ = io.WriteString(c, get("/"))
		}
	}()
	for range requests {
		body, err := c.receive()
		qt.Assert(c.t, err, qt.IsNil)
		at := <-sent
		begun, _ := strconv.ParseInt(body, 10, 64)
		samples = append(samples, sample{time.Unix(0, begun).Sub(at), time.Since(at)})
	}
	return samples
}
