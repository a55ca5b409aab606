package socket_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"curranthold.example/curranthold/internal/socket"
)

const (
	// smallWindow is the receive buffer of a reader with a small window, in bytes.
	smallWindow = 4096
	// noticeTime bounds the time until a connection to a host that is cut off fails.
	noticeTime = 3 * time.Second
)

// setReceiveBuffer sets the receive buffer of new connections, unless bytes is 0.
func setReceiveBuffer(bytes int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		if bytes == 0 {
			return nil
		}
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// acceptedWriter returns a connection that this package's listener accepted, and its other end.
func acceptedWriter(t *testing.T, receiveBuffer int) (writer, reader net.Conn) {
	config := socket.ListenConfig()
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	dialer := net.Dialer{Control: setReceiveBuffer(receiveBuffer), KeepAlive: -1}
	reader, err = dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	writer, err = listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	return writer, reader
}

// dialedWriter returns a connection that this package's dialer opened, and its other end.
func dialedWriter(t *testing.T, receiveBuffer int) (writer, reader net.Conn) {
	config := net.ListenConfig{Control: setReceiveBuffer(receiveBuffer), KeepAlive: -1}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	writer, err = socket.Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	reader, err = listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	return writer, reader
}

// TestSlowReader guards against a connection that is reset because the process at its other end does not read, or reads slowly, though its host responds.
func TestSlowReader(t *testing.T) {
	opened := map[string]func(*testing.T, int) (net.Conn, net.Conn){"accepted": acceptedWriter, "dialed": dialedWriter}
	tests := map[string]struct {
		bytes, receiveBuffer int
		pause                time.Duration
		// pieceBytes and between are the sizes of the reads and the pauses between them.
		pieceBytes int
		between    time.Duration
		// closed is set if the writer closes the connection before the reader reads.
		closed bool
	}{
		"pause":                         {bytes: 30_000, receiveBuffer: smallWindow, pause: 3 * time.Second, pieceBytes: 30_000},
		"long pause":                    {bytes: 30_000, receiveBuffer: smallWindow, pause: 9 * time.Second, pieceBytes: 30_000},
		"large, default window":         {bytes: 16 << 20, pause: 5 * time.Second, pieceBytes: 1 << 20},
		"small reads":                   {bytes: 30_000, receiveBuffer: smallWindow, pieceBytes: 1000, between: 250 * time.Millisecond},
		"pause, closed by writer":       {bytes: 30_000, receiveBuffer: smallWindow, pause: 4 * time.Second, pieceBytes: 30_000, closed: true},
		"small reads, closed by writer": {bytes: 30_000, receiveBuffer: smallWindow, pieceBytes: 1000, between: 250 * time.Millisecond, closed: true},
	}
	for name, test := range tests {
		for side, open := range opened {
			if test.closed && side == "dialed" {
				continue // See TestClosedByDialer.
			}
			t.Run(name+", "+side, func(t *testing.T) {
				t.Parallel()
				writer, reader := open(t, test.receiveBuffer)
				defer func() { _ = reader.Close() }()
				written := make(chan error, 1)
				go func() {
					_, err := writer.Write(make([]byte, test.bytes))
					if test.closed {
						_ = writer.Close()
					}
					written <- err
				}()
				time.Sleep(test.pause)
				received, piece := 0, make([]byte, test.pieceBytes)
				for received < test.bytes {
					n, err := reader.Read(piece)
					received += n
					if err != nil {
						t.Fatalf("%d of %d bytes: %v", received, test.bytes, err)
					}
					time.Sleep(test.between)
				}
				qt.Assert(t, <-written, qt.IsNil)
				if !test.closed {
					qt.Assert(t, writer.Close(), qt.IsNil)
				}
				_, err := reader.Read(piece)
				qt.Assert(t, err, qt.Equals, io.EOF)
			})
		}
	}
}

// TestClosedByDialer guards against a request that arrives late at a process that did not read, after its sender has given it up.
func TestClosedByDialer(t *testing.T) {
	t.Parallel()
	writer, reader := dialedWriter(t, smallWindow)
	defer func() { _ = reader.Close() }()
	_, err := writer.Write(make([]byte, 30_000))
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(3 * time.Second)
	qt.Assert(t, writer.Close(), qt.IsNil)
	time.Sleep(noticeTime)
	received, err := io.Copy(io.Discard, reader)
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
	qt.Check(t, received < 30_000, qt.IsTrue)
}

// cutOff makes the connection's host appear cut off: nothing that the other side sends
// on the connection arrives.
func cutOff(t *testing.T, conn net.Conn) {
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	raw, err := conn.(syscall.Conn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	var optErr error
	err = raw.Control(func(fd uintptr) {
		program := unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, optErr, qt.IsNil)
}

// TestCutOffHost guards against a host that is cut off and noticed late, in particular one whose window is closed.
func TestCutOffHost(t *testing.T) {
	opened := map[string]func(*testing.T, int) (net.Conn, net.Conn){"accepted": acceptedWriter, "dialed": dialedWriter}
	tests := map[string]struct {
		// before is the number of bytes sent before the host is cut off, and after the number sent then.
		before, after int
		// paused is how long the reader does not read before its host is cut off.
		paused time.Duration
		// defaultWindow is set if the reader's receive buffer has the system's default size.
		defaultWindow bool
	}{
		"idle":                           {},
		"unacknowledged data":            {after: 1000},
		"unacknowledged data after idle": {after: 1000, paused: 5 * time.Second},
		"window just closed":             {before: 30_000, paused: 100 * time.Millisecond},
		"window closed for 1 s":          {before: 30_000, paused: time.Second},
		"window closed for 4 s":          {before: 30_000, paused: 4 * time.Second},
		"window closed for 10 s":         {before: 30_000, paused: 10 * time.Second},
		"blocked write":                  {before: 16 << 20, paused: 4 * time.Second},
		"blocked write, default window":  {before: 16 << 20, paused: 4 * time.Second, defaultWindow: true},
	}
	for name, test := range tests {
		for side, open := range opened {
			t.Run(name+", "+side, func(t *testing.T) {
				t.Parallel()
				receiveBuffer := smallWindow
				if test.defaultWindow {
					receiveBuffer = 0
				}
				writer, reader := open(t, receiveBuffer)
				defer func() { _ = reader.Close() }()
				defer func() { _ = writer.Close() }()
				failed, stop := context.WithCancel(context.Background())
				go func() {
					_, _ = writer.Read(make([]byte, 1))
					stop()
				}()
				go func() { _, _ = writer.Write(make([]byte, test.before)) }()
				select {
				case <-time.After(test.paused):
				case <-failed.Done():
					t.Fatal("failed before the host was cut off")
				}
				cutOff(t, reader)
				cut := time.Now()
				// Behind a blocked write this one blocks as well.
				go func() { _, _ = writer.Write(make([]byte, test.after)) }()
				select {
				case <-failed.Done():
					t.Logf("noticed after %v", time.Since(cut).Round(time.Millisecond))
				case <-time.After(noticeTime):
					t.Fatalf("not noticed within %v", noticeTime)
				}
			})
		}
	}
}
