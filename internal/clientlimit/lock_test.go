package clientlimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// callbackLimit bounds the waits for callbacks that come at once.
const callbackLimit = 3 * time.Second

// lockWatch checks that the callbacks of a budget are called without its lock.
type lockWatch struct {
	budget        *Budget
	calls, locked int
}

func (w *lockWatch) call() {
	w.calls++
	if !w.budget.mu.TryLock() {
		w.locked++
		return
	}
	w.budget.mu.Unlock()
}

// TestCallbacksWithoutLock guards against a deadlock of the whole node: a callback that is
// called under the budget's lock and waits for a connection whose goroutine waits for the
// budget.
func TestCallbacksWithoutLock(t *testing.T) {
	const largest = 1 << 20
	tests := map[string]func(b *Budget, w *lockWatch){
		"a response goes on": func(b *Budget, w *lockWatch) {
			b.BeginResponse(largest, func() {}).Continue(w.call)
		},
		"a response without a limit goes on": func(_ *Budget, w *lockWatch) {
			new(Budget).BeginResponse(largest, func() {}).Continue(w.call)
		},
		"responses are aborted for others": func(b *Budget, w *lockWatch) {
			for range 2 * b.Limit(Responses) / largest {
				b.BeginResponse(largest, w.call)
			}
		},
		"connections are closed for others": func(b *Budget, w *lockWatch) {
			gate := b.Gate(1)
			for range 3 {
				gate.Admit(func(bool) { w.call() })
			}
		},
		"connections are closed in vain": func(b *Budget, w *lockWatch) {
			gate := b.Gate(2)
			gate.Admit(func(bool) {}).SetState(Active)
			gate.Admit(func(bool) { w.call() })
			gate.limit = 1
			gate.Admit(func(bool) {})
		},
		"a head is refused": func(b *Budget, w *lockWatch) {
			c := b.Gate(0).Admit(func(bool) { w.call() })
			c.Received(int(b.Limit(Heads))+1, 0)
		},
		"a head behind a request is refused": func(b *Budget, w *lockWatch) {
			gate := b.Gate(0)
			c := gate.Admit(func(bool) { w.call() })
			c.SetState(Active)
			c.Received(readerBytes, readerBytes)
			gate.Admit(func(bool) { w.call() }).Received(int(b.Limit(Heads)), 0)
			c.SetState(Idle)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(Limits{MemoryBytes: testMemory, MaxHeadBytes: 32 << 10, MaxResponseBytes: largest})
			w := &lockWatch{budget: b}
			test(b, w)
			qt.Check(t, w.calls > 0, qt.IsTrue)
			qt.Check(t, w.locked, qt.Equals, 0)
		})
	}
}

// TestBlockedConnection guards against one connection that blocks while its write deadline is
// set, as an aborted or a continued response does, and holds up all other clients.
func TestBlockedConnection(t *testing.T) {
	const size = 1 << 20
	tests := map[string]func(b *Budget, block func()){
		"extended": func(b *Budget, block func()) { b.BeginResponse(size, func() {}).Continue(block) },
		"aborted": func(b *Budget, block func()) {
			b.BeginResponse(b.Limit(Responses), block)
			b.BeginResponse(size, func() {})
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(Limits{MemoryBytes: testMemory, MaxHeadBytes: 32 << 10, MaxResponseBytes: size})
			client := admit(b.Gate(0))
			blocked, release, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
			go func() {
				defer close(ended)
				test(b, func() {
					close(blocked)
					<-release
				})
			}()
			defer func() {
				close(release)
				<-ended
			}()
			await(t, blocked, "the connection blocks")
			others := make(chan struct{})
			go func() {
				defer close(others)
				client.Received(100, 2)
				client.SetState(Active)
				r := b.BeginResponse(size, func() {})
				r.Continue(func() {})
				r.End()
				client.SetState(Idle)
				client.Leave()
				admit(b.Gate(0))
			}()
			await(t, others, "other clients are served")
		})
	}
}

// TestNoAbortAfterEnd guards against an abort that comes after its response has ended: it
// would cut off the next response of the connection.
func TestNoAbortAfterEnd(t *testing.T) {
	b := New(Limits{MemoryBytes: testMemory, MaxResponseBytes: 1 << 20})
	half := b.Limit(Responses) / 2
	aborting, release := make(chan struct{}), make(chan struct{})
	b.BeginResponse(half, func() {
		close(aborting)
		<-release
	})
	aborts := 0
	second := b.BeginResponse(half, func() { aborts++ })
	begun := make(chan struct{})
	go func() {
		defer close(begun)
		b.BeginResponse(b.Limit(Responses), func() {}) // Aborts both, in turn.
	}()
	await(t, aborting, "the first is aborted")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		second.End()
	}()
	await(t, ended, "the second ends")
	close(release)
	await(t, begun, "the third begins")
	qt.Check(t, aborts, qt.Equals, 0)
	qt.Check(t, b.InUse(Responses), qt.Equals, b.Limit(Responses))
}

// TestNoExtensionAfterAbort guards against a response that goes on after its abort: its
// memory has been given to another.
func TestNoExtensionAfterAbort(t *testing.T) {
	b := New(Limits{MemoryBytes: testMemory, MaxResponseBytes: 1 << 20})
	var calls []string
	extending, release := make(chan struct{}), make(chan struct{})
	r := b.BeginResponse(b.Limit(Responses), func() { calls = append(calls, "abort") })
	extended := make(chan bool)
	go func() {
		extended <- r.Continue(func() {
			close(extending)
			<-release
			calls = append(calls, "extend")
		})
	}()
	await(t, extending, "the response is extended")
	begun := make(chan struct{})
	go func() {
		defer close(begun)
		b.BeginResponse(1, func() {})
	}()
	for end := time.Now().Add(callbackLimit); b.InUse(Responses) != 1 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	close(release)
	qt.Check(t, <-extended, qt.IsTrue)
	await(t, begun, "the other response begins")
	qt.Check(t, calls, qt.DeepEquals, []string{"extend", "abort"})
	qt.Check(t, r.Continue(func() { t.Error("extended after the abort") }), qt.IsFalse)
}

func await(t *testing.T, done <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(callbackLimit):
		t.Fatalf("not within %v: %s", callbackLimit, what)
	}
}
