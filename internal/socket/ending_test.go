package socket

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReadAwaitsWrite guards against a Read that gets the end of the stream while the Write
// to which the kernel has reported a reset has not returned yet.
func TestReadAwaitsWrite(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	dialed, err := Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = dialed.Close() }()
	other, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, other.(*net.TCPConn).SetLinger(0), qt.IsNil)
	qt.Assert(t, other.Close(), qt.IsNil)

	c := dialed.(*Conn)
	c.ending.writing.Lock()
	var failure error
	for failure == nil { // The reset may not have arrived yet.
		_, failure = c.TCPConn.Write([]byte("x"))
	}
	qt.Check(t, failure, qt.ErrorIs, syscall.ECONNRESET)
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	select {
	case err := <-read:
		t.Errorf("Read returned %v while a Write was in progress", err)
	case <-time.After(100 * time.Millisecond):
	}
	c.ending.observe(failure)
	c.ending.writing.Unlock()
	qt.Check(t, <-read, qt.ErrorIs, syscall.ECONNRESET)
}
