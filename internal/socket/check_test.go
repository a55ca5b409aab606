package socket

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// BenchmarkSparseWrites writes to many connections in turn, twice a second to each, as a
// node does with connections to many hosts, and reports the processor time of a write with
// its check, at both ends.
func BenchmarkSparseWrites(b *testing.B) {
	const connections, writesPerSecond = 100, 200
	conns := openConns(b, connections)
	ticker := time.NewTicker(time.Second / writesPerSecond)
	defer ticker.Stop()
	before := processorTime(b)
	for i := 0; b.Loop(); i++ {
		<-ticker.C
		_, err := conns[i%connections].Write([]byte("message"))
		qt.Assert(b, err, qt.IsNil)
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "processor-us/op")
}

// openConns opens connections whose other ends read.
func openConns(b *testing.B, n int) []net.Conn {
	listener, err := ListenConfig().Listen(b.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = listener.Close() })
	conns := make([]net.Conn, n)
	for i := range conns {
		conns[i], err = Dialer(time.Second).DialContext(b.Context(), "tcp", listener.Addr().String())
		qt.Assert(b, err, qt.IsNil)
		b.Cleanup(func() { _ = conns[i].Close() })
		accepted, err := listener.Accept()
		qt.Assert(b, err, qt.IsNil)
		go func() { _, _ = io.Copy(io.Discard, accepted) }()
	}
	return conns
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	qt.Assert(b, unix.Getrusage(unix.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestTimeToCheck checks that checks fall on common times, and none too early.
func TestTimeToCheck(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, after := range []time.Duration{0, 1, 30 * time.Millisecond, 50 * time.Millisecond, 99 * time.Millisecond} {
		now := start.Add(after)
		wait := timeToCheck(now)
		qt.Check(t, wait >= checkInterval && wait < checkInterval+checkAlignment, qt.IsTrue, qt.Commentf("%v", wait))
		qt.Check(t, now.Add(wait).UnixNano()%int64(checkAlignment), qt.Equals, int64(0))
	}
}
