package node

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/socket"
)

const (
	// backlogIdleTimeout is the time without a new connection after which a
	// draining listener is closed.
	backlogIdleTimeout = 5 * time.Millisecond
	// backlogDrainTimeout bounds the time that a listener drains.
	backlogDrainTimeout = 100 * time.Millisecond
)

// drainState says how a node handles calls from callers before and during its
// shutdown.
type drainState int32

const (
	// drainNone is the state before the shutdown: calls are served.
	drainNone drainState = iota
	// drainServing serves calls and responds with Connection: close, so that
	// callers send no further request on a connection. Later, when the server closes
	// idle connections, it could lose such a request.
	drainServing
	// drainRefusing refuses calls, except for those nested in a call that runs on this
	// host, so that callers use other nodes before the listener is closed.
	drainRefusing
)

// drainHandler serves or refuses calls from callers, depending on its state, so that
// callers use other nodes before this one has shut down.
type drainHandler struct {
	handler http.Handler
	refusal http.Handler
	state   atomic.Int32
}

func (d *drainHandler) setState(state drainState) { d.state.Store(int32(state)) }

// ServeHTTP implements http.Handler.
func (d *drainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	state := drainState(d.state.Load())
	if state != drainNone {
		w.Header().Set("Connection", "close")
	}
	if state == drainRefusing {
		d.refusal.ServeHTTP(w, r)
		return
	}
	d.handler.ServeHTTP(w, r)
}

// backlogListener is a TCP listener that can accept the connections in its
// backlog before it is closed. Closing it at once would reset these connections
// and lose the requests that were sent on them.
type backlogListener struct {
	*socket.TCPListener
	// end is the Unix time in nanoseconds at which draining ends, 0 before it
	// starts.
	end    atomic.Int64
	once   sync.Once
	closed chan struct{}
}

func newBacklogListener(l *socket.TCPListener) *backlogListener {
	return &backlogListener{TCPListener: l, closed: make(chan struct{})}
}

// Accept implements net.Listener. During draining, it closes the listener if no
// connection arrives within backlogIdleTimeout.
func (l *backlogListener) Accept() (net.Conn, error) {
	if end := l.end.Load(); end != 0 {
		idleDeadline := time.Now().Add(backlogIdleTimeout)
		if idleDeadline.UnixNano() > end {
			return nil, l.finish()
		}
		_ = l.SetDeadline(idleDeadline)
	}
	conn, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, l.finish()
	}
	return conn, err
}

func (l *backlogListener) finish() error {
	_ = l.Close()
	return net.ErrClosed
}

// Close implements net.Listener.
func (l *backlogListener) Close() error {
	err := net.ErrClosed
	l.once.Do(func() {
		err = l.TCPListener.Close()
		close(l.closed)
	})
	return err
}

// drainBacklog lets the accept loop take the connections in the backlog, and
// returns once the listener is closed. The accept loop must be running.
func (l *backlogListener) drainBacklog() {
	now := time.Now()
	l.end.Store(now.Add(backlogDrainTimeout).UnixNano())
	_ = l.SetDeadline(now.Add(backlogIdleTimeout))
	<-l.closed
}
