package membership

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/platform"
)

const (
	// directoryPrefix begins the key of each host's row; the zone and the name
	// of the host follow.
	directoryPrefix = "directory/"
	// directoryPageSize is the number of rows per read.
	directoryPageSize = 500
	// directoryZoneSample is how many hosts of its own zone in the directory a node
	// contacts, and directoryCrossZoneSample how many of others.
	directoryZoneSample      = 6
	directoryCrossZoneSample = 2
	// directoryRetryInterval is the time between two attempts to write this
	// host's row.
	directoryRetryInterval = 2 * time.Second
	// The hosts spread the writes with which they renew their rows over
	// renewalIntervalPerMember times the number of live members, and at least
	// minRenewalSpread.
	renewalIntervalPerMember = 10 * time.Millisecond
	minRenewalSpread         = time.Second
)

// directoryRow is the value of a host's row in the directory.
type directoryRow struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
}

func directoryKey(zone, id string) string { return directoryPrefix + zone + "/" + id }

// RenewDirectoryRow makes the node write its row in the directory again, at a random time
// within the renewal spread or as soon as the table is available. It must be called
// whenever the table has come back from an older copy, which may lack the row.
func (l *List) RenewDirectoryRow() {
	select {
	case l.renewals <- struct{}{}:
	default: // The write that follows the pending call is not older than this one.
	}
}

// keepInDirectory joins, and then renews this host's row after each call of
// RenewDirectoryRow, until this node leaves. It reads the directory once the other nodes
// have renewed their rows too, so that groups of nodes that do not know each other meet.
func (l *List) keepInDirectory(ctx context.Context) {
	l.join(ctx)
	if l.config.Table == nil {
		return
	}
	var othersRenewed <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.done:
			return
		case <-othersRenewed:
			l.syncWithUnknown(ctx)
		case <-l.renewals:
			if !l.pause(ctx, rand.N(l.renewalSpread())) || !l.enterDirectory(ctx) {
				return
			}
			eventDirectoryRenewed.Log(event.Fields{"host": l.config.ID})
			othersRenewed = time.After(l.renewalSpread())
		}
	}
}

// renewalSpread returns the time over which the hosts spread the writes of their rows.
func (l *List) renewalSpread() time.Duration {
	return max(minRenewalSpread, renewalIntervalPerMember*time.Duration(len(l.Members())))
}

// join finds other nodes and writes this host's row to the directory, retrying
// while the table is unavailable. Before the write, it reads the directory only if
// no seed answers. After the write, it always reads it, so that of two nodes that
// start at the same time at least one finds the other.
func (l *List) join(ctx context.Context) {
	if !l.syncWithSeeds(ctx) {
		l.syncWithDirectory(ctx, false)
	}
	if l.config.Table != nil && l.enterDirectory(ctx) {
		l.discover(ctx)
	}
}

// enterDirectory writes this host's row, retrying until it succeeds. It returns false
// if this node stops or leaves before. The write also serves the calls of
// RenewDirectoryRow that were made before it began.
func (l *List) enterDirectory(ctx context.Context) bool {
	for !l.leaving.Load() {
		select {
		case <-l.renewals:
		default:
		}
		if l.writeDirectoryRow(ctx) == nil {
			return true
		}
		if !l.pause(ctx, directoryRetryInterval) {
			return false
		}
	}
	return false
}

// pause waits for d and reports whether it elapsed before the list stopped.
func (l *List) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-l.done:
		return false
	case <-time.After(d):
		return true
	}
}

// writeDirectoryRow writes this host's row. The write needs no condition, because
// it is idempotent.
func (l *List) writeDirectoryRow(ctx context.Context) error {
	c := l.config
	value, err := json.Marshal(directoryRow{c.ID, c.Zone, c.Address, l.incarnation})
	if err != nil {
		return err
	}
	write := platform.Write{Key: directoryKey(c.Zone, c.ID), Value: value}
	err = c.Table.Commit(ctx, platform.Transaction{Writes: []platform.Write{write}})
	if err != nil {
		eventDirectory.Log(event.Fields{"operation": "enter", "error": err.Error()})
	}
	return err
}

// removeFromDirectory deletes this host's row unless another incarnation has
// replaced it.
func (l *List) removeFromDirectory(ctx context.Context) {
	c := l.config
	if c.Table == nil {
		return
	}
	key := directoryKey(c.Zone, c.ID)
	rows, err := c.Table.Get(ctx, key)
	if err != nil || len(rows) == 0 || rows[0].Version == 0 {
		return
	}
	var row directoryRow
	if json.Unmarshal(rows[0].Value, &row) != nil || row.Incarnation != l.incarnation {
		return
	}
	err = c.Table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Version: rows[0].Version}},
		Writes:     []platform.Write{{Key: key, Delete: true}},
	})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		eventDirectory.Log(event.Fields{"operation": "remove", "error": err.Error()})
	}
}

// discover synchronizes with the seeds and with a few hosts of the directory.
func (l *List) discover(ctx context.Context) {
	l.syncWithSeeds(ctx)
	l.syncWithDirectory(ctx, true)
}

// syncWithSeeds synchronizes with the seeds and reports whether one other than this node
// answered. It goes on to the next if a seed has not answered within probeTimeout, but
// still uses a later answer.
func (l *List) syncWithSeeds(ctx context.Context) bool {
	var answered atomic.Bool
	for _, seed := range l.config.Seeds {
		done := make(chan struct{})
		l.wg.Go(func() {
			defer close(done)
			if l.syncWithAll(ctx, []string{seed}) {
				answered.Store(true)
			}
		})
		select {
		case <-done:
		case <-time.After(probeTimeout):
		}
	}
	return answered.Load()
}

// syncWithDirectory synchronizes with a few hosts of the directory, as syncWithRows does.
func (l *List) syncWithDirectory(ctx context.Context, crossZone bool) {
	l.syncWithRows(ctx, l.listDirectory(ctx), crossZone)
}

// syncWithUnknown synchronizes with a few hosts of the directory that this node does not
// know. Of a large zone, only some nodes do so. Hosts that started while rows were lost
// may have found only each other, and do not read the directory again on their own.
func (l *List) syncWithUnknown(ctx context.Context) {
	var zoneMates int
	if l.do(func() { zoneMates = l.roster.zoneMates }) != nil || !l.syncsAcrossZones(zoneMates) {
		return
	}
	listed := l.listDirectory(ctx)
	err := l.do(func() {
		listed = slices.DeleteFunc(listed, func(row directoryRow) bool {
			known, found := l.roster.members[row.ID]
			return found && known.Incarnation >= row.Incarnation
		})
	})
	if err == nil {
		l.syncWithRows(ctx, listed, true)
	}
}

// syncWithRows synchronizes with a few of the listed hosts: of this node's zone and, if
// none of these answers or crossZone is set, of other zones. Of a large zone, only some
// nodes do the latter.
func (l *List) syncWithRows(ctx context.Context, listed []directoryRow, crossZone bool) {
	rand.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
	var mates, others []string
	for _, row := range listed {
		if row.Zone == l.config.Zone {
			mates = append(mates, row.Address)
		} else {
			others = append(others, row.Address)
		}
	}
	answered := l.syncWithAll(ctx, mates[:min(len(mates), directoryZoneSample)])
	if !answered || (crossZone && l.syncsAcrossZones(len(mates))) {
		l.syncWithAll(ctx, others[:min(len(others), directoryCrossZoneSample)])
	}
}

// countListed returns the number of hosts in the directory, this one included.
func (l *List) countListed(listed []directoryRow) int64 {
	count := int64(1)
	for _, row := range listed {
		if row.ID != l.config.ID {
			count++
		}
	}
	return count
}

// syncWithAll synchronizes with each of the addresses, except for that of this
// node, and reports whether any of them answered.
func (l *List) syncWithAll(ctx context.Context, addresses []string) bool {
	answered := false
	for _, address := range addresses {
		if address != l.config.Address && l.syncWith(ctx, address) == nil {
			answered = true
		}
	}
	return answered
}

// listDirectory returns the rows of all hosts in the directory. If a read fails, it logs
// the error and returns the rows that it read before.
func (l *List) listDirectory(ctx context.Context) []directoryRow {
	if l.config.Table == nil {
		l.expectedHosts.Store(l.countListed(nil))
		return nil
	}
	var listed []directoryRow
	after := ""
	for {
		rows, err := l.config.Table.List(ctx, directoryPrefix, after, directoryPageSize)
		if err != nil {
			eventDirectory.Log(event.Fields{"operation": "list", "error": err.Error()})
			return listed
		}
		for _, row := range rows {
			var host directoryRow
			if json.Unmarshal(row.Value, &host) == nil {
				listed = append(listed, host)
			}
		}
		if len(rows) < directoryPageSize {
			l.expectedHosts.Store(l.countListed(listed))
			return listed
		}
		after = rows[len(rows)-1].Key
	}
}
