package node

import (
	"sync"
	"time"

	"curranthold.example/curranthold/internal/owner"
)

// heldBeat keeps the last heartbeat that came before the node knew what is
// declared of the backend server's service, without which nobody knows what the
// backend server bears while it is cold.
type heldBeat struct {
	mu   sync.Mutex
	beat *owner.Heartbeat
	came time.Time
}

// Beat implements Heartbeats.
func (n *Node) Beat(h owner.Heartbeat) error {
	n.held.mu.Lock()
	defer n.held.mu.Unlock()
	if n.configuration.Snapshot().Generation() == 0 {
		n.held.beat, n.held.came = &h, time.Now()
		return nil
	}
	n.held.beat = nil
	return n.owner.Beat(h)
}

// Depart implements Heartbeats.
func (n *Node) Depart(name string, born int64) {
	n.held.mu.Lock()
	defer n.held.mu.Unlock()
	if n.held.beat != nil && n.held.beat.Announcement.Incarnation == name {
		n.held.beat = nil
	}
	n.owner.Depart(name, born)
}

// releaseBeat puts the heartbeat into force that was held until the node knew a
// configuration.
func (n *Node) releaseBeat() {
	n.held.mu.Lock()
	defer n.held.mu.Unlock()
	h := n.held.beat
	if h == nil {
		return
	}
	n.held.beat = nil
	h.ColdFor = max(h.ColdFor-time.Since(n.held.came), 0)
	_ = n.owner.Beat(*h) // A later one that overtook it is in force.
}
