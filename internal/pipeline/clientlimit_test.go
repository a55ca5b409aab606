package pipeline_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/clientlimit"
	"curranthold.example/curranthold/internal/pipeline"
)

// TestCloseDuringLargeResponse guards against a node that hangs, without being stopped, when a
// connection closes while the large response to a request behind makes progress: each waited
// for the lock of the other, and all other clients for that of the client limits.
func TestCloseDuringLargeResponse(t *testing.T) {
	const requests = "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /large HTTP/1.1\r\nHost: h\r\n\r\n"
	const other = "GET /other HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	budget := clientlimit.New(clientlimit.Limits{MemoryBytes: 64 << 20, MaxHeadBytes: 16 << 10, MaxResponseBytes: 1 << 20})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	extending, closing := make(chan struct{}), make(chan struct{})
	var once sync.Once
	mux := http.NewServeMux()
	mux.HandleFunc("/first", func(w http.ResponseWriter, _ *http.Request) {
		<-extending
		w.Header().Set("Connection", "close")
	})
	mux.HandleFunc("/large", func(w http.ResponseWriter, _ *http.Request) {
		control := http.NewResponseController(w)
		response := budget.BeginResponse(clientlimit.MinResponseBytes, func() {})
		defer response.End()
		response.Continue(func() {
			close(extending)
			<-closing
			_ = control.SetWriteDeadline(time.Now().Add(time.Second))
		})
	})
	mux.HandleFunc("/other", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{
		Handler: mux,
		ConnState: func(nc net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				once.Do(func() { close(closing) })
			}
			clientlimit.ConnState(nc, state)
		},
		ConnContext: clientlimit.ConnContext,
	}
	listener := pipeline.NewListener(clientlimit.Listen(inner, budget.Gate(0)),
		pipeline.Config{Requests: 8, BufferBytes: 16 << 10, TotalBytes: 1 << 20})
	listener.Configure(server)
	var served sync.WaitGroup
	served.Go(func() { _ = server.Serve(listener) })

	closed := exchange(t, inner.Addr().String(), requests)
	qt.Check(t, strings.HasPrefix(closed, "HTTP/1.1 200 OK\r\n"), qt.IsTrue)
	later := exchange(t, inner.Addr().String(), other)
	qt.Check(t, strings.HasPrefix(later, "HTTP/1.1 200 OK\r\n"), qt.IsTrue)
	if t.Failed() {
		return // Its locks are held for good, and so Close would wait for good.
	}
	qt.Check(t, server.Close(), qt.IsNil)
	served.Wait()
	listener.Wait()
}

// exchange sends the text and returns what the server sends until it closes the connection.
func exchange(t *testing.T, address, text string) string {
	const limit = 5 * time.Second
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(limit))
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	received, err := io.ReadAll(conn)
	qt.Check(t, err, qt.IsNil)
	return string(received)
}
