package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"curranthold.example/curranthold/internal/audit"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/object"
)

// Keys and key prefixes of the configuration's rows in the table.
const (
	headKey         = "configuration/head"
	objectPrefix    = "configuration/object/"
	operationPrefix = "configuration/operation/"
	// snapshotName is the name of the snapshot in the object store.
	snapshotName = "configuration/snapshot"
)

const (
	// tableTimeout bounds one request to the platform.
	tableTimeout = time.Second
	// listLimit is the maximum number of rows that one List request returns.
	listLimit = 500
	// maxChangesRead is the number of generations up to which a node that is
	// behind reads single changes rather than a full snapshot.
	maxChangesRead = audit.MaxPage
)

func objectKey(id object.ID) string { return objectPrefix + id.String() }

func operationKey(id string) string { return operationPrefix + id }

// headRow is the value of the head row. The generation is the row's version.
type headRow struct {
	OperationID string    `json:"operation-id"`
	At          time.Time `json:"at"`
}

// readHead returns the generation of the table's head row.
func (r *Replica) readHead(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	readStarted := r.config.Now()
	rows, err := r.config.Table.Get(ctx, headKey)
	if err != nil {
		return 0, err
	}
	generation := rows[0].Version
	r.observeTable(generation, readStarted)
	return generation, nil
}

// observeTable processes the generation that a read of the head row returned. If this
// node has that generation, it was up to date at the start of the read.
func (r *Replica) observeTable(generation uint64, readStarted time.Time) {
	storeMax(&r.highestSeen, generation)
	current := r.Snapshot().generation
	if generation < current {
		eventTableBehind.Log(event.Fields{"table-generation": generation, "generation": current})
	}
	if generation <= r.inForce.Load() {
		r.recordUpToDate(readStarted)
	}
}

// catchUpFromTable brings the node to at least the given generation, which the
// table is known to hold.
func (r *Replica) catchUpFromTable(ctx context.Context, generation uint64) error {
	started := r.config.Now()
	current := r.Snapshot().generation
	if generation > current+maxChangesRead {
		r.catchUpFromStore(ctx)
		current = r.Snapshot().generation
	}
	if generation > current+maxChangesRead {
		if err := r.readAllObjects(ctx); err != nil {
			return err
		}
	}
	for r.Snapshot().generation < generation {
		if err := r.readChanges(ctx); err != nil {
			return err
		}
	}
	r.recordUpToDate(started)
	return nil
}

// readChanges reads and applies one page of the audit records in the table.
func (r *Replica) readChanges(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	current := r.Snapshot().generation
	records, err := audit.Read(ctx, r.config.Table, current, maxChangesRead)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return fmt.Errorf("configuration: the table has no change after generation %d", current)
	}
	changes, err := changesFromRecords(records)
	if err != nil {
		return err
	}
	return r.submitChanges(ctx, changes)
}

// readAllObjects reads all objects from the table. The table may change during
// the read, so that some rows are from before a change and others from after it.
// Applying all changes that were made during the read brings every object to the
// same generation.
func (r *Replica) readAllObjects(ctx context.Context) error {
	metricSnapshotsFetched.Add(1)
	first, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	objects, err := r.listObjects(ctx)
	if err != nil {
		return err
	}
	last, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	for first < last {
		records, err := audit.Read(ctx, r.config.Table, first, maxChangesRead)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			return fmt.Errorf("configuration: the table has no change after generation %d", first)
		}
		if first, err = applyRecords(objects, records, first, last); err != nil {
			return err
		}
	}
	return r.submitSnapshot(ctx, last, 0, objects)
}

// applyRecords applies the changes up to generation last to objects, and returns
// the generation of the last change applied, or first if there was none.
func applyRecords(objects map[object.ID]object.Object, records []audit.Record, first, last uint64) (uint64, error) {
	for _, record := range records {
		if record.Generation > last {
			break
		}
		change, err := changeFromRecord(record)
		if err != nil {
			return first, err
		}
		if err := change.applyTo(objects); err != nil {
			return first, err
		}
		first = record.Generation
	}
	return first, nil
}

func (r *Replica) listObjects(ctx context.Context) (map[object.ID]object.Object, error) {
	objects := map[object.ID]object.Object{}
	after := ""
	for {
		rows, err := r.listPage(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			o, err := object.Decode(row.Value)
			if err != nil {
				return nil, fmt.Errorf("configuration: row %s: %w", row.Key, err)
			}
			objects[o.ID()] = o
		}
		if len(rows) < listLimit {
			return objects, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (r *Replica) listPage(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return r.config.Table.List(ctx, objectPrefix, after, listLimit)
}

// submitSnapshot compiles a full snapshot from the objects and submits it. Revision is 0 if
// it is unknown.
func (r *Replica) submitSnapshot(ctx context.Context, generation, revision uint64, objects map[object.ID]object.Object) error {
	snapshot, err := compile(generation, objects, r.Snapshot())
	if err != nil {
		eventChangeUndecodable.Log(event.Fields{"generation": generation, "error": err.Error()})
		return err
	}
	snapshot.revision = revision
	eventCaughtUp.Log(event.Fields{"generation": generation, "revision": revision, "objects": len(objects)})
	return r.submit(ctx, update{replacement: snapshot})
}

// fullSnapshot is the JSON form of a snapshot in the object store.
type fullSnapshot struct {
	Generation uint64          `json:"generation"`
	Objects    []object.Object `json:"objects"`
}

// catchUpFromStore applies the snapshot in the object store if it is later than
// the node's. The stored snapshot may be out of date, so the caller must also read
// the changes after it.
func (r *Replica) catchUpFromStore(ctx context.Context) {
	if r.config.Store == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	data, err := r.config.Store.Get(ctx, snapshotName)
	if err != nil {
		return
	}
	var full fullSnapshot
	if err := json.Unmarshal(data, &full); err != nil {
		eventChangeUndecodable.Log(event.Fields{"generation": r.Snapshot().generation, "error": err.Error()})
		return
	}
	objects := make(map[object.ID]object.Object, len(full.Objects))
	for _, o := range full.Objects {
		objects[o.ID()] = o
	}
	metricSnapshotsFetched.Add(1)
	_ = r.submitSnapshot(ctx, full.Generation, 0, objects) // The caller reads what is missing from the table.
}

// TableGeneration reads the current generation from the table.
func (r *Replica) TableGeneration(ctx context.Context) (uint64, error) { return r.readHead(ctx) }
