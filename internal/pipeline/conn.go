package pipeline

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// firstBufferBytes is the size of a connection's buffer before it grows.
	firstBufferBytes = 4 << 10
	// lingerTimeout bounds the time in which a connection that closes still takes what
	// the client sends. Bytes that nobody reads make the kernel reset the connection,
	// which may take responses from the client that were already sent.
	lingerTimeout = 500 * time.Millisecond
)

// closeWriter is a connection of which one direction can be closed.
type closeWriter interface{ CloseWrite() error }

// conn is a connection of a client, as the server uses it. Apart from what net/http reads
// itself, it reads the heads of further requests ahead.
type conn struct {
	net.Conn
	listener *Listener

	// The goroutine that calls Read uses these fields. held is what was read ahead and not
	// handed on.
	frame framer
	held  []byte
	// refusalCounted is set once the request at the beginning of held was counted as
	// refused.
	refusalCounted bool

	// changes serializes the changes of which the server's hook is told, so that it is told in
	// their order. It is locked before mu.
	changes sync.Mutex
	// mu guards the fields below. The server's hook and Close of the inner connection may wait
	// for other connections, and so are called without it: see change. What is called of
	// the inner connection under it sets deadlines or ends its writing side, which does not
	// wait.
	mu   sync.Mutex
	cond sync.Cond
	// pending is what the current change has to do once mu is unlocked.
	pending pendingCalls
	// queue holds the turns of the requests that are not answered, in order.
	queue       []*turn
	inlineQueue [1]*turn
	// own is the turn of the request that the server has read itself; it is in the queue
	// while active is set and the request was not dropped.
	own    turn
	active bool
	// ahead is the number of streams, and pipelined is set once there was one.
	ahead     int
	pipelined bool
	// closed is set by Close, closing when the connection closes after a turn in the
	// queue, and ended when it closes.
	closed, closing, ended bool
	// readErr is the error of reading that is not a timeout.
	readErr error
	// readTimeout is the time to the last read deadline when it was set.
	readTimeout time.Duration
	// waiting is set while the server waits for the beginning of a request.
	waiting bool
	// heldBytes is what the buffer has reserved of the listener's total, and partialBytes
	// what the incomplete head in frame has.
	heldBytes, partialBytes int
}

func newConn(l *Listener, inner net.Conn) *conn {
	c := &conn{Conn: inner, listener: l}
	c.cond.L = &c.mu
	c.queue = c.inlineQueue[:0]
	c.own.conn = c
	return c
}

// isTurn reports whether the request of the turn, which is not answered, is the next one to
// be answered.
func (c *conn) isTurn(t *turn) bool { return len(c.queue) == 0 || c.queue[0] == t }

// linger closes the connection once the client has, or after lingerTimeout.
func (c *conn) linger() {
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTimeout))
	if half, ok := c.Conn.(closeWriter); ok && half.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.Conn.Close()
}

// Close implements net.Conn. Requests that were read ahead and have their turn before are
// still answered, those behind a response that closes the connection are dropped.
func (c *conn) Close() error {
	again := false
	err := c.change(func() {
		again = c.closed
		c.closed = true
		if !again {
			c.closeInTurn()
		}
	})
	if again {
		return net.ErrClosed
	}
	return err
}

// CloseWrite tells the client that nothing follows, like that of a TCP connection.
func (c *conn) CloseWrite() error { return c.own.closeWrite() }

func (t *turn) closeWrite() error {
	c := t.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	half, ok := c.Conn.(closeWriter)
	if !ok || t.failed() || !c.isTurn(t) {
		return nil
	}
	return half.CloseWrite()
}

// Write implements net.Conn. It waits for the turn of the request that the server has read
// itself.
func (c *conn) Write(p []byte) (int, error) { return c.own.Write(p) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.own.SetWriteDeadline(t) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readsEnded() {
		return nil // Reads end at once; linger sets its own deadline.
	}
	c.readTimeout = 0
	if !t.IsZero() {
		c.readTimeout = time.Until(t)
	}
	return c.Conn.SetReadDeadline(t)
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
