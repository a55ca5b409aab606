package pipeline

import (
	"net/http"
	"slices"
	"time"
)

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
