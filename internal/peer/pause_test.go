package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/peer"
)

const (
	// gateBuffer is the size of a gate's reads, in bytes.
	gateBuffer = 64 << 10
	// largeText is larger than what the buffers of a connection hold by default, in
	// bytes, and largeCalls texts of this size are larger than any such buffers.
	largeText  = 7 << 20
	largeCalls = 4
)

// gate forwards connections to a node. While it is closed it reads nothing from the
// connections that it has, like a node whose process is suspended.
type gate struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
	// opened is closed while the gate is open.
	opened chan struct{}
}

func newGate(t *testing.T, target string) *gate {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	g := &gate{listener: listener, target: target, opened: make(chan struct{})}
	close(g.opened)
	g.wg.Go(g.accept)
	t.Cleanup(g.end)
	return g
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (g *gate) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		node, err := net.Dial("tcp", g.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		g.mu.Lock()
		g.conns = append(g.conns, conn, node)
		opened := g.opened
		g.mu.Unlock()
		g.wg.Go(func() { g.forward(node, conn, &opened) })
		g.wg.Go(func() { _, _ = io.Copy(conn, node) })
	}
}

// forward copies from the client to the node while the gate is open. A connection that was
// accepted while the gate was closed is forwarded at once.
func (g *gate) forward(node, conn net.Conn, opened *chan struct{}) {
	defer func() { _ = node.Close() }()
	buffer := make([]byte, gateBuffer)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		if _, err := node.Write(buffer[:n]); err != nil {
			return
		}
		g.mu.Lock()
		next := g.opened
		g.mu.Unlock()
		if next != *opened {
			<-next
			*opened = next
		}
	}
}

// shut closes the gate for the connections that it has.
func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
}

func (g *gate) end() {
	_ = g.listener.Close()
	g.mu.Lock()
	for _, conn := range g.conns {
		_ = conn.Close()
	}
	g.mu.Unlock()
	g.wg.Wait()
}

// say starts a call with a text of the given size. The channel gets its error.
func say(ctx context.Context, pool *peer.Pool, address string, bytes int) <-chan error {
	answered := make(chan error, 1)
	go func() {
		answered <- pool.Call(ctx, address, "Echo.Say", &Text{strings.Repeat("x", bytes)}, &Text{})
	}()
	return answered
}

// TestPausedPeerKeepsCalls guards against a node that is suspended for some seconds and whose running calls are taken for lost, because their connection is reset.
func TestPausedPeerKeepsCalls(t *testing.T) {
	receiver := &echo{entered: make(chan struct{})}
	target, _ := serve(t, new(recordedGenerations), receiver)
	g := newGate(t, target)
	pool := newPool(t, secret, new(recordedGenerations))
	running := hangingCall(pool, g.address(), receiver)

	g.shut()
	waiting := say(context.Background(), pool, g.address(), largeText)
	time.Sleep(5 * time.Second)
	g.open()
	qt.Check(t, <-waiting, qt.IsNil)
	receiver.entered <- struct{}{}
	qt.Check(t, <-running, qt.IsNil)
}

// TestPausedPeerDoesNotBlockCallers guards against calls that outlast their context, because a node that is suspended does not take them.
func TestPausedPeerDoesNotBlockCallers(t *testing.T) {
	target, _ := serve(t, new(recordedGenerations), new(echo))
	g := newGate(t, target)
	pool := newPool(t, secret, new(recordedGenerations))
	qt.Assert(t, <-say(context.Background(), pool, g.address(), 1), qt.IsNil)

	g.shut()
	defer g.open()
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	var calls []<-chan error
	for range largeCalls {
		calls = append(calls, say(ctx, pool, g.address(), largeText))
	}
	notSent := 0
	for _, answered := range calls {
		err := <-answered
		qt.Check(t, errors.Is(err, peer.ErrBroken) || errors.Is(err, peer.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
		if errors.Is(err, peer.ErrNotSent) {
			notSent++
		}
	}
	qt.Check(t, time.Since(begun) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
	qt.Check(t, notSent > 0, qt.IsTrue)
}

// TestStalledConnectionTakesNoMoreCalls guards against calls that all wait for a connection which is not read, though the node takes new ones.
func TestStalledConnectionTakesNoMoreCalls(t *testing.T) {
	target, _ := serve(t, new(recordedGenerations), new(echo))
	g := newGate(t, target)
	pool := newPool(t, secret, new(recordedGenerations))
	qt.Assert(t, <-say(context.Background(), pool, g.address(), 1), qt.IsNil)

	g.shut()
	first := say(context.Background(), pool, g.address(), largeText)
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	qt.Check(t, <-say(ctx, pool, g.address(), 1), qt.IsNil)
	g.open()
	qt.Check(t, <-first, qt.IsNil)
}
