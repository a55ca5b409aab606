package node

import (
	"context"
	"net/http"

	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/entry"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/rollout"
)

// Adapter replaces a node's built-in interfaces to the platform, callers, the
// backend server and operators, for platforms that define their own. The zero
// Adapter keeps the built-in interfaces.
type Adapter struct {
	// Table stores the directory of hosts.
	Table platform.Table
	// Source supplies the configuration that operators declare.
	Source configuration.Source
	// Callers and Backend translate the headers of callers and of the backend
	// server.
	Callers entry.Codec
	Backend owner.Codec
	// Heartbeats returns an HTTP handler that decodes the heartbeats of the backend
	// server and passes them to the receiver.
	Heartbeats func(HeartbeatReceiver) http.Handler
	// Health makes a health check of the backend server at the address. A response that is
	// no success may come with an error.
	Health func(ctx context.Context, address, path string) (owner.Health, error)
	// Readiness returns the handler of readiness checks, which calls ready to
	// learn whether the node accepts calls.
	Readiness func(ready func() bool) http.Handler
	// PublishRollout writes the state of a service's rollout for the operators.
	PublishRollout func(ctx context.Context, service, target string, state rollout.State) error
}

// HeartbeatReceiver receives the heartbeats of the backend server on this host.
type HeartbeatReceiver interface {
	// HandleHeartbeat processes a heartbeat. Its error wraps owner.ErrStaleHeartbeat
	// if a newer heartbeat was processed before.
	HandleHeartbeat(h owner.Heartbeat) error
	// MarkDeparted records that the backend server with the given incarnation
	// has stopped. StartMs is its start time in Unix milliseconds, 0 if unknown.
	MarkDeparted(incarnation string, startMs int64)
}

// external reports whether the adapter replaces the built-in interfaces.
func (a *Adapter) external() bool { return a.Source != nil }
