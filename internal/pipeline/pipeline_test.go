package pipeline

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitLimit bounds the waits of the tests.
const waitLimit = 10 * time.Second

// testServer is a server whose handler is given by the path of each request.
type testServer struct {
	server   *http.Server
	listener *Listener
	address  string
	served   sync.WaitGroup

	mu   sync.Mutex
	runs map[string]int
	// gates hold the handlers of paths that begin with /gate until they are opened.
	gates map[string]chan struct{}
	// ended receives the path of each handler whose context ended while it was held.
	ended chan string
}

func newTestServer(t testing.TB, config Config, changes ...func(*http.Server)) *testServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &testServer{
		address: inner.Addr().String(), runs: make(map[string]int),
		gates: make(map[string]chan struct{}), ended: make(chan string, 1000),
	}
	s.server = &http.Server{Handler: s, IdleTimeout: waitLimit}
	for _, change := range changes {
		change(s.server)
	}
	listener := inner
	if config.Requests > 0 {
		s.listener = NewListener(inner, config)
		s.listener.Configure(s.server)
		listener = s.listener
	}
	s.served.Go(func() { _ = s.server.Serve(listener) })
	t.Cleanup(func() {
		_ = s.server.Close()
		s.served.Wait()
		if s.listener == nil {
			return
		}
		s.listener.Wait()
		s.eventually(t, "all memory is released", func() bool { return s.listener.reserved.Load() == 0 })
	})
	return s
}

// defaults are bounds that the tests don't reach.
func defaults() Config { return Config{Requests: 8, BufferBytes: 16 << 10, TotalBytes: 1 << 20} }

// ServeHTTP responds with the path.
func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	s.count(path)
	query := r.URL.Query()
	if query.Has("turn") && AwaitTurn(r.Context()) != nil {
		s.ended <- path
		return
	}
	s.count("begun " + path)
	if strings.HasPrefix(path, "/gate") {
		select {
		case <-s.gate(path):
		case <-r.Context().Done():
			s.ended <- path
		}
	}
	if query.Has("sleep") {
		d, _ := time.ParseDuration(query.Get("sleep"))
		time.Sleep(d)
	}
	if query.Has("abort") {
		panic(http.ErrAbortHandler)
	}
	if query.Has("close") {
		w.Header().Set("Connection", "close")
	}
	body, _ := io.ReadAll(r.Body)
	size, _ := strconv.Atoi(query.Get("size"))
	_, _ = io.WriteString(w, path+string(body)+strings.Repeat("x", size))
}

func (s *testServer) count(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[path]++
}

func (s *testServer) ran(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[path]
}

func (s *testServer) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *testServer) open(path string) { close(s.gate(path)) }

func (s *testServer) eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", waitLimit, what)
		}
	}
}

func (s *testServer) awaitEnded(t testing.TB, n int) []string {
	t.Helper()
	var paths []string
	for range n {
		select {
		case path := <-s.ended:
			paths = append(paths, path)
		case <-time.After(waitLimit):
			t.Fatalf("only %v ended, want %d", paths, n)
		}
	}
	return paths
}

// client sends raw requests on one connection.
type client struct {
	net.Conn
	t      testing.TB
	reader *bufio.Reader
}

func (s *testServer) dial(t testing.TB) *client {
	conn, err := net.Dial("tcp", s.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(3 * waitLimit))
	return &client{conn, t, bufio.NewReader(conn)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func (c *client) send(requests ...string) {
	c.t.Helper()
	_, err := io.WriteString(c, strings.Join(requests, ""))
	qt.Assert(c.t, err, qt.IsNil)
}

// receive reads one response and returns its body.
func (c *client) receive() (string, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func (c *client) expect(bodies ...string) {
	c.t.Helper()
	for _, want := range bodies {
		got, err := c.receive()
		qt.Assert(c.t, err, qt.IsNil)
		qt.Assert(c.t, got, qt.Equals, want)
	}
}

// expectEnd checks that the connection closes without a reset and without more bytes.
func (c *client) expectEnd() {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	qt.Check(c.t, err, qt.IsNil)
	qt.Check(c.t, string(rest), qt.Equals, "")
}

// TestOrder guards against responses in another order than the requests, also if the later
// requests end first, and checks that requests run at once.
func TestOrder(t *testing.T) {
	tests := map[string]func(c *client, requests []string){
		"at once": func(c *client, requests []string) { c.send(requests...) },
		"one by one": func(c *client, requests []string) {
			for _, request := range requests {
				c.send(request)
				time.Sleep(5 * time.Millisecond)
			}
		},
		"byte by byte": func(c *client, requests []string) {
			for _, b := range strings.Join(requests, "") {
				c.send(string(b))
			}
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, defaults())
			c := s.dial(t)
			send(c, []string{get("/gate1"), get("/gate2?size=20000"), get("/gate3")})
			s.eventually(t, "all run", func() bool { return s.ran("/gate1")+s.ran("/gate2")+s.ran("/gate3") == 3 })
			s.open("/gate3")
			time.Sleep(5 * time.Millisecond)
			s.open("/gate2")
			time.Sleep(5 * time.Millisecond)
			s.open("/gate1")
			c.expect("/gate1", "/gate2"+strings.Repeat("x", 20000), "/gate3")
			c.send(get("/later"))
			c.expect("/later")
		})
	}
}

// TestClosingResponse guards against responses behind one that closes the connection, and
// against handlers that go on after it. The responses before it arrive without a reset.
func TestClosingResponse(t *testing.T) {
	tests := map[string]struct {
		second string
		want   []string
		// atOnce is set if those behind end before the first is answered.
		atOnce bool
	}{
		"connection: close": {"/gate2?close", []string{"/gate1", "/gate2"}, false},
		"aborted handler":   {"/gate2?abort", []string{"/gate1"}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, defaults())
			dropped := metricDropped.Value()
			c := s.dial(t)
			c.send(get("/gate1"), get(test.second), get("/gate3"), get("/gate4"))
			s.eventually(t, "all run", func() bool { return s.ran("/gate4") == 1 && s.ran("/gate3") == 1 })
			s.open("/gate2")
			awaitDropped := func() {
				qt.Check(t, s.awaitEnded(t, 2), qt.ContentEquals, []string{"/gate3", "/gate4"})
			}
			if test.atOnce {
				awaitDropped()
			}
			time.Sleep(20 * time.Millisecond)
			s.open("/gate1")
			c.expect(test.want...)
			c.expectEnd()
			if !test.atOnce {
				awaitDropped()
			}
			qt.Check(t, metricDropped.Value()-dropped, qt.Equals, int64(2))
		})
	}
}

// TestAbortBehindRunning guards against the end of a request because one behind it closes
// the connection.
func TestAbortBehindRunning(t *testing.T) {
	for name, first := range map[string]string{"stays open": "/gate1", "closes too": "/gate1?close"} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, defaults())
			c := s.dial(t)
			c.send(get(first), get("/second?abort"), get("/third"))
			s.eventually(t, "the second has run", func() bool { return s.ran("/second") == 1 })
			time.Sleep(50 * time.Millisecond)
			qt.Check(t, len(s.ended), qt.Equals, 0)
			s.open("/gate1")
			c.expect("/gate1")
			c.expectEnd()
		})
	}
}

// TestNoReset guards against a reset that takes written responses from a client which goes on
// to send after a response closed the connection.
func TestNoReset(t *testing.T) {
	s := newTestServer(t, defaults())
	c := s.dial(t)
	// Most of the response stays in the server's kernel, where a reset drops it.
	qt.Assert(t, c.Conn.(*net.TCPConn).SetReadBuffer(64<<10), qt.IsNil)
	const size = 1_000_000
	c.send(get(fmt.Sprintf("/gate1?close&size=%d", size)), get("/2"))
	s.eventually(t, "the second runs", func() bool { return s.ran("/2") == 1 })
	c.send(strings.Repeat(get("/more"), 1500))
	s.open("/gate1")
	time.Sleep(50 * time.Millisecond)
	c.expect("/gate1" + strings.Repeat("x", size))
	c.expectEnd()
}

// TestClientLeaves guards against handlers that go on for a client that has left.
func TestClientLeaves(t *testing.T) {
	tests := map[string]struct {
		behind string
		leave  func(c *client)
	}{
		"close": {"", func(c *client) { _ = c.Close() }},
		"reset": {"", func(c *client) {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}},
		"close with a request that is not read ahead": {post("/p", "x"), func(c *client) { _ = c.Close() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, defaults())
			c := s.dial(t)
			c.send(get("/gate1"), get("/gate2"), get("/gate3"), test.behind)
			s.eventually(t, "all run", func() bool { return s.ran("/gate1")+s.ran("/gate2")+s.ran("/gate3") == 3 })
			test.leave(c)
			qt.Check(t, s.awaitEnded(t, 3), qt.ContentEquals, []string{"/gate1", "/gate2", "/gate3"})
		})
	}
}

// TestShutdown guards against responses that are lost or out of order when the server shuts
// down: what was answered is a beginning of what was asked, and the connection ends without a
// reset.
func TestShutdown(t *testing.T) {
	for name, firstAnswered := range map[string]bool{"first runs": false, "first answered": true} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, defaults())
			c := s.dial(t)
			c.send(get("/gate1"), get("/gate2"), get("/gate3"))
			s.eventually(t, "all run", func() bool { return s.ran("/gate1")+s.ran("/gate2")+s.ran("/gate3") == 3 })
			want := []string{"/gate1"}
			if firstAnswered {
				s.open("/gate1")
				c.expect("/gate1")
				want = []string{"/gate2"}
			}
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			shut := make(chan error)
			go func() { shut <- s.server.Shutdown(ctx) }()
			time.Sleep(50 * time.Millisecond)
			s.open("/gate3")
			s.open("/gate2")
			if !firstAnswered {
				s.open("/gate1")
			}
			c.expect(want...) // The server adds Connection: close.
			c.expectEnd()
			qt.Check(t, <-shut, qt.IsNil)
		})
	}
}

// TestAwaitTurn guards against a request that starts before those sent earlier are answered,
// although the client sends it again if one of them closes the connection.
func TestAwaitTurn(t *testing.T) {
	tests := map[string]struct {
		first  string
		begins int
		want   []string
	}{
		"answered": {"/gate1", 1, []string{"/gate1", "/second"}},
		"closed":   {"/gate1?close", 0, []string{"/gate1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, defaults())
			c := s.dial(t)
			c.send(get(test.first), get("/second?turn"))
			s.eventually(t, "the second is read", func() bool { return s.ran("/second") == 1 })
			time.Sleep(20 * time.Millisecond)
			qt.Check(t, s.ran("begun /second"), qt.Equals, 0)
			s.open("/gate1")
			c.expect(test.want...)
			if test.begins == 0 {
				c.expectEnd()
				s.awaitEnded(t, 1)
			}
			qt.Check(t, s.ran("begun /second"), qt.Equals, test.begins)
		})
	}
}

// TestAwaitTurnEnds checks that AwaitTurn ends with its context, and at once without a
// connection of this package.
func TestAwaitTurnEnds(t *testing.T) {
	qt.Check(t, AwaitTurn(context.Background()), qt.IsNil)
	c := newConn(NewListener(nil, defaults()), nil)
	c.queue = append(c.queue, &turn{conn: c})
	ctx, cancel := context.WithTimeout(connContext(context.Background(), c, nil), 10*time.Millisecond)
	defer cancel()
	qt.Check(t, AwaitTurn(ctx), qt.ErrorIs, context.DeadlineExceeded)
}

// TestNotReadAhead checks that requests that are not safe, or whose end is not clear, run
// only when all earlier ones are answered, and that the connection goes on.
func TestNotReadAhead(t *testing.T) {
	tests := map[string]struct{ request, body string }{
		"post":          {post("/second", "body"), "/secondbody"},
		"get with body": {strings.Replace(post("/second", "body"), "POST", "GET", 1), "/secondbody"},
		"chunked":       {"POST /second HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n", "/secondb"},
		"bare newlines": {"GET /second HTTP/1.1\nHost: h\n\n", "/second"},
		"folded line":   {"GET /second HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n 2\r\n\r\n", "/second"},
		"expect":        {"GET /second HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n", "/second"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, defaults())
			c := s.dial(t)
			c.send(get("/gate1"), get("/gate0"), test.request, get("/third"))
			s.eventually(t, "the first run", func() bool { return s.ran("/gate1")+s.ran("/gate0") == 2 })
			time.Sleep(20 * time.Millisecond)
			s.open("/gate1")
			c.expect("/gate1")
			time.Sleep(20 * time.Millisecond)
			qt.Check(t, s.ran("/second"), qt.Equals, 0)
			s.open("/gate0")
			c.expect("/gate0", test.body, "/third")
			qt.Check(t, s.ran("/second"), qt.Equals, 1)
		})
	}
}

// TestBounds checks the bounds on the requests of a connection and on the memory of all.
func TestBounds(t *testing.T) {
	tests := map[string]struct {
		config Config
		runs   int
	}{
		"requests":     {Config{Requests: 2, BufferBytes: 16 << 10, TotalBytes: 1 << 20}, 3},
		"total":        {Config{Requests: 8, BufferBytes: 16 << 10, TotalBytes: firstBufferBytes + streamBytes + maxPartialBytes}, 2},
		"no memory":    {Config{Requests: 8, BufferBytes: 16 << 10, TotalBytes: 1}, 1},
		"not a buffer": {Config{Requests: 8, BufferBytes: 1, TotalBytes: 1 << 20}, 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, test.config)
			refused := metricRefused.Value()
			c := s.dial(t)
			var want []string
			for i := range 6 {
				path := fmt.Sprintf("/gate%d", i)
				want = append(want, path)
				c.send(get(path))
				time.Sleep(10 * time.Millisecond)
			}
			running := func() (n int) {
				for _, path := range want {
					n += s.ran(path)
				}
				return n
			}
			s.eventually(t, "as many run as the bounds allow", func() bool { return running() == test.runs })
			time.Sleep(20 * time.Millisecond)
			qt.Check(t, running(), qt.Equals, test.runs)
			if test.runs < len(want) {
				qt.Check(t, metricRefused.Value() > refused, qt.IsTrue)
			}
			for _, path := range want {
				s.open(path)
			}
			c.expect(want...)
		})
	}
}

// TestTimeouts checks that the idle timeout counts from the last response, that a header
// timeout ends a connection, and that waiting behind others is not idle.
func TestTimeouts(t *testing.T) {
	const idle = 150 * time.Millisecond
	s := newTestServer(t, defaults(), func(server *http.Server) { server.IdleTimeout = idle })
	c := s.dial(t)
	c.send(get("/gate1"), get("/gate2"))
	s.eventually(t, "both run", func() bool { return s.ran("/gate1")+s.ran("/gate2") == 2 })
	s.open("/gate1")
	c.expect("/gate1")
	time.Sleep(3*idle + idle*7/10)
	qt.Check(t, len(s.ended), qt.Equals, 0)
	s.open("/gate2")
	c.expect("/gate2")
	answered := time.Now()
	c.expectEnd()
	qt.Check(t, time.Since(answered) > idle/2, qt.IsTrue)
	qt.Check(t, time.Since(answered) < 10*idle, qt.IsTrue, qt.Commentf("%v", time.Since(answered)))
}

// TestWriteDeadline checks that the time for writing a response counts from its turn.
func TestWriteDeadline(t *testing.T) {
	var second atomic.Int64
	s := newTestServer(t, defaults(), func(server *http.Server) {
		handler := server.Handler
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/second" {
				err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
				second.Add(1)
				qt.Check(t, err, qt.IsNil)
			}
			handler.ServeHTTP(w, r)
		})
	})
	c := s.dial(t)
	c.send(get("/gate1"), get("/second?size=50000"))
	s.eventually(t, "the second runs", func() bool { return second.Load() == 1 })
	time.Sleep(300 * time.Millisecond)
	s.open("/gate1")
	c.expect("/gate1", "/second"+strings.Repeat("x", 50000))
}

// TestSlowReader checks that a client that does not read ends only its own connection, and
// that its requests free their memory.
func TestSlowReader(t *testing.T) {
	s := newTestServer(t, defaults(), func(server *http.Server) { server.WriteTimeout = 200 * time.Millisecond })
	slow := s.dial(t)
	slow.send(get("/1?size=30000000"), get("/2"), get("/3"))
	c := s.dial(t)
	c.send(get("/4"), get("/5"))
	c.expect("/4", "/5")
	s.eventually(t, "the slow client's memory is released", func() bool { return s.listener.reserved.Load() == 0 })
}

// TestManyConnections checks that connections don't mix their responses.
func TestManyConnections(t *testing.T) {
	s := newTestServer(t, defaults())
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			c := s.dial(t)
			var want []string
			for j := range 30 {
				path := fmt.Sprintf("/%d-%d", i, j)
				c.send(get(path + "?sleep=" + strconv.Itoa(j%3) + "ms"))
				want = append(want, path)
			}
			for _, path := range want {
				got, err := c.receive()
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, got, qt.Equals, path)
			}
		})
	}
	wg.Wait()
}

// TestHooks checks that hooks which the server had before see the inner connections, active
// while any of their requests is not answered.
func TestHooks(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var mu sync.Mutex
	var states []string
	release := make(chan struct{})
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }),
		ConnState: func(nc net.Conn, state http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			states = append(states, fmt.Sprintf("%T %v", nc, state))
		},
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			_, ok := nc.(*net.TCPConn)
			qt.Check(t, ok, qt.IsTrue)
			return ctx
		},
	}
	listener := NewListener(inner, defaults())
	listener.Configure(server)
	s := &testServer{address: inner.Addr().String()}
	s.served.Go(func() { _ = server.Serve(listener) })
	c := s.dial(t)
	ahead := metricAhead.Value()
	c.send(get("/1"), get("/2"), get("/3"))
	s.eventually(t, "two are read ahead", func() bool { return metricAhead.Value() == ahead+2 })
	close(release)
	c.expect("", "", "")
	_ = c.Close()
	s.eventually(t, "the connection is closed", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(states) == 4
	})
	qt.Check(t, states, qt.DeepEquals, []string{
		"*net.TCPConn new", "*net.TCPConn active", "*net.TCPConn idle", "*net.TCPConn closed",
	})
	_ = server.Close()
	s.served.Wait()
	listener.Wait()
}

// TestCloseAtStart guards against a data race between the first Accept and Close.
func TestCloseAtStart(t *testing.T) {
	for range 200 {
		s := newTestServer(t, defaults())
		qt.Assert(t, s.server.Shutdown(context.Background()), qt.IsNil)
	}
}

// TestStopped checks that a listener that was closed hands no more requests over and that its
// connections serve them in turn.
func TestStopped(t *testing.T) {
	s := newTestServer(t, defaults())
	c := s.dial(t)
	c.send(get("/gate1"))
	s.eventually(t, "the first runs", func() bool { return s.ran("/gate1") == 1 })
	qt.Check(t, s.listener.Close(), qt.IsNil)
	s.served.Wait()
	c.send(get("/2"), get("/3"))
	time.Sleep(20 * time.Millisecond)
	qt.Check(t, s.ran("/2"), qt.Equals, 0)
	s.open("/gate1")
	c.expect("/gate1", "/2", "/3")
	_, err := s.listener.Accept()
	qt.Check(t, errors.Is(err, net.ErrClosed), qt.IsTrue)
}
