// Package socket opens TCP connections that notice within seconds that the other
// side is gone: a host without power or behind a partition answers nothing, and
// without bounds of its own a connection to it hangs for minutes.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledged is how long what was sent may stay unacknowledged.
	unacknowledged = 2 * time.Second
	// idle, interval and probes decide when a connection without traffic is
	// probed, and given up.
	idle     = time.Second
	interval = time.Second
	probes   = 2
)

// keepAlive probes connections on which nothing is sent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: idle, Interval: interval, Count: probes}

// Dialer returns a dialer whose connections notice a silent peer. Timeout bounds
// the opening of one.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: control}
}

// ListenConfig returns the configuration of listeners whose connections notice a
// silent peer.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: keepAlive, Control: control}
}

// control sets the options that net does not know. A connection works without
// them, and an accepted one has them from its listener.
func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
