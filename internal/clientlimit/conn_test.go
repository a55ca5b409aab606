package clientlimit

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testServer is an HTTP server behind a Listener.
type testServer struct {
	address string
	budget  *Budget
	// runs counts the requests that were passed to the handler.
	runs atomic.Int64
	// release ends the waiting of requests to /wait.
	release chan struct{}
}

func newTestServer(t *testing.T, limits Limits, connections int) *testServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &testServer{address: inner.Addr().String(), budget: New(limits), release: make(chan struct{})}
	server := &http.Server{
		Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.runs.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/wait" {
				<-s.release
			}
			_, _ = io.WriteString(w, "ok")
		})),
		ConnState: ConnState, ConnContext: ConnContext, MaxHeaderBytes: 32 << 10,
		ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute,
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(Listen(inner, s.budget.Gate(connections))) }()
	t.Cleanup(func() {
		qt.Check(t, server.Close(), qt.IsNil)
		qt.Check(t, <-done, qt.Equals, http.ErrServerClosed)
	})
	return s
}

func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", s.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
}

func status(t *testing.T, r *bufio.Reader) int {
	response, err := http.ReadResponse(r, nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	return response.StatusCode
}

// await waits until the use of a part satisfies the condition.
func (s *testServer) await(t *testing.T, p Part, holds func(bytes int64) bool) {
	for end := time.Now().Add(30 * time.Second); !holds(s.budget.InUse(p)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of %s in use", s.budget.InUse(p), p)
		}
	}
}

func isZero(bytes int64) bool { return bytes == 0 }

// TestConnCounts guards against a head that net/http reads and the budget does not know,
// or the other way around: after the end of a body with many lines, and for a head that
// arrived behind another request.
func TestConnCounts(t *testing.T) {
	s := newTestServer(t, Limits{MemoryBytes: testMemory, MaxHeadBytes: 32 << 10}, 10)
	conn, r := s.dial(t)
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n")
	s.await(t, Heads, func(bytes int64) bool { return bytes == headCost(25, 2) })
	send(t, conn, "\r\n")
	qt.Check(t, status(t, r), qt.Equals, http.StatusOK)
	s.await(t, Heads, isZero)
	body := strings.Repeat("x\n", 1000)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	send(t, conn, body)
	qt.Check(t, status(t, r), qt.Equals, http.StatusOK)
	s.await(t, Heads, isZero)
	lines := strings.Repeat("a:\r\n", 200)
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n"+lines)
	qt.Check(t, status(t, r), qt.Equals, http.StatusOK)
	send(t, conn, "b:\r\n")
	s.await(t, Heads, func(bytes int64) bool { return bytes > 0 })
	send(t, conn, "\r\n")
	qt.Check(t, status(t, r), qt.Equals, http.StatusOK)
	s.await(t, Heads, isZero)
	qt.Check(t, conn.Close(), qt.IsNil)
	s.await(t, Connections, isZero)
}

// TestConnPipelinedHead guards against a head that arrives while another request is in
// progress and is not counted when it is read.
func TestConnPipelinedHead(t *testing.T) {
	s := newTestServer(t, Limits{MemoryBytes: testMemory, MaxHeadBytes: 32 << 10}, 10)
	conn, r := s.dial(t)
	send(t, conn, "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	before := pipelined(t)
	lines := strings.Repeat("a:\r\n", 500)
	send(t, conn, "xGET / HTTP/1.1\r\nHost: h\r\n"+lines)
	time.Sleep(50 * time.Millisecond)
	close(s.release)
	qt.Check(t, status(t, r), qt.Equals, http.StatusOK)
	s.await(t, Heads, func(bytes int64) bool { return bytes >= 500*lineBytes })
	send(t, conn, "\r\n")
	qt.Check(t, status(t, r), qt.Equals, http.StatusOK)
	s.await(t, Heads, isZero)
	qt.Check(t, pipelined(t), qt.Equals, before+1)
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	qt.Check(t, status(t, r), qt.Equals, http.StatusOK)
	qt.Check(t, pipelined(t), qt.Equals, before+1, qt.Commentf("this one did not wait"))
}

// pipelined returns how many pipelined requests were counted.
func pipelined(t *testing.T) int {
	var values struct{ Count int }
	qt.Assert(t, json.Unmarshal([]byte(metricPipelined.String()), &values), qt.IsNil)
	return values.Count
}

// TestConnHeadsInOneRead guards against a head that arrives in one read with the request
// before it and is not counted when it is read.
func TestConnHeadsInOneRead(t *testing.T) {
	s := newTestServer(t, Limits{MemoryBytes: testMemory, MaxHeadBytes: 32 << 10}, 10)
	conn, r := s.dial(t)
	lines := strings.Repeat("a:\r\n", 500)
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n"+lines)
	qt.Check(t, status(t, r), qt.Equals, http.StatusOK)
	s.await(t, Heads, func(bytes int64) bool { return bytes >= 500*lineBytes })
	time.Sleep(50 * time.Millisecond)
	qt.Check(t, s.budget.InUse(Heads) >= 500*lineBytes, qt.IsTrue)
	send(t, conn, "\r\n")
	qt.Check(t, status(t, r), qt.Equals, http.StatusOK)
	s.await(t, Heads, isZero)
}

// TestRefusedHead guards against a refusal that is not true: the most expensive head gets
// 503, and its request does not run.
func TestRefusedHead(t *testing.T) {
	limits := Limits{MemoryBytes: 1 << 20}
	s := newTestServer(t, limits, 10)
	ordinary, ordinaryReader := s.dial(t)
	send(t, ordinary, "GET / HTTP/1.1\r\n")
	conn, r := s.dial(t)
	go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 5000)) }()
	qt.Check(t, status(t, r), qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, s.runs.Load(), qt.Equals, int64(0))
	send(t, ordinary, "Host: h\r\n\r\n")
	qt.Check(t, status(t, ordinaryReader), qt.Equals, http.StatusOK)
}

// TestTooManyConnections guards against connections that are left and keep new ones from
// being accepted.
func TestTooManyConnections(t *testing.T) {
	const limit = 5
	s := newTestServer(t, Limits{}, limit)
	for range 3 * limit {
		conn, r := s.dial(t)
		send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		qt.Check(t, status(t, r), qt.Equals, http.StatusOK)
	}
	s.await(t, Connections, func(bytes int64) bool { return bytes == limit*connectionBytes })
}
