package pipeline

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lockedConn is a connection of the inner listener whose Close checks the lock of the
// connection around it.
type lockedConn struct {
	net.Conn
	check func()
}

func (c *lockedConn) Close() error {
	c.check()
	return c.Conn.Close()
}

// heldConn is a connection without a server, whose states and requests the test sets.
type heldConn struct {
	*conn
	// hook is called for each state of which the server's hook is told.
	hook func(http.ConnState)

	statesMu sync.Mutex
	states   []http.ConnState
}

func newHeldConn(t *testing.T) *heldConn {
	inner, other := net.Pipe()
	t.Cleanup(func() { _ = other.Close() })
	h := &heldConn{hook: func(http.ConnState) {}}
	l := NewListener(nil, defaults())
	l.nextState = func(_ net.Conn, state http.ConnState) {
		h.hook(state)
		h.statesMu.Lock()
		defer h.statesMu.Unlock()
		h.states = append(h.states, state)
	}
	h.conn = newConn(l, inner)
	t.Cleanup(func() {
		_ = inner.Close()
		l.Wait()
	})
	return h
}

func (h *heldConn) told() []http.ConnState {
	h.statesMu.Lock()
	defer h.statesMu.Unlock()
	return append([]http.ConnState(nil), h.states...)
}

// readAhead begins a request that was read ahead.
func (h *heldConn) readAhead(t *testing.T) *stream {
	qt.Assert(t, h.startStream([]byte(get("/"))), qt.IsTrue)
	return <-h.listener.streams
}

// connChanges are changes of a connection, whose server has read one request, of which the
// server's hook is told.
var connChanges = map[string]func(h *heldConn, ahead *stream){
	"the last response ends": func(h *heldConn, ahead *stream) {
		h.setState(http.StateIdle)
		ahead.complete()
	},
	"the server closes": func(h *heldConn, _ *stream) { _ = h.Close() },
	"a response that was read ahead closes": func(h *heldConn, ahead *stream) {
		h.setState(http.StateIdle)
		_ = ahead.Close()
	},
	"a later response closes before its turn": func(h *heldConn, ahead *stream) {
		_ = ahead.Close()
		h.setState(http.StateIdle)
	},
	"the server closes before the last response": func(h *heldConn, ahead *stream) {
		h.setState(http.StateIdle)
		_ = h.Close()
		ahead.complete()
	},
	"the server closes when idle": func(h *heldConn, ahead *stream) {
		h.setState(http.StateIdle)
		ahead.complete()
		_ = h.Close()
	},
	"the handler takes the connection": func(h *heldConn, _ *stream) { h.setState(http.StateHijacked) },
}

// lockWatch counts calls, and those that were made while the connection's lock was held.
type lockWatch struct {
	conn          *heldConn
	calls, locked atomic.Int32
}

func (w *lockWatch) call() {
	w.calls.Add(1)
	if !w.conn.mu.TryLock() {
		w.locked.Add(1)
		return
	}
	w.conn.mu.Unlock()
}

func watchLock(h *heldConn) *lockWatch {
	w := &lockWatch{conn: h}
	h.hook = func(http.ConnState) { w.call() }
	h.Conn = &lockedConn{h.Conn, w.call}
	return w
}

// TestHooksWithoutLock guards against a deadlock of the whole node: a hook of the server, or
// Close of the inner connection, that is called under a connection's lock and waits for a
// lock whose holder waits for the connection.
func TestHooksWithoutLock(t *testing.T) {
	for name, change := range connChanges {
		t.Run(name, func(t *testing.T) {
			h := newHeldConn(t)
			w := watchLock(h)
			h.setState(http.StateNew)
			h.setState(http.StateActive)
			change(h, h.readAhead(t))
			h.listener.Wait()
			qt.Check(t, w.calls.Load() > 2, qt.IsTrue)
			qt.Check(t, w.locked.Load(), qt.Equals, int32(0))
		})
	}
	t.Run("not pipelined", func(t *testing.T) {
		h := newHeldConn(t)
		w := watchLock(h)
		_ = h.Close()
		qt.Check(t, w.calls.Load(), qt.Equals, int32(2)) // The hook, then Close.
		qt.Check(t, w.locked.Load(), qt.Equals, int32(0))
	})
}

// TestBlockedHook guards against a server's hook that blocks and holds up the responses of
// its connection, as the hook of the client limits did on a node that hung.
func TestBlockedHook(t *testing.T) {
	for name, change := range connChanges {
		t.Run(name, func(t *testing.T) {
			h := newHeldConn(t)
			h.setState(http.StateActive)
			ahead := h.readAhead(t)
			blocked, release := make(chan struct{}), make(chan struct{})
			var once sync.Once
			h.hook = func(http.ConnState) {
				once.Do(func() { close(blocked) })
				<-release
			}
			changed := make(chan struct{})
			go func() {
				defer close(changed)
				change(h, ahead)
			}()
			await(t, blocked, "the hook blocks")
			others := make(chan struct{})
			go func() {
				defer close(others)
				_ = h.SetWriteDeadline(time.Now())
				_ = ahead.SetWriteDeadline(time.Now())
				_ = ahead.SetReadDeadline(time.Now().Add(waitLimit))
				h.noteError(net.ErrClosed)
			}()
			await(t, others, "the connection is used")
			close(release)
			await(t, changed, "the change ends")
		})
	}
}

// TestHookOrder guards against states that the hook is told in another order than they came
// in, such as an idle connection with a request in progress.
func TestHookOrder(t *testing.T) {
	h := newHeldConn(t)
	h.setState(http.StateNew)
	h.setState(http.StateActive)
	blocked, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	h.hook = func(http.ConnState) {
		once.Do(func() {
			close(blocked)
			<-release
		})
	}
	var wg sync.WaitGroup
	wg.Go(func() { h.setState(http.StateIdle) })
	await(t, blocked, "the hook blocks in the idle state")
	wg.Go(func() {
		h.setState(http.StateActive)
		qt.Check(t, h.told()[2:], qt.DeepEquals, []http.ConnState{http.StateIdle, http.StateActive})
		h.setState(http.StateIdle)
		_ = h.Close()
	})
	time.Sleep(10 * time.Millisecond) // For an order that would be wrong.
	qt.Check(t, h.told(), qt.HasLen, 2)
	close(release)
	wg.Wait()
	qt.Check(t, h.told(), qt.DeepEquals, []http.ConnState{
		http.StateNew, http.StateActive, http.StateIdle, http.StateActive, http.StateIdle, http.StateClosed,
	})
}

func await(t *testing.T, done <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(waitLimit):
		t.Fatalf("not within %v: %s", waitLimit, what)
	}
}
