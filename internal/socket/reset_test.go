package socket_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedBytes is more than the buffers of a connection to a reader with a small window
// hold, so that writing it blocks.
const blockedBytes = 16 << 20

// startWrite writes blockedBytes to the connection and returns the channel of the result.
func startWrite(conn net.Conn) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, blockedBytes))
		written <- err
	}()
	return written
}

// reset closes the connection with a TCP reset.
func reset(t *testing.T, conn net.Conn) {
	linger, ok := conn.(interface{ SetLinger(seconds int) error })
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, linger.SetLinger(0), qt.IsNil)
	qt.Assert(t, conn.Close(), qt.IsNil)
}

// TestFailureSeenByWriter guards against a connection that failed and whose reader takes
// what it has received for all: the kernel reports the failure to the writer only.
func TestFailureSeenByWriter(t *testing.T) {
	opened := map[string]func(*testing.T, int) (net.Conn, net.Conn){"accepted": acceptedWriter, "dialed": dialedWriter}
	tests := map[string]struct {
		fail func(t *testing.T, other net.Conn)
		want error
	}{
		"reset":   {reset, syscall.ECONNRESET},
		"cut off": {cutOff, syscall.ETIMEDOUT},
	}
	for name, test := range tests {
		for side, open := range opened {
			t.Run(name+", "+side, func(t *testing.T) {
				t.Parallel()
				conn, other := open(t, smallWindow)
				defer func() { _ = conn.Close() }()
				defer func() { _ = other.Close() }()
				written := startWrite(conn)
				_, err := io.WriteString(other, "part")
				qt.Assert(t, err, qt.IsNil)
				test.fail(t, other)
				qt.Assert(t, <-written, qt.ErrorIs, test.want)
				received, err := io.ReadAll(conn)
				qt.Check(t, err, qt.ErrorIs, test.want)
				qt.Check(t, string(received), qt.Equals, "part")
				_, err = conn.Read(make([]byte, 1))
				qt.Check(t, err, qt.ErrorIs, test.want, qt.Commentf("the second time"))
			})
		}
	}
}

// TestFailureSeenByReader guards against a failure that the reader gets once, and the end
// of the stream after it.
func TestFailureSeenByReader(t *testing.T) {
	conn, other := dialedWriter(t, smallWindow)
	defer func() { _ = conn.Close() }()
	reset(t, other)
	for range 2 {
		_, err := conn.Read(make([]byte, 1))
		qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
	}
}

// TestEndInOrder guards against a stream that was ended in order and is taken for a failed
// one, or whose reader waits for a write that is blocked.
func TestEndInOrder(t *testing.T) {
	tests := map[string]func(t *testing.T, other net.Conn, written <-chan error){
		"other host reads nothing": func(*testing.T, net.Conn, <-chan error) {},
		"reset afterwards": func(t *testing.T, other net.Conn, written <-chan error) {
			reset(t, other)
			qt.Assert(t, <-written, qt.ErrorIs, syscall.EPIPE)
		},
		"all is read": func(t *testing.T, other net.Conn, written <-chan error) {
			n, err := io.CopyN(io.Discard, other, blockedBytes)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, n, qt.Equals, int64(blockedBytes))
			qt.Assert(t, <-written, qt.IsNil)
			qt.Assert(t, other.Close(), qt.IsNil)
		},
	}
	for name, next := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, other := dialedWriter(t, smallWindow)
			defer func() { _ = conn.Close() }()
			defer func() { _ = other.Close() }()
			written := startWrite(conn)
			_, err := io.WriteString(other, "whole")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, other.(*net.TCPConn).CloseWrite(), qt.IsNil)
			next(t, other, written)
			qt.Assert(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			received, err := io.ReadAll(conn)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, string(received), qt.Equals, "whole")
		})
	}
}
