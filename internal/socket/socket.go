// Package socket provides TCP connections that fail within seconds when the other host
// stops responding. A host that has lost power or is cut off by a network partition
// sends nothing, and with the default settings a connection to it hangs for minutes.
//
// A host that responds while a process on it does not read is another matter: such a
// connection stays open for as long as its users want it.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent data may stay unacknowledged before the
	// connection fails.
	userTimeout = 2 * time.Second
	// A connection without traffic is probed after keepAliveIdle, then every
	// keepAliveInterval, and fails after keepAliveProbes unanswered probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// keepAlive enables keep-alive probes on idle connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

// TCPDialer opens connections of type *Conn.
type TCPDialer struct {
	net.Dialer
}

// Dialer returns a dialer whose connections fail when the other host stops
// responding. Timeout is the timeout of a dial.
func Dialer(timeout time.Duration) *TCPDialer {
	return &TCPDialer{net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setOptions}}
}

// DialContext connects to the address on a TCP network. Its errors are those of
// [net.Dialer.DialContext].
func (d *TCPDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(conn, false)
}

// TCPListenConfig opens listeners of type *TCPListener.
type TCPListenConfig struct {
	net.ListenConfig
}

// ListenConfig returns the configuration of listeners whose connections fail when
// the other host stops responding.
func ListenConfig() *TCPListenConfig {
	return &TCPListenConfig{net.ListenConfig{KeepAliveConfig: keepAlive, Control: setOptions}}
}

// Listen listens at the address on a TCP network. Its errors are those of
// [net.ListenConfig.Listen].
func (c *TCPListenConfig) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	listener, err := c.ListenConfig.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &TCPListener{listener.(*net.TCPListener)}, nil
}

// TCPListener is a TCP listener whose connections are of type *Conn.
type TCPListener struct {
	*net.TCPListener
}

// Accept implements net.Listener.
func (l *TCPListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(conn, true)
}

// setOptions sets TCP_USER_TIMEOUT, for which package net has no option. An
// accepted connection inherits it from its listener. If the option can't be set, the
// dial or the listen fails.
func setOptions(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) { optErr = setMilliseconds(int(fd), unix.TCP_USER_TIMEOUT, userTimeout) })
	if err != nil {
		return err
	}
	return optErr
}

// setMilliseconds sets a TCP option whose value is a time in milliseconds.
func setMilliseconds(fd, option int, d time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, option, int(d.Milliseconds()))
}
