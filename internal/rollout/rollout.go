// Package rollout moves the traffic of a service to another version of its backend
// servers: it sends a small share of the calls to the new version, compares how both
// versions respond, and then completes the rollout or rolls it back.
// docs/design/rollout.md describes the mechanism.
package rollout

import (
	"context"
	"errors"
	"time"

	"curranthold.example/curranthold/internal/peer"
)

// ServiceName is the net/rpc name of the receiver that [Manager.RPC] returns.
const ServiceName = "Rollout"

// ErrConflict means that the stored record has another version than the one that was
// to be replaced.
var ErrConflict = errors.New("rollout: the record has changed")

// Order is an order of the operators to move the traffic of Service to the version
// Target within the time Over. A later order of a service has a higher ID.
type Order struct {
	Service, Target string
	Over            time.Duration
	ID              uint64
}

// Host is a live host with a backend server. Cold reports that the backend server
// can't take its full load yet.
type Host struct {
	ID, Zone, Address, Service, Version string
	Slots                               int
	Cold                                bool
}

// Config identifies this host, states how it reaches others, and holds the bounds of
// all rollouts.
type Config struct {
	Host    string
	Peers   peer.Caller
	Records Records
	// MaxShare is the largest fraction of a service's requests that a bad version may
	// get during its rollout, in addition to Slack requests. 0 disables rollouts.
	MaxShare float64
	// Slack is not used up: it covers the rounding of the shares of many entries.
	Slack int
	// RollbackTime is how soon after its 50th bad response a bad version must not be
	// sent requests any more. Polls are more frequent if it is below 5 s.
	RollbackTime time.Duration
	// Running returns how many requests run at the own backend server. If it is nil,
	// a promotion waits its full time for the old version to become idle.
	Running func() int
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Records keeps the state of rollouts in the platform's store.
type Records interface {
	// Load returns the record of a service, with the version for Save; ok is false if
	// there is none.
	Load(ctx context.Context, service string) (record Record, version uint64, ok bool, err error)
	// Save writes the record if the stored one still has that version, and returns
	// ErrConflict otherwise. Version 0 means that there is no record.
	Save(ctx context.Context, record Record, version uint64) error
	// Publish writes the state for the operators.
	Publish(ctx context.Context, service, target string, state State) error
}
