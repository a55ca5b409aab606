package node

import (
	"context"
	"errors"
	"time"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/owner"
)

const (
	// presumeInterval is the time between two attempts to learn of the backend
	// server before its first heartbeat.
	presumeInterval = 100 * time.Millisecond
	// presumeFor is how long that is tried; heartbeats come oftener.
	presumeFor = 3 * time.Second
	// healthTimeout bounds one question about a backend server's health.
	healthTimeout = 250 * time.Millisecond
)

// errUndeclared means that nothing is declared of the backend server's service.
var errUndeclared = errors.New("node: the service is not declared")

// Health is what a backend server answers to a question about its health.
type Health struct {
	// Incarnation is the name by which the backend server checks that a request
	// is meant for it.
	Incarnation string
	// ColdFor is how long the backend server is still in cold start.
	ColdFor time.Duration
}

// presume has a node that restarted beside a running backend server ask for its
// health, so that it need not wait for the next heartbeat. The slots are those of
// the other backend servers of the service.
func (n *Node) presume(ctx context.Context) {
	for end := time.Now().Add(presumeFor); time.Now().Before(end) && !n.owner.Announced(); {
		if n.presumeOnce(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(presumeInterval):
		}
	}
}

// presumeOnce reports whether there is nothing more to find out.
func (n *Node) presumeOnce(ctx context.Context) bool {
	service := n.settings.Service
	slots := n.siblingSlots(service)
	if slots == 0 {
		return false
	}
	health, err := n.askHealth(ctx, service)
	if err != nil {
		return false // The next attempt or a heartbeat tells.
	}
	presumed := n.owner.Presume(owner.Heartbeat{
		Announcement: owner.Announcement{
			Service: service, Address: n.settings.ServerAddress, Slots: slots,
			Cold: health.ColdFor > 0, Incarnation: health.Incarnation,
		},
		ColdFor: health.ColdFor,
	})
	if presumed {
		eventPresumed.Log(event.Fields{
			"service": service, "incarnation": health.Incarnation, "slots": slots, "cold-ms": health.ColdFor.Milliseconds(),
		})
	}
	return true
}

// siblingSlots returns the fewest slots of a backend server of the service, 0
// where none is known.
func (n *Node) siblingSlots(service string) int {
	fewest := 0
	for _, m := range n.members.Members() {
		if m.Service == service && m.Slots > 0 && (fewest == 0 || m.Slots < fewest) {
			fewest = m.Slots
		}
	}
	return fewest
}

// askHealth asks the backend server on this host for its health.
func (n *Node) askHealth(ctx context.Context, service string) (Health, error) {
	spec, declared := n.configuration.Snapshot().Services()[service]
	if !declared {
		return Health{}, errUndeclared
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return n.adapter.Health(ctx, n.settings.ServerAddress, spec.HealthPath)
}
