// Package socket configures TCP connections so that they fail within seconds when
// the other side stops responding. A host that has lost power or is cut off by a
// network partition sends nothing, and with the default settings a connection to it
// hangs for minutes.
package socket

import (
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

// Dialer returns a dialer whose connections fail when the other side stops
// responding. Timeout is the timeout of a dial.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// ListenConfig returns the configuration of listeners whose connections fail when
// the other side stops responding.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// setUserTimeout sets TCP_USER_TIMEOUT, for which package net has no option. An
// accepted connection inherits it from its listener. If the option can't be set, the
// dial or the listen fails.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
