package node

import (
	"context"
	"errors"
	"time"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/owner"
)

const (
	// probeInterval is the time between two health checks of the backend server
	// before its first heartbeat.
	probeInterval = 100 * time.Millisecond
	// probeDuration bounds the time of these checks. The interval between heartbeats
	// is shorter.
	probeDuration = 3 * time.Second
	// healthTimeout bounds one health check.
	healthTimeout = 250 * time.Millisecond
)

// errUndeclared means that the backend server's service is not declared.
var errUndeclared = errors.New("node: the service is not declared")

// Health is a backend server's answer to a health check.
type Health struct {
	// Incarnation is the name of the running backend server. The backend server
	// uses it to check that a request is meant for it.
	Incarnation string
	// ColdFor is the remaining time of the backend server's cold start.
	ColdFor time.Duration
}

// probeBackend checks the health of the backend server until it answers, a
// heartbeat arrives or probeDuration has passed. A node that restarts beside a
// running backend server thus needn't wait for the next heartbeat. The health
// doesn't tell the slots, so they are assumed from the service's other backend
// servers.
func (n *Node) probeBackend(ctx context.Context) {
	for end := time.Now().Add(probeDuration); time.Now().Before(end) && !n.owner.Announced(); {
		if n.probeBackendOnce(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval):
		}
	}
}

// probeBackendOnce makes one health check and reports whether it succeeded.
func (n *Node) probeBackendOnce(ctx context.Context) bool {
	service := n.settings.Service
	slots := n.fewestSlots(service)
	if slots == 0 {
		return false
	}
	health, err := n.checkHealth(ctx, service)
	if err != nil {
		return false // Retried, unless a heartbeat arrives first.
	}
	assumed := n.owner.AssumeAnnounced(owner.Heartbeat{
		Announcement: owner.Announcement{
			Service: service, Address: n.settings.ServerAddress, Slots: slots,
			Cold: health.ColdFor > 0, Incarnation: health.Incarnation,
		},
		ColdFor: health.ColdFor,
	})
	if assumed {
		eventAssumed.Log(event.Fields{
			"service": service, "incarnation": health.Incarnation, "slots": slots, "cold-ms": health.ColdFor.Milliseconds(),
		})
	}
	return true
}

// fewestSlots returns the smallest number of slots that a backend server of the
// service announces, 0 if none is known.
func (n *Node) fewestSlots(service string) int {
	fewest := 0
	for _, m := range n.members.Members() {
		if m.Service == service && m.Slots > 0 && (fewest == 0 || m.Slots < fewest) {
			fewest = m.Slots
		}
	}
	return fewest
}

// checkHealth queries the health of the backend server on this host.
func (n *Node) checkHealth(ctx context.Context, service string) (Health, error) {
	spec, declared := n.configuration.Snapshot().Services()[service]
	if !declared {
		return Health{}, errUndeclared
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return n.adapter.Health(ctx, n.settings.ServerAddress, spec.HealthPath)
}
