package pipeline

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
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
	// for other connections, and so are called without it: see change. Methods of the inner
	// connection that are called under it only set deadlines.
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

// pendingCalls are calls that a change of a connection makes without its lock.
type pendingCalls struct {
	// states are those of which the server's hook is told; there are at most two.
	states [2]http.ConnState
	count  int
	// end is set if the inner connection is closed.
	end bool
}

func (p *pendingCalls) tell(state http.ConnState) {
	p.states[p.count] = state
	p.count++
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

// change calls f, which changes the state of the requests, under the lock of the connection.
// Then it tells the server's hook of the change and closes the inner connection if f has
// called end. When it returns, the hook has returned.
func (c *conn) change(f func()) error {
	c.changes.Lock()
	defer c.changes.Unlock()
	c.mu.Lock()
	f()
	calls := c.pending
	c.pending = pendingCalls{}
	c.mu.Unlock()
	for _, state := range calls.states[:calls.count] {
		c.listener.tellState(c.Conn, state)
	}
	if !calls.end {
		return nil
	}
	return c.closeInner()
}

// closeInner closes the inner connection. The responses that were written still reach the
// client.
func (c *conn) closeInner() error {
	c.mu.Lock()
	pipelined := c.pipelined
	c.mu.Unlock()
	if !pipelined {
		return c.Conn.Close()
	}
	c.listener.closeLater(c.linger)
	return nil
}

// setState follows the server's handling of the requests that it reads itself.
func (c *conn) setState(state http.ConnState) {
	_ = c.change(func() { c.applyState(state) })
}

func (c *conn) applyState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.active = true
		// Close may have been called while the server read the request.
		c.own.dropped = c.closing || c.closed || c.ended
		if !c.own.dropped {
			if len(c.queue) == 0 {
				c.pending.tell(state)
			}
			c.queue = append(c.queue, &c.own)
		}
	case http.StateIdle:
		c.active = false
		c.endTurn(&c.own)
		c.own = turn{conn: c}
	case http.StateHijacked:
		c.frame.lose()
		c.pending.tell(state)
	case http.StateNew:
		c.pending.tell(state)
	}
}

// endTurn removes the turn, whose response is complete, from the queue. It is part of a change.
func (c *conn) endTurn(t *turn) {
	if t.dropped || len(c.queue) == 0 || c.queue[0] != t {
		return
	}
	copy(c.queue, c.queue[1:])
	c.queue[len(c.queue)-1] = nil
	c.queue = c.queue[:len(c.queue)-1]
	c.cond.Broadcast()
	if len(c.queue) == 0 {
		c.pending.tell(http.StateIdle)
	}
	switch {
	case len(c.queue) > 0:
		if c.queue[0].closing {
			c.end()
		}
	case c.closed:
		c.end()
	case c.waiting && c.readTimeout > 0:
		// The connection is idle from now on, not from the server's last response.
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.readTimeout))
	}
}

// closeAfter closes the connection after the turn and drops the requests behind it, which
// the client sends again. It is part of a change.
func (c *conn) closeAfter(t *turn) {
	at := slices.Index(c.queue, t)
	if at < 0 || t.closing || c.ended {
		return
	}
	t.closing, c.closing = true, true
	for _, behind := range c.queue[at+1:] {
		behind.dropped = true
		metricDropped.Add(1)
	}
	clear(c.queue[at+1:])
	c.queue = c.queue[:at+1]
	c.cond.Broadcast()
	if c.readsEnded() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // Ends a Read in progress.
	}
	if at == 0 {
		c.end()
	}
}

// readsEnded reports whether the server reads nothing more: the connection closes, and not
// only after the request that the server has read itself and still handles.
func (c *conn) readsEnded() bool {
	return c.closed || c.ended || c.closing && (!c.active || c.own.dropped || c.own.closing)
}

// end makes the current change close the connection.
func (c *conn) end() {
	if c.ended {
		return
	}
	c.ended = true
	c.listener.release(c.heldBytes + c.partialBytes)
	c.heldBytes, c.partialBytes = 0, 0
	c.cond.Broadcast()
	c.pending.tell(http.StateClosed)
	c.pending.end = true
}

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

// closeInTurn closes the connection after the requests that are still answered. It is part
// of a change.
func (c *conn) closeInTurn() {
	switch {
	case c.ended:
	case c.active && !c.own.dropped:
		c.closeAfter(&c.own)
	case c.closing:
	case len(c.queue) == 0:
		c.end()
	default:
		c.cond.Broadcast()
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // Ends a Read in progress.
	}
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
