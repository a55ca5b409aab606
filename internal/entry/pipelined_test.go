package entry_test

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

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/pipeline"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/verdict"
)

// heldPeers are hosts that answer calls for /lookups once release is closed, and others at
// once.
type heldPeers struct {
	release chan struct{}
	// others counts the calls that are not for /lookups.
	others atomic.Int64
}

func (p *heldPeers) Call(ctx context.Context, _, method string, args, reply any) error {
	request := exchanged(method, args)
	if request == nil {
		return nil
	}
	if strings.HasPrefix(request.Target, "/lookups") {
		select {
		case <-p.release:
		case <-ctx.Done():
			return ctx.Err()
		}
	} else {
		p.others.Add(1)
	}
	answer := ok()
	answer.ID = request.ID
	answer.Seal()
	*reply.(*call.Packed) = answer.Pack()
	return nil
}

// TestPipelinedBehindSlow sends a request behind a slow one on the same connection. One that
// must not run twice is not to start before the first is answered, and is refused as not-run
// if its deadline, counted from when it was read, passes before. Others run at once.
func TestPipelinedBehindSlow(t *testing.T) {
	tests := map[string]struct {
		path, extra  string
		releaseAfter time.Duration
		early, late  int64
		want         verdict.Verdict
	}{
		"repeatable":             {"/twice", "", 100 * time.Millisecond, 1, 1, verdict.Ran},
		"repeatable, late":       {"/twice", header.Deadline + ": 150\r\n", 400 * time.Millisecond, 1, 1, verdict.Ran},
		"non-repeatable":         {"/records", "", 100 * time.Millisecond, 0, 1, verdict.Ran},
		"non-repeatable expires": {"/records", header.Deadline + ": 150\r\n", 400 * time.Millisecond, 0, 0, verdict.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := &heldPeers{release: make(chan struct{})}
			conn := servePipelined(t, newTokenlessHandler(t, p))
			_, err := io.WriteString(conn, "GET /lookups HTTP/1.1\r\nHost: h\r\n\r\n"+
				"GET "+test.path+" HTTP/1.1\r\nHost: h\r\n"+test.extra+"\r\n")
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(test.releaseAfter)
			qt.Check(t, p.others.Load(), qt.Equals, test.early)
			close(p.release)
			reader := bufio.NewReader(conn)
			for _, want := range []verdict.Verdict{verdict.Ran, test.want} {
				response, err := http.ReadResponse(reader, nil)
				qt.Assert(t, err, qt.IsNil)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				qt.Check(t, response.Header.Get(header.Verdict), qt.Equals, want.String())
			}
			qt.Check(t, p.others.Load(), qt.Equals, test.late)
		})
	}
}

// servePipelined returns a connection to a server that reads ahead.
func servePipelined(t *testing.T, handler http.Handler) net.Conn {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener := pipeline.NewListener(inner, pipeline.Config{Requests: 8, BufferBytes: 16 << 10, TotalBytes: 1 << 20})
	server := &http.Server{Handler: handler}
	listener.Configure(server)
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
		listener.Wait()
	})
	conn, err := net.Dial("tcp", inner.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}
