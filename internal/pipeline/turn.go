package pipeline

import (
	"context"
	"net"
	"time"
)

// turn is the place of one request among those of its connection. The connection's lock
// guards its fields.
type turn struct {
	conn *conn
	// dropped is set if a response before it closes the connection. Nothing is written.
	dropped bool
	// closing is set if the connection closes after what this request has written.
	closing bool
	// begun is set once something was written. Before that, writeTimeout keeps the write
	// deadline if it was set before the turn came, counted from the first write.
	begun        bool
	writeTimeout time.Duration
}

// Write implements net.Conn. It waits for the turn.
func (t *turn) Write(p []byte) (int, error) {
	c := t.conn
	c.mu.Lock()
	for !t.failed() && !c.isTurn(t) {
		c.cond.Wait()
	}
	if t.failed() {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	t.begin()
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// failed reports whether nothing of this request can be written any more.
func (t *turn) failed() bool { return t.dropped || t.closing || t.conn.ended }

// begin applies the write deadline that was set before the turn came.
func (t *turn) begin() {
	if t.begun {
		return
	}
	t.begun = true
	if t.writeTimeout != 0 {
		_ = t.conn.Conn.SetWriteDeadline(time.Now().Add(t.writeTimeout))
		t.writeTimeout = 0
	}
}

// SetWriteDeadline implements net.Conn. Before the turn has come, the time that is left is
// counted from the first write, since responses before it may take longer.
func (t *turn) SetWriteDeadline(deadline time.Time) error {
	c := t.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case t.failed():
		return nil
	case c.isTurn(t):
		t.writeTimeout = 0
		return c.Conn.SetWriteDeadline(deadline)
	case deadline.IsZero():
		t.writeTimeout = 0
	default:
		t.writeTimeout = time.Until(deadline)
	}
	return nil
}

// await waits for the turn, at most until ctx ends.
func (t *turn) await(ctx context.Context) error {
	c := t.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.failed() && c.isTurn(t) {
		return nil
	}
	stop := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cond.Broadcast()
	})
	defer stop()
	for {
		switch {
		case t.failed():
			return net.ErrClosed
		case ctx.Err() != nil:
			return ctx.Err()
		case c.isTurn(t):
			return nil
		}
		c.cond.Wait()
	}
}
