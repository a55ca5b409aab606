// Package platform is the system's side of the platform's services: a
// transactional table service and an object store.
//
// Both have outages, and an answer can be lost after its write took effect.
// The errors keep these cases apart: see [ErrConflict], [ErrUnavailable] and
// [ErrUnknown].
package platform

import (
	"context"
	"errors"
)

var (
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("platform: condition not met")
	// ErrUnavailable means that the service did not take the request; nothing
	// was written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown means that the exchange broke: a write may or may not have
	// taken effect, now or later.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrNotFound means that the object store has no such object.
	ErrNotFound = errors.New("platform: not found")
	// ErrHistoryLost means that the service no longer has the changes that were
	// asked for.
	ErrHistoryLost = errors.New("platform: history lost")
	// ErrRefused means that the request itself was at fault, such as one that
	// is too large; nothing was written, and repeating it can't help.
	ErrRefused = errors.New("platform: request refused")
)

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Version grows by one with each write of the row, from 1. It is 0 for a
	// row that does not exist.
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Condition holds when the row's version is Version; 0 asks for its absence.
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

// Transaction writes all its rows if all its conditions hold, and else none.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table service. All its reads are consistent: they
// see every transaction that was acknowledged before they began.
type Table interface {
	// Get returns a row for each key, in order, from one point in time.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List returns the rows whose keys have the prefix and come after the key
	// after, in key order, at most limit of them.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction.
	Commit(ctx context.Context, tx Transaction) error
}

// ObjectStore keeps whole objects by name.
type ObjectStore interface {
	Put(ctx context.Context, name string, data []byte) error
	// Get returns ErrNotFound where there is no such object.
	Get(ctx context.Context, name string) ([]byte, error)
}
