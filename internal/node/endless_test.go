package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/standin"
)

// TestCallersWithoutEnd has a hundred callers send a request that never ends. The node
// must close each connection and need little memory.
func TestCallersWithoutEnd(t *testing.T) {
	const (
		callers   = 100
		maxMemory = 8 << 20
	)
	tests := map[string]struct{ begin, forever string }{
		"request line":    {"GET /", "x"},
		"header line":     {"GET / HTTP/1.1\r\nX-Long: ", "x"},
		"header lines":    {"GET / HTTP/1.1\r\n", "X-Many: 1\r\n"},
		"chunk extension": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":         {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-T: 1\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			n := new(Node)
			server := n.serve(listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
			}), callerConnections)
			defer func() { _ = server.Close() }()
			before := standin.LiveMemory()
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() { sendForever(t, listener.Addr().String(), test.begin, test.forever) })
			}
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			more := standin.PeakMemory(before, done)
			t.Logf("%.1f MB more at most", float64(more)/(1<<20))
			qt.Check(t, more < maxMemory, qt.IsTrue, qt.Commentf("%d bytes", more))
		})
	}
}

// sendForever sends begin and then forever, over and over, until the node closes the
// connection. It fails the test if that takes too long.
func sendForever(t *testing.T, address, begin, forever string) {
	conn, err := net.Dial("tcp", address)
	if !qt.Check(t, err, qt.IsNil) {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * headerTimeout))
	_, err = io.WriteString(conn, begin)
	for chunk := []byte(strings.Repeat(forever, 4096/len(forever))); err == nil; {
		_, err = conn.Write(chunk)
	}
	var failure net.Error
	qt.Check(t, errors.As(err, &failure) && failure.Timeout(), qt.IsFalse, qt.Commentf("not closed by the node: %v", err))
}
