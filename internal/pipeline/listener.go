// Package pipeline serves pipelined requests, those that a client sends before an earlier
// one is answered, with an unchanged http.Server. It wraps a listener and its connections.
//
// While a handler runs, net/http reads a single byte in the background, to notice that the
// client left. A wrapped connection uses that call to read the heads of the requests behind.
// Each becomes a connection of its own, a stream, which the listener hands to the same
// server. What a stream writes waits until all responses before it are complete.
//
// A connection without pipelined requests passes everything through: it costs no goroutine,
// no copy and no allocation a request.
package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

const (
	// streamBytes is the memory that a request read ahead costs beside its head: two
	// buffers of 4 KiB and a goroutine of net/http.
	streamBytes = 16 << 10
	// handOverLimit is the number of streams that may wait for the server's accept loop.
	handOverLimit = 256
)

// Config contains the bounds of a listener.
type Config struct {
	// Requests is the number of requests that are read ahead on one connection.
	Requests int
	// BufferBytes bounds the bytes of one connection that are read ahead and not yet
	// handed on, and so the size of a head.
	BufferBytes int
	// TotalBytes bounds the memory of what is read ahead on all connections together.
	TotalBytes int64
}

// Listener wraps a listener. Its hooks must be set in the http.Server that uses it.
type Listener struct {
	inner  net.Listener
	config Config
	// reserved is the part of TotalBytes that is in use.
	reserved atomic.Int64
	// nextState is the hook that the server had before Configure.
	nextState func(net.Conn, http.ConnState)
	accepted  chan acceptResult
	streams   chan *stream
	done      chan struct{}
	// accepting waits for the goroutine that accepts connections.
	accepting conc.WaitGroup

	mu               sync.Mutex
	started, stopped bool
	// lingering is the number of connections that are being closed.
	lingering int
	closed    sync.Cond
}

type acceptResult struct {
	conn net.Conn
	err  error
}

// NewListener returns a listener that accepts the connections of inner and the requests that
// are read ahead on them.
func NewListener(inner net.Listener, config Config) *Listener {
	l := &Listener{
		inner: inner, config: config, accepted: make(chan acceptResult),
		streams: make(chan *stream, handOverLimit), done: make(chan struct{}),
	}
	l.closed.L = &l.mu
	return l
}

// Configure sets the hooks of the server that serves this listener. Hooks that the server has
// are called with the connections of the inner listener. For them, a connection is active while
// any of its requests is not answered.
func (l *Listener) Configure(server *http.Server) {
	l.nextState = server.ConnState
	next := server.ConnContext
	server.ConnState = l.connState
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return connContext(ctx, nc, next)
	}
}

// tellState calls the server's own hook for a connection of the inner listener.
func (l *Listener) tellState(inner net.Conn, state http.ConnState) {
	if l.nextState != nil {
		l.nextState(inner, state)
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.start()
	select {
	case s := <-l.streams:
		return s, nil
	case result := <-l.accepted:
		if result.err == nil {
			return newConn(l, result.conn), nil
		}
		if !isTemporary(result.err) {
			l.stop()
		}
		return nil, result.err
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// start begins to accept connections, unless the listener is closed.
func (l *Listener) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.started && !l.stopped {
		l.started = true
		l.accepting.Go(l.acceptAll)
	}
}

// isTemporary reports whether an http.Server accepts again after the error.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

func (l *Listener) acceptAll() {
	for {
		conn, err := l.inner.Accept()
		select {
		case l.accepted <- acceptResult{conn, err}:
		case <-l.done:
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil && !isTemporary(err) {
			return
		}
	}
}

// stop ends the handing over of streams. Those that no one has accepted end unanswered.
func (l *Listener) stop() {
	l.mu.Lock()
	first := !l.stopped
	l.stopped = true
	l.mu.Unlock()
	if !first {
		return
	}
	close(l.done)
	for {
		select {
		case s := <-l.streams:
			_ = s.Close()
		default:
			return
		}
	}
}

// handOver gives a stream to the accept loop. It returns false if it can't at once.
func (l *Listener) handOver(s *stream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	select {
	case l.streams <- s:
		return true
	default:
		return false
	}
}

// Close implements net.Listener. Connections stay open.
func (l *Listener) Close() error {
	err := l.inner.Close()
	l.stop()
	l.accepting.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil // The inner listener may end by itself.
	}
	return err
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// Wait waits until the connections that the server has closed are closed. That takes at most
// lingerTimeout longer than the server needs to close them.
func (l *Listener) Wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.lingering > 0 {
		l.closed.Wait()
	}
}

// closeLater runs the function, which closes a connection, in the background.
func (l *Listener) closeLater(closeConn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering++
	go func() {
		closeConn()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lingering--
		l.closed.Broadcast()
	}()
}

// reserve takes n bytes of the total, and reports whether they were left.
func (l *Listener) reserve(n int) bool {
	if l.reserved.Add(int64(n)) <= l.config.TotalBytes {
		return true
	}
	l.reserved.Add(-int64(n))
	return false
}

func (l *Listener) release(n int) { l.reserved.Add(-int64(n)) }

// connState follows the responses of the server.
func (l *Listener) connState(nc net.Conn, state http.ConnState) {
	switch c := nc.(type) {
	case *conn:
		c.setState(state)
	case *stream:
		if state == http.StateIdle {
			c.complete()
		}
	}
}

type turnKey struct{}

// connContext makes the turn of a connection's requests known to AwaitTurn.
func connContext(ctx context.Context, nc net.Conn, next func(context.Context, net.Conn) context.Context) context.Context {
	var t *turn
	switch c := nc.(type) {
	case *conn:
		t = &c.own
	case *stream:
		t = &c.turn
	}
	if next != nil {
		ctx = next(ctx, t.conn.Conn)
	}
	return context.WithValue(ctx, turnKey{}, t)
}

// AwaitTurn waits until all requests that the client sent earlier on the same connection are
// answered. It returns an error if the request's turn does not come before ctx ends, or never
// comes since the connection closes. The context is that of a request; AwaitTurn returns at
// once if the request was not received through this package.
func AwaitTurn(ctx context.Context) error {
	t, ok := ctx.Value(turnKey{}).(*turn)
	if !ok {
		return nil
	}
	return t.await(ctx)
}
