package clientlimit

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// refusal is the response to a head that is not read to its end. Its status promises
// that the request has not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout bounds the time to write the refusal. It is written only to a connection
// whose earlier responses are written, so that it hardly ever waits.
const refusalTimeout = 20 * time.Millisecond

// Listener is a listener whose connections are bounded by a gate.
type Listener struct {
	net.Listener
	gate *Gate
}

// Listen returns a listener whose connections the gate bounds.
func Listen(listener net.Listener, gate *Gate) *Listener {
	return &Listener{Listener: listener, gate: gate}
}

// Accept implements net.Listener. It closes connections that the gate does not admit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner}
		if c.client = l.gate.Admit(c.end); c.client != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// Conn is a connection that counts the head that is being read.
type Conn struct {
	net.Conn
	client *Client
	once   sync.Once
	// deadlines counts the read deadlines since the connection became idle. net/http
	// sets one before it waits for the next request, and another before it reads its
	// head.
	deadlines atomic.Int32
}

// end closes the connection.
func (c *Conn) end(refuse bool) {
	if refuse {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.Conn, refusal)
	}
	_ = c.Close()
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.deadlines.CompareAndSwap(1, 2) {
		c.client.Await()
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.client.Received(n, bytes.Count(p[:n], []byte{'\n'})) {
		return 0, net.ErrClosed
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Add(1)
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		c.client.Leave()
		err = c.Conn.Close()
	})
	return err
}

// CloseWrite closes the writing side, as net/http does before it closes a connection
// whose request it has not read.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}

// ConnState is the hook of [http.Server] of the same name.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.deadlines.Store(2)
		c.client.SetState(Active)
	case http.StateIdle:
		c.deadlines.Store(0)
		c.client.SetState(Idle)
	case http.StateClosed, http.StateHijacked:
		c.client.Leave()
	}
}

// contextKey is the key of the *Conn in the context of a request.
type contextKey struct{}

// ConnContext is the hook of [http.Server] of the same name.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// Handler wraps a handler. A request whose head was refused is not passed to it, since
// its client has been told that the request has not run.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*Conn); ok && c.client.IsEnded() {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable) // The connection is closed already.
			return
		}
		next.ServeHTTP(w, r)
	})
}
