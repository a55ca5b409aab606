package rollout

import (
	"context"
	"time"
)

// Manager keeps the rollouts of this host's view. All methods may be called
// concurrently, and work on a nil Manager.
type Manager struct {
	config Config
}

// New returns a Manager without orders.
func New(config Config) *Manager { return &Manager{config: config} }

// SetOrders sets the orders of the configuration in force.
func (m *Manager) SetOrders(orders []Order) {}

// SetHosts sets the live hosts, this one included.
func (m *Manager) SetHosts(hosts []Host) {}

// SetBackend sets the service and version of the own backend server; "" if there is none.
func (m *Manager) SetBackend(service, version string) {}

// Record records one response of the own backend server. Failures caused by nested
// calls must not be recorded as failed.
func (m *Manager) Record(route string, failed bool, took time.Duration) {}

// Refusal reports whether the own backend server must get no new calls: because its
// version is not in use (leaving), or because its traffic moves to another version.
func (m *Manager) Refusal() (leaving, superseded bool) { return false, false }

// IsCandidate reports whether the own backend server has a version that is not in force.
func (m *Manager) IsCandidate() bool { return false }

// UseCandidate reports whether the next first attempt of a call to the service goes to
// a candidate.
func (m *Manager) UseCandidate(service string) bool { return false }

// Status returns the status of the service's last rollout.
func (m *Manager) Status(service string) (Status, bool) { return Status{}, false }

// RPC returns the net/rpc receiver to register under [ServiceName].
func (m *Manager) RPC() any { return &RPC{manager: m} }

// RPC is the net/rpc receiver for the messages of other hosts.
type RPC struct{ manager *Manager }

// Run decides about rollouts until the context ends.
func (m *Manager) Run(ctx context.Context) error { <-ctx.Done(); return nil }
