package node

import (
	"sync"
	"time"

	"curranthold.example/curranthold/internal/owner"
)

// pendingHeartbeat holds the last heartbeat that arrived before the node had a
// configuration. Without the declaration of its service, the node doesn't know
// how many requests per second the backend server can serve during its cold start.
type pendingHeartbeat struct {
	mu        sync.Mutex
	heartbeat *owner.Heartbeat
	received  time.Time
}

// HandleHeartbeat implements HeartbeatReceiver.
func (n *Node) HandleHeartbeat(h owner.Heartbeat) error {
	n.pending.mu.Lock()
	defer n.pending.mu.Unlock()
	if n.configuration.Snapshot().Generation() == 0 {
		n.pending.heartbeat, n.pending.received = &h, time.Now()
		return nil
	}
	n.pending.heartbeat = nil
	return n.owner.HandleHeartbeat(h)
}

// MarkDeparted implements HeartbeatReceiver.
func (n *Node) MarkDeparted(incarnation string, startMs int64) {
	n.pending.mu.Lock()
	defer n.pending.mu.Unlock()
	if n.pending.heartbeat != nil && n.pending.heartbeat.Announcement.Incarnation == incarnation {
		n.pending.heartbeat = nil
	}
	n.owner.MarkDeparted(incarnation, startMs)
}

// applyPendingHeartbeat processes the heartbeat that was held back until the node
// had a configuration.
func (n *Node) applyPendingHeartbeat() {
	n.pending.mu.Lock()
	defer n.pending.mu.Unlock()
	h := n.pending.heartbeat
	if h == nil {
		return
	}
	n.pending.heartbeat = nil
	h.ColdFor = max(h.ColdFor-time.Since(n.pending.received), 0)
	_ = n.owner.HandleHeartbeat(*h) // The only error is ErrStaleHeartbeat: a newer one was processed.
}
