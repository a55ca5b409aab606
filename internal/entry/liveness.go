package entry

import (
	"context"
	"sync"
	"time"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/call"
)

const (
	// pingAfter is the time without any answer from a host, while a call waits for
	// one, after which the host is pinged.
	pingAfter = 250 * time.Millisecond
	// pingTimeout bounds the wait for the answer to a ping.
	pingTimeout = 300 * time.Millisecond
)

// livenessTracker detects unresponsive hosts: those that do not answer a ping. The
// answer to a call may take long even if the host is healthy, but a ping is answered
// within a round trip.
// The zero value is ready to use.
type livenessTracker struct {
	mu    sync.Mutex
	hosts map[string]*hostState
}

// hostState is the state of one host.
type hostState struct {
	// lastHeard is the time of the last answer of any kind from the host.
	lastHeard time.Time
	// pinging is not nil while a ping to the host is outstanding. It is closed
	// when responsive has been set to the outcome.
	pinging    chan struct{}
	responsive bool
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

// retain deletes the state of all hosts that are not in present, except of those to
// which a ping is outstanding.
func (t *livenessTracker) retain(present map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for host, s := range t.hosts {
		if !present[host] && s.pinging == nil {
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

// sinceHeard returns the time since the host's last answer.
func (t *livenessTracker) sinceHeard(host string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.hostState(host).lastHeard)
}

// checkResponsive reports whether the host answers a ping, which the function ping
// sends. Concurrent calls for one host share a single ping. It returns true if ctx
// ends during the wait for another call's ping.
func (t *livenessTracker) checkResponsive(ctx context.Context, host string, ping func() bool) bool {
	t.mu.Lock()
	s := t.hostState(host)
	if s.pinging != nil {
		pinging := s.pinging
		t.mu.Unlock()
		select {
		case <-pinging:
		case <-ctx.Done():
			return true
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		return s.responsive
	}
	s.pinging = make(chan struct{})
	t.mu.Unlock()
	responsive := ping()
	t.mu.Lock()
	defer t.mu.Unlock()
	s.responsive = responsive
	if responsive {
		s.lastHeard = time.Now()
	}
	close(s.pinging)
	s.pinging = nil
	return responsive
}

// watchHost calls onUnresponsive, at most once, if the host becomes unresponsive
// before ctx ends. It is called when an attempt has waited for pingAfter.
func (e *Entry) watchHost(ctx context.Context, host balance.Host, onUnresponsive func()) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		elapsed := e.liveness.sinceHeard(host.ID, time.Now())
		if elapsed >= pingAfter {
			if !e.liveness.checkResponsive(ctx, host.ID, func() bool { return e.ping(host) }) {
				onUnresponsive()
				return
			}
			elapsed = 0
		}
		timer.Reset(pingAfter - elapsed)
	}
}

// ping reports whether the host's owner answers a ping.
func (e *Entry) ping(host balance.Host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	return e.config.Peers.Call(ctx, host.Address, "Owner.Ping", &call.Ping{Host: e.config.Host}, new(call.Ping)) == nil
}
