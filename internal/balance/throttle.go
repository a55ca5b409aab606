package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// throttleDecayTime is the time constant with which the counts of a kind of
	// calls decay exponentially.
	throttleDecayTime = 500 * time.Millisecond
	// defaultMultiplier is used if Multiplier is 0.
	defaultMultiplier = 2
	// throttleIdleTime is how long a kind of calls is tracked after its last
	// downstream refusal. It bounds how long calls are refused after the cause has
	// ended.
	throttleIdleTime = time.Second
	// maxKinds bounds the number of kinds that are tracked.
	maxKinds = 4096
)

var refusedThrottled = metrics.Int("refused-throttled-requests")

// CallKind identifies calls that are throttled together.
type CallKind struct {
	Route   string
	Account string
	Urgency object.Urgency
}

// Throttle refuses calls that are likely to be refused by a service downstream of
// the called one, before work is spent on them. It implements the adaptive throttling
// of the Google SRE book for each kind of calls separately, so that refusals of one
// client account's calls do not affect another account. The zero value is ready to
// use. Its methods may be called concurrently.
type Throttle struct {
	// Multiplier is the maximum number of calls sent for each call that was accepted
	// downstream, on average. A value above 1 lets the Throttle notice when a
	// downstream service can accept more. 0 means 2. It must not change after the first
	// call.
	Multiplier float64
	// Random returns random numbers in [0, 1). It must be safe for concurrent use
	// and must not change after the first call. Nil means math/rand/v2.
	Random func() float64

	// kindCount is the length of kinds. While it is 0, calls need not take the
	// lock.
	kindCount atomic.Int64

	mu    sync.Mutex
	kinds map[CallKind]*kindState
}

// kindState counts the calls of one kind and those of them that were accepted
// downstream. Both counts decay exponentially.
type kindState struct {
	requests, accepted float64
	updated            time.Time
	lastRefusal        time.Time
}

func (k *kindState) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(k.updated)) / float64(throttleDecayTime))
	k.requests *= factor
	k.accepted *= factor
	k.updated = now
}

// idle reports whether the last downstream refusal is older than throttleIdleTime.
func (k *kindState) idle(now time.Time) bool { return now.Sub(k.lastRefusal) > throttleIdleTime }

// Admit returns nil if the call may be sent, and a *verdict.Error with verdict not-run
// otherwise. It counts the call if its kind is tracked: from a downstream refusal of
// such a call until throttleIdleTime after the last one.
func (t *Throttle) Admit(kind CallKind, now time.Time) error {
	if t.kindCount.Load() == 0 || t.admit(kind, now) {
		return nil
	}
	refusedThrottled.Add(1)
	err := verdict.New(verdict.NotRun, verdict.Overloaded, "a service beneath route %q refuses %s requests", kind.Route, kind.Urgency)
	err.Exhausted = true
	return err
}

func (t *Throttle) admit(kind CallKind, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	if k == nil {
		return true
	}
	if k.idle(now) {
		delete(t.kinds, kind)
		t.kindCount.Store(int64(len(t.kinds)))
		return true
	}
	k.decay(now)
	excess := k.requests - cmp.Or(t.Multiplier, defaultMultiplier)*k.accepted
	k.requests++
	return t.random() >= excess/k.requests
}

func (t *Throttle) random() float64 {
	if t.Random != nil {
		return t.Random()
	}
	return rand.Float64()
}

// RecentlyRefused reports whether a call of the kind was recently refused
// downstream.
func (t *Throttle) RecentlyRefused(kind CallKind, now time.Time) bool {
	if t.kindCount.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	return k != nil && !k.idle(now)
}

// Observe records the outcome of a call that was sent: whether a downstream service
// refused it.
func (t *Throttle) Observe(kind CallKind, refused bool, now time.Time) {
	if !refused && t.kindCount.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	if k == nil {
		if !refused || len(t.kinds) >= maxKinds {
			return
		}
		k = t.add(kind, now)
	}
	if refused {
		k.lastRefusal = now
		return
	}
	k.decay(now)
	k.accepted++
}

func (t *Throttle) add(kind CallKind, now time.Time) *kindState {
	if t.kinds == nil {
		t.kinds = make(map[CallKind]*kindState)
	}
	for other, k := range t.kinds {
		if k.idle(now) {
			delete(t.kinds, other)
		}
	}
	k := &kindState{updated: now}
	t.kinds[kind] = k
	t.kindCount.Store(int64(len(t.kinds)))
	return k
}
