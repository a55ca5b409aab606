package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/socket"
)

// TestDrainPipelined drains a node while a caller's pipelined requests run. Those received
// before are answered in order. The first response that asks the caller to close ends the
// connection, without a reset, and the requests behind it are cancelled.
func TestDrainPipelined(t *testing.T) {
	for name, state := range map[string]drainState{"serving": drainServing, "refusing": drainRefusing} {
		t.Run(name, func(t *testing.T) {
			release, cancelled := make(chan struct{}), make(chan string, 10)
			var running atomic.Int64
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				running.Add(1)
				select {
				case <-release:
				case <-r.Context().Done():
					cancelled <- r.URL.Path
				}
				_, _ = io.WriteString(w, r.URL.Path)
			})
			calls := &drainHandler{handler: handler, refusal: handler}
			n := new(Node)
			n.settings.Limits.PipelinedRequests = 8
			var err error
			n.listeners.caller, err = openBacklog(socket.ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0"))
			qt.Assert(t, err, qt.IsNil)
			server := n.serveCallers(calls)

			conn, err := net.Dial("tcp", n.listeners.caller.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			send := func(paths string, want int64) {
				for path := range strings.FieldsSeq(paths) {
					_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
					qt.Assert(t, err, qt.IsNil)
				}
				for end := time.Now().Add(5 * time.Second); running.Load() < want && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				qt.Assert(t, running.Load(), qt.Equals, want)
			}
			send("/1 /2 /3", 3)
			calls.setState(state)
			send("/4 /5", 5)
			close(release)

			reader := bufio.NewReader(conn)
			for _, want := range []string{"/1", "/2", "/3", "/4"} {
				response, err := http.ReadResponse(reader, nil)
				qt.Assert(t, err, qt.IsNil)
				body, err := io.ReadAll(response.Body)
				qt.Check(t, err, qt.IsNil)
				_ = response.Body.Close()
				qt.Check(t, string(body), qt.Equals, want)
				qt.Check(t, response.Close, qt.Equals, want == "/4")
			}
			rest, err := io.ReadAll(reader)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, len(rest), qt.Equals, 0)

			n.listeners.caller.drainBacklog()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			qt.Check(t, server.Shutdown(ctx), qt.IsNil)
			n.pipelined.Wait()
			n.wg.Wait()
		})
	}
}
