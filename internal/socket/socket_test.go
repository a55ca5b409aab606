package socket_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"curranthold.example/curranthold/internal/socket"
)

// userTimeout returns the TCP_USER_TIMEOUT of a connection, in milliseconds.
func userTimeout(t *testing.T, conn net.Conn) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	value := 0
	err = raw.Control(func(fd uintptr) {
		value, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	qt.Assert(t, err, qt.IsNil)
	return value
}

func TestUserTimeoutAtBothEnds(t *testing.T) {
	config := socket.ListenConfig()
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, _ := listener.Accept()
		accepted <- conn
	}()
	dialed, err := socket.Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = dialed.Close() }()
	served := <-accepted
	defer func() { _ = served.Close() }()
	qt.Assert(t, userTimeout(t, dialed), qt.Equals, 2000)
	qt.Assert(t, userTimeout(t, served), qt.Equals, 2000)
}
