package entry

import (
	"context"
	"sync"
	"time"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/call"
)

const (
	// silenceThreshold is how long a host may send no answer at all, while a call
	// waits for one, before it is pinged.
	silenceThreshold = 250 * time.Millisecond
	// pingTimeout bounds the wait for the answer to a ping.
	pingTimeout = 300 * time.Millisecond
)

// livenessTracker detects hosts that stopped responding. The answer to a call may
// take long even if the host is healthy, but a ping is answered within a round trip.
// The zero value is ready to use.
type livenessTracker struct {
	mu    sync.Mutex
	hosts map[string]*hostState
}

// hostState is the state of one host.
type hostState struct {
	// lastHeard is the time of the last answer of any kind from the host.
	lastHeard time.Time
	// probing is not nil while a ping to the host is outstanding. It is closed
	// when alive has been set to the outcome.
	probing chan struct{}
	alive   bool
}

func (t *livenessTracker) hostState(host string) *hostState {
	if t.hosts == nil {
		t.hosts = make(map[string]*hostState)
	}
	s := t.hosts[host]
	if s == nil {
		s = &hostState{}
		t.hosts[host] = s
	}
	return s
}

// retain drops the state of all hosts that are not present, except while a ping to
// them is outstanding.
func (t *livenessTracker) retain(present map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for host, s := range t.hosts {
		if !present[host] && s.probing == nil {
			delete(t.hosts, host)
		}
	}
}

// markHeard records that the host sent an answer.
func (t *livenessTracker) markHeard(host string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hostState(host).lastHeard = now
}

// silentFor returns the time since the host's last answer.
func (t *livenessTracker) silentFor(host string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.hostState(host).lastHeard)
}

// probe reports whether the host is alive, by calling ping. Concurrent calls for one
// host share a single ping. It returns true if ctx ends during the wait for another
// call's ping.
func (t *livenessTracker) probe(ctx context.Context, host string, ping func() bool) bool {
	t.mu.Lock()
	s := t.hostState(host)
	if s.probing != nil {
		probing := s.probing
		t.mu.Unlock()
		select {
		case <-probing:
		case <-ctx.Done():
			return true
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		return s.alive
	}
	s.probing = make(chan struct{})
	t.mu.Unlock()
	alive := ping()
	t.mu.Lock()
	defer t.mu.Unlock()
	s.alive = alive
	if alive {
		s.lastHeard = time.Now()
	}
	close(s.probing)
	s.probing = nil
	return alive
}

// watchHost calls silent, at most once, if the host stops responding before ctx ends.
func (e *Entry) watchHost(ctx context.Context, host balance.Host, silent func()) {
	timer := time.NewTimer(silenceThreshold)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		silence := e.liveness.silentFor(host.ID, time.Now())
		if silence >= silenceThreshold {
			if !e.liveness.probe(ctx, host.ID, func() bool { return e.ping(host) }) {
				silent()
				return
			}
			silence = 0
		}
		timer.Reset(silenceThreshold - silence)
	}
}

// ping reports whether the host's owner answers a ping.
func (e *Entry) ping(host balance.Host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	return e.config.Peers.Call(ctx, host.Address, "Owner.Ping", &call.Ping{Host: e.config.Host}, new(call.Ping)) == nil
}
