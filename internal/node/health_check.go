package node

import (
	"context"
	"errors"
	"time"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/owner"
)

const (
	// healthCheckInterval is the time between two health checks of the backend
	// server before its first heartbeat.
	healthCheckInterval = 100 * time.Millisecond
	// healthCheckDuration is how long these checks are made at most. It is long
	// enough for the first heartbeat to arrive at the usual interval.
	healthCheckDuration = 3 * time.Second
	// healthCheckTimeout bounds one health check.
	healthCheckTimeout = 250 * time.Millisecond
)

// errUndeclared means that the backend server's service is not declared.
var errUndeclared = errors.New("node: the service is not declared")

// checkBackend makes health checks of the backend server until one succeeds, a
// heartbeat arrives or healthCheckDuration has passed. A node that restarts beside a
// running backend server thus needn't wait for the next heartbeat. A health check
// doesn't report the number of slots, so it is assumed from the service's other
// backend servers.
func (n *Node) checkBackend(ctx context.Context) {
	for end := time.Now().Add(healthCheckDuration); time.Now().Before(end) && !n.owner.Announced(); {
		if n.checkBackendOnce(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(healthCheckInterval):
		}
	}
}

// checkBackendOnce makes one health check and reports whether it succeeded. Without a
// known number of slots, it makes none and returns false.
func (n *Node) checkBackendOnce(ctx context.Context) bool {
	service := n.settings.Service
	slots := n.fewestSlots(service)
	version, known := n.assumedVersion(service)
	if slots == 0 || !known {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	health, err := n.checkHealth(ctx, service)
	if err != nil || health.Leaving {
		return false // Retried, unless a heartbeat arrives first.
	}
	announced := n.owner.AnnounceProvisionally(owner.Heartbeat{
		Announcement: owner.Announcement{
			Service: service, Version: version, Address: n.settings.ServerAddress, Slots: slots,
			Cold: health.ColdFor > 0, Incarnation: health.Incarnation,
		},
		ColdFor: health.ColdFor,
	})
	if announced {
		eventAnnouncedProvisionally.Log(event.Fields{
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

// checkHealth makes a health check of the backend server on this host.
func (n *Node) checkHealth(ctx context.Context, service string) (owner.Health, error) {
	spec, declared := n.configuration.Snapshot().Services()[service]
	if !declared {
		return owner.Health{}, errUndeclared
	}
	return n.adapter.Health(ctx, n.settings.ServerAddress, spec.HealthPath)
}
