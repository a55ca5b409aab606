package node

import (
	"context"
	"net/http"

	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/entry"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/platform"
)

// Adapter stands in for the project's own interface where a node runs on
// somebody else's platform. The zero Adapter is the project's own interface.
type Adapter struct {
	// Table keeps the directory of nodes.
	Table platform.Table
	// Source is where operators declare the configuration.
	Source configuration.Source
	// Callers and Backend translate the headers of callers and of the backend
	// server.
	Callers entry.Codec
	Backend owner.Codec
	// Heartbeats serves the backend server's messages about itself.
	Heartbeats func(Heartbeats) http.Handler
	// Health asks the backend server at the address for its health.
	Health func(ctx context.Context, address, path string) (Health, error)
	// Readiness answers whether the node takes calls.
	Readiness func(ready func() bool) http.Handler
}

// Heartbeats is told what backend servers say of themselves.
type Heartbeats interface {
	// Beat takes in a heartbeat. Its error wraps owner.ErrStale for one that was
	// overtaken.
	Beat(h owner.Heartbeat) error
	// Depart says that the backend server of that name has left. Born is 0 where
	// it was not stated.
	Depart(name string, born int64)
}

// foreign reports whether the node runs through an adapter.
func (a *Adapter) foreign() bool { return a.Source != nil }
