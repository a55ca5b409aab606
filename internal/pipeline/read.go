package pipeline

import (
	"bytes"
	"net"
	"time"
)

// Read implements net.Conn. It returns no bytes of more than one request, unless it can't
// tell where the request ends.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return c.Conn.Read(p)
	}
	active, err := c.beginRead()
	if err != nil {
		return 0, err
	}
	if len(p) == 1 && active && c.frame.atBoundary() {
		return c.readAhead(p)
	}
	c.refusalCounted = false
	n, err := c.readRequest(p)
	if n > 0 && c.frame.unsafe {
		if err := c.awaitAnswered(); err != nil {
			return 0, err
		}
	}
	return n, err
}

// beginRead reports whether the server handles a request. It returns an error if the
// connection closes.
func (c *conn) beginRead() (active bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readsEnded() {
		return false, net.ErrClosed
	}
	return c.active, nil
}

// readRequest reads bytes of the current request.
func (c *conn) readRequest(p []byte) (int, error) {
	if len(c.held) > 0 {
		n := c.observe(p[:copy(p, c.held)])
		c.consume(n)
		return n, nil
	}
	if c.frame.lost {
		return c.readWaiting(p)
	}
	if c.frame.rest > 0 {
		p = p[:min(len(p), c.frame.rest)]
	}
	n, err := c.readWaiting(p)
	if n == 0 {
		return 0, err
	}
	own := c.observe(p[:n])
	if own < n && !c.hold(p[own:n]) {
		// Without memory, the server keeps the further requests and handles them in turn.
		c.frame.lose()
		own = n
	}
	return own, err
}

// observe takes the next bytes that the server gets, and returns how many of them belong to
// the current request. Without memory for an incomplete head, the end is not known.
func (c *conn) observe(b []byte) int {
	before := len(c.frame.partial) > 0
	n := c.frame.observe(b)
	after := len(c.frame.partial) > 0
	if before == after {
		return n
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case before:
		c.listener.release(c.partialBytes)
		c.partialBytes = 0
	case c.ended || !c.listener.reserve(maxPartialBytes):
		c.frame.lose()
	default:
		c.partialBytes = maxPartialBytes
	}
	return n
}

// readWaiting reads from the client. The time in which requests that were read ahead are not
// answered does not count as idle.
func (c *conn) readWaiting(p []byte) (int, error) {
	if !c.frame.atBoundary() {
		n, err := c.Conn.Read(p)
		c.noteError(err)
		return n, err
	}
	c.setWaiting(true)
	defer c.setWaiting(false)
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || !isTimeout(err) || !c.extendIdle() {
			c.noteError(err)
			return n, err
		}
	}
}

func (c *conn) setWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting && !c.active
}

// extendIdle sets a new read deadline if requests are not answered yet.
func (c *conn) extendIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || len(c.queue) == 0 || c.readsEnded() || c.readTimeout <= 0 {
		return false
	}
	return c.Conn.SetReadDeadline(time.Now().Add(c.readTimeout)) == nil
}

// noteError ends the contexts of the requests that were read ahead if the client has left.
func (c *conn) noteError(err error) {
	if err == nil || isTimeout(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr = err
	c.cond.Broadcast()
}

// awaitAnswered waits until all earlier requests are answered, before the server gets one
// that is not safe or whose end is not known.
func (c *conn) awaitAnswered() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.active && len(c.queue) > 0 && !c.readsEnded() {
		c.cond.Wait()
	}
	if c.readsEnded() {
		return net.ErrClosed
	}
	return nil
}

// readAhead is the server's read in the background, which waits for a byte while a request
// is handled. It hands on further requests and returns when the server ends the wait, when
// the client has left, or with a byte that can't be kept.
func (c *conn) readAhead(p []byte) (int, error) {
	for {
		c.handOver()
		buffer := p
		if len(c.held) > 0 {
			if buffer = c.spare(); buffer == nil {
				return c.readRequest(p)
			}
		}
		n, err := c.Conn.Read(buffer)
		switch {
		case n == 0:
			c.noteError(err)
			return 0, err
		case len(c.held) > 0:
			c.held = c.held[:len(c.held)+n]
		case c.isAnswering():
			c.observe(p[:n])
			return n, nil
		case !c.hold(p[:n]):
			metricRefused.Add(1)
			c.observe(p[:n])
			return n, nil
		}
	}
}

// isAnswering reports whether the response to the only unanswered request has begun. A client
// that has the whole response may send the next request before the server ends its read in the
// background. That is not pipelined, and needs no buffer.
func (c *conn) isAnswering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own.begun && len(c.queue) == 1
}

// handOver makes streams of the safe requests that were read ahead, within the bounds.
func (c *conn) handOver() {
	for {
		n := completeSafeHead(c.held)
		if n == 0 {
			return
		}
		if !c.startStream(c.held[:n]) {
			if !c.refusalCounted {
				c.refusalCounted = true
				metricRefused.Add(1)
			}
			return
		}
		c.consume(n)
		c.refusalCounted = false
	}
}

// startStream hands a request to the server.
func (c *conn) startStream(head []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.listener
	cost := len(head) + streamBytes
	if c.closing || c.closed || c.ended || c.ahead >= l.config.Requests || !l.reserve(cost) {
		return false
	}
	s := &stream{turn: turn{conn: c}, costBytes: cost, head: bytes.Clone(head)}
	if !l.handOver(s) {
		l.release(cost)
		return false
	}
	c.queue = append(c.queue, &s.turn)
	c.ahead++
	c.pipelined = true
	metricAhead.Add(1)
	return true
}

// hold keeps bytes for later. It returns false if no memory is left for them.
func (c *conn) hold(b []byte) bool {
	if need := len(c.held) + len(b); need > cap(c.held) && !c.grow(max(need, firstBufferBytes)) {
		return false
	}
	c.held = append(c.held, b...)
	return true
}

// spare returns free space behind what is held, or nil if there is none.
func (c *conn) spare() []byte {
	if len(c.held) == cap(c.held) {
		size := min(2*cap(c.held), c.listener.config.BufferBytes)
		if size <= cap(c.held) || !c.grow(size) {
			return nil
		}
	}
	return c.held[len(c.held):cap(c.held)]
}

// grow moves what is held to a buffer of the given size.
func (c *conn) grow(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if more := size - cap(c.held); c.ended || !c.listener.reserve(more) {
		return false
	}
	c.heldBytes += size - cap(c.held)
	c.pipelined = true
	c.held = append(make([]byte, 0, size), c.held...)
	return true
}

// consume drops the first n bytes of what is held, and the buffer when it is empty.
func (c *conn) consume(n int) {
	if n < len(c.held) {
		c.held = c.held[:copy(c.held, c.held[n:])]
		return
	}
	c.held = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener.release(c.heldBytes)
	c.heldBytes = 0
}
