package httpconn_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/httpconn"
)

// newConn returns a connection whose other end reads.
func newConn(t *testing.T) *httpconn.Conn {
	ours, theirs := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	c := httpconn.New(ours)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestSeal checks that a sealed connection is never written to, and that a written one can't
// be sealed until it is used again.
func TestSeal(t *testing.T) {
	c := newConn(t)
	var first, second, third httpconn.Use
	first.Acquire(c)
	_, err := c.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, first.Seal(), qt.IsFalse)
	first.Release(true)
	second.Acquire(c)
	qt.Check(t, second.Seal(), qt.IsTrue)
	second.Release(true)
	third.Acquire(c)
	_, err = c.Write([]byte("x"))
	qt.Check(t, err, qt.ErrorIs, net.ErrClosed)
	qt.Check(t, third.Seal(), qt.IsTrue)
	third.Release(true)
}

// TestSecondConnection checks that a request which net/http has begun on two connections
// counts as written if one of them was written to.
func TestSecondConnection(t *testing.T) {
	for name, written := range map[string]bool{"first written": true, "none written": false} {
		t.Run(name, func(t *testing.T) {
			first, second := newConn(t), newConn(t)
			var use httpconn.Use
			use.Acquire(first)
			if written {
				_, err := first.Write([]byte("x"))
				qt.Assert(t, err, qt.IsNil)
			}
			use.Acquire(second)
			qt.Check(t, use.Seal(), qt.Equals, !written)
			use.Release(true)
		})
	}
}

// TestInvalidResponse checks that a request waits until the response before was judged, and
// that nothing of it is written if that was invalid.
func TestInvalidResponse(t *testing.T) {
	for name, valid := range map[string]bool{"valid": true, "invalid": false} {
		t.Run(name, func(t *testing.T) {
			c := newConn(t)
			var first, second httpconn.Use
			first.Acquire(c)
			_, err := c.Write([]byte("x"))
			qt.Assert(t, err, qt.IsNil)
			acquired := make(chan struct{})
			go func() {
				second.Acquire(c)
				close(acquired)
			}()
			select {
			case <-acquired:
				t.Error("acquired before the release")
			case <-time.After(20 * time.Millisecond):
			}
			first.Release(valid)
			<-acquired
			_, err = c.Write([]byte("x"))
			qt.Check(t, err == nil, qt.Equals, valid)
			qt.Check(t, second.GivenUp(), qt.Equals, !valid)
			qt.Check(t, second.Seal(), qt.Equals, !valid)
			second.Release(true)
		})
	}
}

// brokenPipe is a connection whose writes fail with EPIPE after a number of bytes.
type brokenPipe struct {
	net.Conn
	left int
}

func (b *brokenPipe) Write(p []byte) (int, error) {
	n := min(len(p), b.left)
	b.left -= n
	if n < len(p) {
		return n, syscall.EPIPE
	}
	return n, nil
}

// TestOtherSideEnded checks that the rest of a request is discarded once the other side has
// ended its stream, that a request of which nothing was written fails, and that no other request
// uses the connection.
func TestOtherSideEnded(t *testing.T) {
	tests := map[string]struct {
		taken, writes int
		discards      bool
	}{
		"nothing taken":     {0, 1, false},
		"part of the first": {1, 1, true},
		"second write":      {2, 2, true},
		"third write":       {4, 3, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := httpconn.New(&brokenPipe{newConn(t), test.taken})
			var first, second httpconn.Use
			first.Acquire(c)
			var err error
			for range test.writes {
				_, err = c.Write([]byte("xy"))
			}
			qt.Check(t, err == nil, qt.Equals, test.discards)
			first.Release(true)
			second.Acquire(c)
			qt.Check(t, second.GivenUp(), qt.Equals, test.discards)
			second.Release(true)
		})
	}
}
