package peer_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"curranthold.example/curranthold/internal/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type recordedGenerations struct {
	own   uint64
	heard atomic.Uint64
	from  atomic.Value
}

func (g *recordedGenerations) Current() uint64 { return g.own }

func (g *recordedGenerations) Observe(generation uint64, address string) {
	g.heard.Store(generation)
	g.from.Store(address)
}

type echo struct{ entered chan struct{} }

type Text struct{ Value string }

func (e *echo) Say(args, reply *Text) error {
	reply.Value = args.Value
	return nil
}

func (e *echo) Refuse(_, _ *Text) error { return errors.New("refused") }

func (e *echo) Hang(_, _ *Text) error {
	e.entered <- struct{}{}
	<-e.entered
	return nil
}

var secret = []byte("0123456789abcdef0123456789abcdef")

func serve(t *testing.T, generations peer.GenerationTracker, receiver any) (string, *peer.Server) {
	server := peer.NewServer(secret, generations)
	qt.Assert(t, server.Register("Echo", receiver), qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		qt.Check(t, server.Close(), qt.IsNil)
		qt.Check(t, <-done, qt.IsNil)
	})
	return listener.Addr().String(), server
}

func newPool(t *testing.T, secret []byte, generations peer.GenerationTracker) *peer.Pool {
	pool := peer.NewPool(secret, "127.0.0.1:7", generations)
	t.Cleanup(func() { qt.Check(t, pool.Close(), qt.IsNil) })
	return pool
}

func TestCall(t *testing.T) {
	serverGenerations, clientGenerations := &recordedGenerations{own: 9}, &recordedGenerations{own: 4}
	address, _ := serve(t, serverGenerations, new(echo))
	pool := newPool(t, secret, clientGenerations)

	var reply Text
	for _, text := range []string{"one", "two"} {
		err := pool.Call(context.Background(), address, "Echo.Say", &Text{text}, &reply)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Value, qt.Equals, text)
	}
	qt.Assert(t, serverGenerations.heard.Load(), qt.Equals, uint64(4))
	qt.Assert(t, serverGenerations.from.Load(), qt.Equals, "127.0.0.1:7")
	qt.Assert(t, clientGenerations.heard.Load(), qt.Equals, uint64(9))

	err := pool.Call(context.Background(), address, "Echo.Refuse", &Text{}, &reply)
	qt.Assert(t, err, qt.ErrorMatches, "refused")
	qt.Assert(t, errors.Is(err, peer.ErrBroken), qt.IsFalse)
}

func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closedAddress := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	liveAddress, _ := serve(t, new(recordedGenerations), new(echo))

	tests := map[string]struct {
		address string
		secret  []byte
	}{
		"no listener":  {address: closedAddress, secret: secret},
		"other secret": {address: liveAddress, secret: []byte("another")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			pool := newPool(t, test.secret, new(recordedGenerations))
			err := pool.Call(context.Background(), test.address, "Echo.Say", &Text{}, &Text{})
			qt.Assert(t, errors.Is(err, peer.ErrNotSent), qt.IsTrue)
		})
	}
}

func TestBrokenOnceTheMessageMayHaveArrived(t *testing.T) {
	receiver := &echo{entered: make(chan struct{})}
	address, _ := serve(t, new(recordedGenerations), receiver)
	pool := newPool(t, secret, new(recordedGenerations))

	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() { failed <- pool.Call(ctx, address, "Echo.Hang", &Text{}, &Text{}) }()
	<-receiver.entered
	cancel()
	qt.Assert(t, errors.Is(<-failed, peer.ErrBroken), qt.IsTrue)
	receiver.entered <- struct{}{}
}

// hangingCall makes a call that waits for a value in receiver.entered, and returns once the
// receiver has it. The channel gets the result.
func hangingCall(pool *peer.Pool, address string, receiver *echo) <-chan error {
	answered := make(chan error, 1)
	go func() { answered <- pool.Call(context.Background(), address, "Echo.Hang", &Text{}, &Text{}) }()
	<-receiver.entered
	return answered
}

// TestCloseSendsAnswersInProgress guards against a stop that cuts the connection of a call that is about to be answered.
func TestCloseSendsAnswersInProgress(t *testing.T) {
	receiver := &echo{entered: make(chan struct{})}
	address, server := serve(t, new(recordedGenerations), receiver)
	pool := newPool(t, secret, new(recordedGenerations))
	answered := hangingCall(pool, address, receiver)
	closed := make(chan error, 1)
	go func() { closed <- server.Close() }()
	time.Sleep(50 * time.Millisecond)
	receiver.entered <- struct{}{}
	qt.Check(t, <-answered, qt.IsNil)
	qt.Check(t, <-closed, qt.IsNil)
}

// TestCloseCutsLateCalls checks that Close does not leave the connection of a call open
// that goes on.
func TestCloseCutsLateCalls(t *testing.T) {
	receiver := &echo{entered: make(chan struct{})}
	address, server := serve(t, new(recordedGenerations), receiver)
	pool := newPool(t, secret, new(recordedGenerations))
	answered := hangingCall(pool, address, receiver)
	closed := make(chan error, 1)
	go func() { closed <- server.Close() }()
	select {
	case err := <-answered:
		qt.Check(t, errors.Is(err, peer.ErrBroken), qt.IsTrue)
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open after 2 s")
	}
	receiver.entered <- struct{}{}
	qt.Check(t, <-closed, qt.IsNil)
}

// TestFailedCallLeavesOthersAlone guards against a call that breaks all calls in progress on its connection, because it can't be sent or its reply can't be decoded.
func TestFailedCallLeavesOthersAlone(t *testing.T) {
	tests := map[string]struct {
		args  *Text
		reply any
	}{
		"too large to be sent": {&Text{strings.Repeat("x", peer.MaxFrameBytes+1)}, &Text{}},
		"reply of other type":  {&Text{"text"}, &struct{ Value int }{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			receiver := &echo{entered: make(chan struct{})}
			address, _ := serve(t, new(recordedGenerations), receiver)
			pool := newPool(t, secret, new(recordedGenerations))
			answered := hangingCall(pool, address, receiver)

			err := pool.Call(context.Background(), address, "Echo.Say", test.args, test.reply)
			qt.Check(t, errors.Is(err, peer.ErrBroken), qt.IsTrue)
			receiver.entered <- struct{}{}
			qt.Check(t, <-answered, qt.IsNil)
			qt.Check(t, pool.Call(context.Background(), address, "Echo.Say", &Text{"small"}, &Text{}), qt.IsNil)
		})
	}
}

// TestInvalidHandshakes connects with clients that do not complete the handshake.
// The server must close their connections and continue to serve other nodes.
func TestInvalidHandshakes(t *testing.T) {
	address, _ := serve(t, new(recordedGenerations), new(echo))
	for name, sent := range map[string]string{
		"http":        "GET / HTTP/1.1\r\nHost: a\r\n\r\n0123456789abcdef0123456789abcdef",
		"truncated":   "crnthld\x01abc",
		"wrong proof": "crnthld\x01" + string(make([]byte, 400)),
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			qt.Assert(t, err, qt.IsNil)
			_, err = conn.Write([]byte(sent))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			qt.Assert(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
			for err == nil {
				_, err = conn.Read(make([]byte, 512))
			}
			var timeout net.Error
			qt.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse)
			qt.Assert(t, conn.Close(), qt.IsNil)
		})
	}
	pool := newPool(t, secret, new(recordedGenerations))
	qt.Assert(t, pool.Call(context.Background(), address, "Echo.Say", &Text{"still"}, &Text{}), qt.IsNil)
}
