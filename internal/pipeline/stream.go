package pipeline

import (
	"io"
	"net"
	"os"
	"time"
)

// stream is a request that was read ahead, as a connection of its own: the server reads its
// head and writes its response.
type stream struct {
	turn
	// costBytes is what the stream has reserved of the listener's total.
	costBytes int

	// The lock of the connection guards the fields below. head is what the server has not
	// read yet.
	head []byte
	// completed is set once the response is written, closed once the server is done.
	completed, closed bool
	// expired is set while the read deadline has passed, and deadlines counts the
	// deadlines that were set.
	expired   bool
	deadlines int
	timer     *time.Timer
}

// Read implements net.Conn. After the head, it waits like a connection on which the client
// sends nothing more, until the response is complete or the client leaves.
func (s *stream) Read(p []byte) (int, error) {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case s.closed || s.failed():
			return 0, net.ErrClosed
		case len(s.head) > 0:
			n := copy(p, s.head)
			s.head = s.head[n:]
			return n, nil
		case s.completed:
			return 0, io.EOF
		case s.expired:
			return 0, os.ErrDeadlineExceeded
		case c.readErr != nil:
			return 0, c.readErr
		}
		c.cond.Wait()
	}
}

// complete ends the turn after a whole response.
func (s *stream) complete() {
	_ = s.conn.change(func() {
		s.completed = true
		s.conn.endTurn(&s.turn)
	})
}

// Close implements net.Conn. Without a whole response that leaves the connection open, the
// connection closes in this request's turn.
func (s *stream) Close() error {
	again := false
	_ = s.conn.change(func() {
		again = s.closed
		if !again {
			s.close()
		}
	})
	if again {
		return net.ErrClosed
	}
	return nil
}

// close is the change of Close.
func (s *stream) close() {
	c := s.conn
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
	c.ahead--
	c.listener.release(s.costBytes)
	if !s.completed && !s.dropped {
		c.closeAfter(&s.turn)
	}
	c.cond.Broadcast()
}

// CloseWrite tells the client that nothing follows, like that of a TCP connection. The
// server calls it before Close.
func (s *stream) CloseWrite() error { return s.closeWrite() }

// LocalAddr implements net.Conn.
func (s *stream) LocalAddr() net.Addr { return s.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (s *stream) RemoteAddr() net.Addr { return s.conn.RemoteAddr() }

// SetDeadline implements net.Conn.
func (s *stream) SetDeadline(t time.Time) error {
	_ = s.SetReadDeadline(t)
	return s.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (s *stream) SetReadDeadline(t time.Time) error {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	s.deadlines++
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	left := time.Until(t)
	s.expired = !t.IsZero() && left <= 0
	if !t.IsZero() && left > 0 && !s.closed {
		number := s.deadlines
		s.timer = time.AfterFunc(left, func() { s.expire(number) })
	}
	c.cond.Broadcast()
	return nil
}

// expire marks the deadline as passed, unless a later one was set.
func (s *stream) expire(number int) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.deadlines == number {
		s.expired = true
		s.conn.cond.Broadcast()
	}
}
