package claim

import (
	"context"
	"errors"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/platform"
)

const (
	// sweepRows limits the rows that one transaction deletes.
	sweepRows = 500
	// sweepTransactions limits the transactions of one sweep.
	sweepTransactions = 20
)

// sweep deletes the rows of periods that no host reads any more, if this host is
// the sweeper. Rows are listed in the order of their periods, so the rows to delete
// come first.
func (c *Claimer) sweep(ctx context.Context) {
	roles := c.hostRoles.Load()
	if roles == nil || roles.sweeper != c.config.Host {
		return
	}
	for range sweepTransactions {
		n, err := c.sweepOnce(ctx)
		c.recordSweep(ctx, err)
		if err != nil || n < sweepRows {
			return
		}
	}
}

// recordSweep logs the first of consecutive failures. A conflict is not a failure:
// another host has changed or deleted the same rows.
func (c *Claimer) recordSweep(ctx context.Context, err error) {
	failed := err != nil && ctx.Err() == nil && !errors.Is(err, platform.ErrConflict)
	if failed && !c.sweepFailing {
		eventSweepFailed.Log(event.Fields{"error": err.Error()})
	}
	c.sweepFailing = failed
}

// sweepOnce deletes at most sweepRows rows and returns their number.
func (c *Claimer) sweepOnce(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	first, err := c.config.Table.List(ctx, rowPrefix, "", 1)
	if err != nil || len(first) == 0 || !c.outdated(first[0].Key) {
		return 0, err
	}
	rows, err := c.config.Table.List(ctx, rowPrefix, "", sweepRows)
	if err != nil {
		return 0, err
	}
	var tx platform.Transaction
	for _, row := range rows {
		if !c.outdated(row.Key) {
			break
		}
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		tx.Writes = append(tx.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	if err := c.config.Table.Commit(ctx, tx); err != nil {
		return 0, err
	}
	metricSweptRows.Add(int64(len(tx.Writes)))
	return len(tx.Writes), nil
}

// outdated reports whether the row belongs to a period that no host reads any more.
func (c *Claimer) outdated(row string) bool {
	period, ok := rowPeriod(row)
	return ok && period < periodAt(c.config.Now(), c.config.Retention)-keptPeriods
}
