package claim

import (
	"context"

	"curranthold.example/curranthold/internal/platform"
)

// result is the result of an operation.
type result struct {
	outcome Outcome
	status  int
	// rowRef is the row that holds a granted claim.
	rowRef rowRef
	// unknown is set if a write of the operation may still be applied.
	unknown bool
}

// operation writes one claim, or the end of one claim, as part of a batch.
type operation struct {
	ctx context.Context
	hashedRequest
	id     ID
	result chan result

	// end is the end of the claim to write, nil if the operation writes a claim.
	end *claimEnd
	// rowRef is the row that holds the claim, or will hold it after the next
	// transaction. It is zero if the row is not known.
	rowRef rowRef

	// unknown is set once a commit had an unknown outcome.
	unknown bool
	// period is the period in which processing of the batch started.
	period int64
	// conditions and write are the operation's part of the next transaction.
	conditions []platform.Condition
	write      platform.Write
	// readRows is set if the rows must be read before the next transaction.
	readRows bool
}

// prepare plans the first transaction without reading rows. The write of a claim is
// conditional on the request having no rows. The write of the end of a claim is
// conditional on the claim's row being unchanged since the claim was granted; if that
// row is not known, prepare sets readRows instead.
func (o *operation) prepare(period int64) {
	o.period = period
	switch {
	case o.end == nil:
		o.planCurrent([]uint64{0, 0, 0}, running)
	case o.rowRef.version != 0:
		o.planAt(o.rowRef.row, o.rowRef.version)
	default:
		o.readRows = true
	}
}

// planCurrent plans a write of the current period's row, on condition that all
// rows of the window have the given versions.
func (o *operation) planCurrent(versions []uint64, s state) {
	keys := windowKeys(make([]string, 0, window), o.period, o.hash)
	o.conditions = o.conditions[:0]
	for i, key := range keys {
		o.conditions = append(o.conditions, platform.Condition{Key: key, Version: versions[i]})
	}
	value := rowValue{State: s, ID: o.id.String()}
	o.write = platform.Write{Key: keys[current], Value: value.encode()}
	o.rowRef = rowRef{row: keys[current], version: versions[current] + 1}
	o.readRows = false
}

// planAt plans to write the end of a claim to the row that holds it, on condition
// that the row has the given version.
func (o *operation) planAt(row string, version uint64) {
	o.conditions = append(o.conditions[:0], platform.Condition{Key: row, Version: version})
	value := rowValue{State: o.end.state, ID: o.id.String(), Status: o.end.status}
	o.write = platform.Write{Key: row, Value: value.encode()}
	o.readRows = false
}

// settle sends the result to the caller that waits for the operation.
func (o *operation) settle(r result) {
	r.unknown = o.unknown && r.outcome == Unavailable
	o.result <- r
}

// committed settles the operation after its transaction was committed.
func (o *operation) committed() {
	o.settle(result{outcome: Granted, rowRef: o.rowRef})
}

// decide settles the operation if the rows of its window allow that, and otherwise
// plans its next transaction. It reports whether the operation is settled.
func (o *operation) decide(rows []platform.Row) bool {
	seen := newView(rows, o.id.String())
	if o.end == nil {
		return o.decideClaim(seen)
	}
	return o.decideEnd(seen)
}

func (o *operation) decideClaim(seen view) bool {
	switch {
	case seen.own != nil && seen.own.value.State == running:
		o.settle(result{outcome: Granted, rowRef: seen.own.rowRef})
	case seen.done != nil:
		o.settle(result{outcome: AlreadyRan, status: seen.done.value.Status})
	case seen.own != nil, seen.running:
		// Either this claim was revoked or released, or another claim is held.
		o.settle(result{outcome: Held})
	default:
		o.planCurrent(seen.versions, running)
		return false
	}
	return true
}

func (o *operation) decideEnd(seen view) bool {
	switch {
	case seen.own != nil && seen.own.value.State == running:
		o.planAt(seen.own.rowRef.row, seen.own.rowRef.version)
		return false
	case seen.own == nil && o.end.revoke && !seen.running && seen.done == nil:
		// A delayed write may still grant the claim. This write changes the row's
		// version, so that the condition of the delayed write fails.
		o.planCurrent(seen.versions, released)
		return false
	default:
		o.settle(result{outcome: Granted})
		return true
	}
}

// view is the state of a request according to the rows of a window.
type view struct {
	versions []uint64
	// own is the row that the operation's claim wrote last. done is a row whose
	// arrival ran. They are nil if there is no such row.
	own, done *seenRow
	// running is set if another claim is held, or if a row is unreadable.
	running bool
}

// seenRow is a row that was read and exists.
type seenRow struct {
	rowRef rowRef
	value  rowValue
}

func newView(rows []platform.Row, id string) view {
	v := view{versions: make([]uint64, 0, len(rows))}
	for _, row := range rows {
		v.versions = append(v.versions, row.Version)
		value, exists := decodeRow(row)
		if !exists {
			continue
		}
		seen := &seenRow{rowRef: rowRef{row: row.Key, version: row.Version}, value: value}
		if value.ID == id {
			v.own = seen
		}
		switch {
		case value.State == done:
			v.done = seen
		case value.ID != id && value.State != released:
			v.running = true
		}
	}
	return v
}
