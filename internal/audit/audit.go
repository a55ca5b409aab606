// Package audit defines the audit records of configuration changes. A record tells
// who changed which objects, when, in which operation, and the objects before and
// after the change.
//
// A record is a row of the table, written in the transaction that makes the change.
// The records make up the audit trail. Nodes also read them to learn the changes that
// they have missed.
package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/object"
)

// Prefix is the key prefix of the rows that hold records.
const Prefix = "configuration/change/"

// MaxPage is the maximum number of records that [Read] returns.
const MaxPage = 200

// Record is the record of one accepted operation.
type Record struct {
	Generation  uint64    `json:"generation"`
	OperationID string    `json:"operation-id"`
	Operator    string    `json:"operator"`
	Action      string    `json:"action"`
	At          time.Time `json:"at"`
	Edits       []Edit    `json:"edits"`
}

// Edit is an operation's change of one object.
type Edit struct {
	object.ID
	// Before is nil if the object was created, After is nil if it was deleted.
	Before *object.Object `json:"before,omitempty"`
	After  *object.Object `json:"after,omitempty"`
}

// Redacted returns a copy of the record for operators, without the salts and hashes
// of keys.
func (r Record) Redacted() Record {
	edits := make([]Edit, len(r.Edits))
	for i, e := range r.Edits {
		edits[i] = Edit{ID: e.ID, Before: redacted(e.Before), After: redacted(e.After)}
	}
	r.Edits = edits
	return r
}

func redacted(o *object.Object) *object.Object {
	if o == nil {
		return nil
	}
	result := o.Redacted()
	return &result
}

// Key returns the key of the row that holds the record of a generation. Keys sort
// in the order of their generations.
func Key(generation uint64) string { return fmt.Sprintf("%s%020d", Prefix, generation) }

// Read returns the records of the generations after the given one, oldest first,
// but no more than limit or [MaxPage].
func Read(ctx context.Context, table platform.Table, after uint64, limit int) ([]Record, error) {
	limit = min(limit, MaxPage)
	rows, err := table.List(ctx, Prefix, Key(after), limit)
	if err != nil {
		return nil, err
	}
	records := make([]Record, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &records[i]); err != nil {
			return nil, fmt.Errorf("audit: record %s: %w", row.Key, err)
		}
	}
	return records, nil
}
