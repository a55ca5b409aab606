package peer_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/peer"
)

// crowdedListener fails as often as remaining says, as if the process had no descriptors.
type crowdedListener struct {
	net.Listener
	remaining atomic.Int64
}

func (l *crowdedListener) Accept() (net.Conn, error) {
	if l.remaining.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServeOutlivesLackOfDescriptors guards against a node that no other node reaches any
// more once it has run out of descriptors for a moment.
func TestServeOutlivesLackOfDescriptors(t *testing.T) {
	server := peer.NewServer(secret, new(recordedGenerations))
	qt.Assert(t, server.Register("Echo", new(echo)), qt.IsNil)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener := &crowdedListener{Listener: inner}
	listener.remaining.Store(3)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	pool := newPool(t, secret, new(recordedGenerations))
	qt.Check(t, pool.Call(context.Background(), inner.Addr().String(), "Echo.Say", &Text{"x"}, &Text{}), qt.IsNil)
	qt.Check(t, server.Close(), qt.IsNil)
	qt.Check(t, <-done, qt.IsNil)
}

// TestMaxHandshakes guards against connections without a handshake that use up the
// descriptors of a node.
func TestMaxHandshakes(t *testing.T) {
	const limit = 4
	server := peer.NewServer(secret, new(recordedGenerations))
	server.SetMaxHandshakes(limit)
	qt.Assert(t, server.Register("Echo", new(echo)), qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	var conns []net.Conn
	for range 3 * limit {
		conn, err := net.Dial("tcp", listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	for _, conn := range conns[:2*limit] {
		qt.Assert(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		_, err := conn.Read(make([]byte, 1))
		var timeout net.Error
		qt.Check(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse)
	}
	pool := newPool(t, secret, new(recordedGenerations))
	qt.Check(t, pool.Call(context.Background(), listener.Addr().String(), "Echo.Say", &Text{"x"}, &Text{}), qt.IsNil)
	qt.Check(t, server.Close(), qt.IsNil)
	qt.Check(t, <-done, qt.IsNil)
}
