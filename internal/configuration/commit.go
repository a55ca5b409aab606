package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"curranthold.example/curranthold/internal/audit"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/object"
)

const (
	// commitRetry is the mean time between attempts to commit.
	commitRetry = 100 * time.Millisecond
	// announceTimeout bounds how long an accepted operation is announced to other
	// hosts before Apply returns.
	announceTimeout = time.Second
)

// Check validates an operation against this node's configuration without
// committing it.
func (r *Replica) Check(op Operation) (Result, error) {
	base := r.Snapshot()
	p, err := op.prepare(base, r.config.Now())
	if err != nil {
		return Result{}, err
	}
	return Result{Generation: base.generation, Edits: p.record.Edits}, nil
}

// Apply commits an operation. Once it is accepted, Apply announces it to other
// hosts for at most one second and then returns. The error is an
// [object.Refusal].
//
// Each commit is conditional on the version of the head row that its plan is based
// on, and also writes a row for the operation. Both rows are read together before
// each attempt. A commit whose response was lost can therefore be sent again: at
// most one of the commits takes effect, and none of the earlier ones can take
// effect any more once the head row has changed without the operation's row.
func (r *Replica) Apply(ctx context.Context, op Operation) (Result, error) {
	c := commit{replica: r, op: op}
	for {
		result, err := c.attempt(ctx)
		if err == nil {
			return result, nil
		}
		if !errors.Is(err, errRetry) {
			return Result{}, c.refusal(err)
		}
		select {
		case <-time.After(jittered(commitRetry)):
		case <-ctx.Done():
			return Result{}, c.refusal(ctx.Err())
		}
	}
}

// errRetry means that the operation must be attempted again.
var errRetry = errors.New("configuration: the operation must be attempted again")

// commit is the state of applying one operation over several attempts.
type commit struct {
	replica *Replica
	op      Operation
	// outcomeUnknown is true while an earlier attempt may still take effect.
	// base is the generation on which that earlier attempt was based.
	outcomeUnknown bool
	base           uint64
}

// refusal returns the error for the operator. While an earlier attempt may still
// take effect, it returns OutcomeUnknown, since the operation may still be
// accepted.
func (c *commit) refusal(err error) *object.Refusal {
	if c.outcomeUnknown {
		return object.NewRefusal(object.OutcomeUnknown, "send it again with the same operation identifier to learn the outcome",
			"the platform's answer was lost; the operation %s may have been accepted", c.op.ID)
	}
	var refusal *object.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(err, errClosed) {
		return object.NewRefusal(object.NotReady, "ask another node", "this node is stopping")
	}
	return object.NewRefusal(object.PlatformUnavailable, "nothing was changed; try again later", "the table service does not answer")
}

func (c *commit) attempt(ctx context.Context) (Result, error) {
	r := c.replica
	generation, row, err := c.readRows(ctx)
	if err != nil {
		return Result{}, c.retryIfUnknown(err)
	}
	if row.Version != 0 {
		return c.storedResult(ctx, generation, row)
	}
	if c.outcomeUnknown && generation > c.base {
		c.outcomeUnknown = false
	}
	base, err := r.snapshotAt(ctx, generation)
	if err != nil {
		return Result{}, c.retryIfUnknown(err)
	}
	p, err := c.op.prepare(base, r.config.Now())
	if err != nil {
		return Result{}, err
	}
	if len(p.record.Edits) == 0 {
		return Result{Generation: base.generation}, nil
	}
	if err := c.commitPlan(ctx, p); err != nil {
		return Result{}, err
	}
	r.applyAccepted(ctx, p.record)
	return Result{Generation: p.record.Generation, Edits: p.record.Edits}, nil
}

// readRows reads the generation of the head row and the operation's row in one
// request.
func (c *commit) readRows(ctx context.Context) (uint64, platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := c.replica.config.Table.Get(ctx, headKey, operationKey(c.op.ID))
	if err != nil {
		return 0, platform.Row{}, err
	}
	return rows[0].Version, rows[1], nil
}

// retryIfUnknown returns errRetry if an earlier attempt may have taken effect and err
// is not a refusal. Otherwise it returns err, which ends the operation.
func (c *commit) retryIfUnknown(err error) error {
	var refusal *object.Refusal
	if c.outcomeUnknown && !errors.As(err, &refusal) {
		return errRetry
	}
	return err
}

// snapshotAt catches up and returns the snapshot of exactly this generation, or
// errRetry if the node is already at a later one.
func (r *Replica) snapshotAt(ctx context.Context, generation uint64) (*Snapshot, error) {
	if err := r.catchUpFromTable(ctx, generation); err != nil {
		return nil, err
	}
	snapshot := r.Snapshot()
	if snapshot.generation != generation {
		return nil, errRetry
	}
	return snapshot, nil
}

// commitPlan commits the plan. After an error other than errRetry, the plan has
// not taken effect and never will.
func (c *commit) commitPlan(ctx context.Context, p plan) error {
	tx, err := c.transaction(p)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	metricCommits.Add(1)
	err = c.replica.config.Table.Commit(ctx, tx)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrConflict):
		metricCommitConflicts.Add(1)
		return errRetry
	case errors.Is(err, platform.ErrUnavailable):
		return c.retryIfUnknown(err)
	default:
		metricOutcomesUnknown.Add(1)
		eventOutcomeUnknown.Log(event.Fields{"operation-id": c.op.ID, "generation": p.record.Generation, "error": err.Error()})
		c.outcomeUnknown, c.base = true, p.record.Generation-1
		return errRetry
	}
}

func (c *commit) transaction(p plan) (platform.Transaction, error) {
	record, err := p.encodeRecord()
	if err != nil {
		return platform.Transaction{}, err
	}
	headValue, err := json.Marshal(headRow{OperationID: c.op.ID, At: p.record.At})
	if err != nil {
		return platform.Transaction{}, err
	}
	operation, err := json.Marshal(operationRow{Generation: p.record.Generation, Digest: c.op.digest()})
	if err != nil {
		return platform.Transaction{}, err
	}
	tx := platform.Transaction{
		Conditions: []platform.Condition{{Key: headKey, Version: p.record.Generation - 1}},
		Writes: []platform.Write{
			{Key: headKey, Value: headValue},
			{Key: operationKey(c.op.ID), Value: operation},
			{Key: audit.Key(p.record.Generation), Value: record},
		},
	}
	for _, edit := range p.record.Edits {
		write := platform.Write{Key: objectKey(edit.ID), Delete: edit.After == nil}
		if edit.After != nil {
			if write.Value, err = object.Encode(*edit.After); err != nil {
				return platform.Transaction{}, err
			}
		}
		tx.Writes = append(tx.Writes, write)
	}
	return tx, nil
}

// storedResult returns the result of an operation whose row is already in the
// table.
func (c *commit) storedResult(ctx context.Context, generation uint64, row platform.Row) (Result, error) {
	c.outcomeUnknown = false
	var stored operationRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return Result{}, err
	}
	if stored.Digest != c.op.digest() {
		return Result{}, object.NewRefusal(object.OperationReused, "use a new operation identifier", "the operation identifier %s belongs to another request", c.op.ID)
	}
	result := Result{Generation: stored.Generation, Repeated: true}
	records, err := audit.Read(ctx, c.replica.config.Table, stored.Generation-1, 1)
	if err == nil && len(records) == 1 {
		result.Edits = records[0].Edits
	}
	before := c.replica.Snapshot().generation
	if c.replica.catchUpFromTable(ctx, generation) == nil {
		c.replica.announceWithTimeout(ctx, before)
	}
	return result, nil
}

// applyAccepted applies an accepted operation on this node and announces it to
// other hosts. It returns no error, since the operation remains accepted even if
// this fails.
func (r *Replica) applyAccepted(ctx context.Context, record audit.Record) {
	change, err := changeFromRecord(record)
	if err != nil {
		return
	}
	if r.submitChanges(ctx, []Change{change}) != nil {
		r.requestPull(record.Generation, "")
		return
	}
	r.announceWithTimeout(ctx, record.Generation-1)
}

// announceWithTimeout announces the changes after a generation for at most
// announceTimeout.
func (r *Replica) announceWithTimeout(ctx context.Context, after uint64) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r.announce(ctx, after)
}
