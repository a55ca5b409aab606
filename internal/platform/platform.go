// Package platform provides clients of the platform's services: a transactional
// table service and an object store.
//
// Both services have outages, and the response to a write can be lost after the write
// has taken effect. The errors distinguish these cases: see [ErrConflict],
// [ErrUnavailable] and [ErrOutcomeUnknown].
package platform

import (
	"context"
	"errors"
)

var (
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("platform: condition not met")
	// ErrUnavailable means that the request had no effect: the service did not
	// process it, or it was a read that got no valid response.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown means that a write got no valid response: it may have taken
	// effect, may still take effect, or may never do so.
	ErrOutcomeUnknown = errors.New("platform: outcome unknown")
	// ErrNotFound means that the service has no such object or path.
	ErrNotFound = errors.New("platform: not found")
	// ErrHistoryLost means that the service no longer keeps the requested changes.
	ErrHistoryLost = errors.New("platform: history lost")
	// ErrRefused means that the request was invalid, for instance too large;
	// nothing was written, and a retry can't succeed.
	ErrRefused = errors.New("platform: request refused")
)

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Version is 1 after the first write of the row and increases by one with
	// each write. It is 0 for a row that does not exist.
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Condition requires that the row has the given version; 0 requires that the row
// does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction writes all its rows if all its conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table service. Reads are consistent: they see every
// transaction that was acknowledged before they began.
type Table interface {
	// Get returns a row for each key, in the order of the keys, all from the same
	// point in time.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List returns, in key order, up to limit rows whose keys have the prefix and
	// sort after the given key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction. It returns ErrConflict if a condition does
	// not hold.
	Commit(ctx context.Context, tx Transaction) error
}

// ObjectStore stores objects by name.
type ObjectStore interface {
	Put(ctx context.Context, name string, data []byte) error
	// Get returns ErrNotFound if there is no such object.
	Get(ctx context.Context, name string) ([]byte, error)
}
