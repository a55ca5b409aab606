package membership

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/platform"
)

// restorableTable is a directory in memory that can be away and come back from an older
// copy.
type restorableTable struct {
	fakeTable
	away bool
	// latency is how long a write takes beyond tableLatency until its host learns of it.
	latency time.Duration
	// reads counts the reads of a page, and writes the writes of each row that the table
	// acknowledged. lastWrite is the time of the latest write.
	reads     int
	writes    map[string]int
	lastWrite time.Time
}

func newRestorableTable() *restorableTable {
	return &restorableTable{fakeTable: fakeTable{rows: make(map[string][]byte)}, writes: make(map[string]int)}
}

// List implements platform.Table.
func (t *restorableTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if _, away := t.state(); away {
		return nil, platform.ErrUnavailable
	}
	t.locked(func() { t.reads++ })
	return t.fakeTable.List(ctx, prefix, after, limit)
}

// Get implements platform.Table.
func (t *restorableTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i].Key = key
		if value, found := t.rows[key]; found {
			rows[i].Value, rows[i].Version = value, 1
		}
	}
	return rows, nil
}

// Commit implements platform.Table.
func (t *restorableTable) Commit(ctx context.Context, tx platform.Transaction) error {
	latency, away := t.state()
	if away {
		return platform.ErrUnavailable
	}
	err := t.fakeTable.Commit(ctx, tx)
	time.Sleep(latency)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastWrite = time.Now()
	for _, w := range tx.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.writes[w.Key]++
	}
	return err
}

func (t *restorableTable) state() (latency time.Duration, away bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latency, t.away
}

// locked calls f, which reads or changes fields of the table.
func (t *restorableTable) locked(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// copyRows returns a copy of the rows.
func (t *restorableTable) copyRows() (rows map[string][]byte) {
	t.locked(func() { rows = maps.Clone(t.rows) })
	return rows
}

// copyWrites returns a copy of the number of writes of each row.
func (t *restorableTable) copyWrites() (writes map[string]int) {
	t.locked(func() { writes = maps.Clone(t.writes) })
	return writes
}

// restore replaces the rows by those of an older copy.
func (t *restorableTable) restore(rows map[string][]byte) {
	t.locked(func() {
		clear(t.rows)
		maps.Copy(t.rows, rows)
	})
}

// restoredFleet is a fleet of which the directory may be lost.
type restoredFleet struct {
	network *network
	table   *restorableTable
	lists   []*List
	ctx     context.Context
}

// startRestoredFleet starts hosts of two zones and waits until all know each other.
func startRestoredFleet(ctx context.Context, hosts int) *restoredFleet {
	f := &restoredFleet{
		network: &network{lists: make(map[string]*List)},
		table:   newRestorableTable(),
		ctx:     ctx,
	}
	for i := range hosts {
		f.start(fmt.Sprintf("%c%d", 'a'+i%2, i))
	}
	f.timeToAgree()
	return f
}

// start starts a host, whose zone is the first letter of its ID.
func (f *restoredFleet) start(id string) *List {
	l := New(Config{ID: id, Zone: zoneOf(id), Address: id, Table: f.table, Peers: endpoint{f.network, id}})
	f.network.mu.Lock()
	f.network.lists[id] = l
	f.network.mu.Unlock()
	f.lists = append(f.lists, l)
	go l.Run(f.ctx)
	return l
}

// renew tells every host that the table came back from an older copy.
func (f *restoredFleet) renew() {
	for _, l := range f.lists {
		l.RenewDirectoryRow()
	}
}

// timeToAgree waits until every host knows every other, and returns how long that took.
func (f *restoredFleet) timeToAgree() time.Duration {
	return timeUntil(func() bool {
		return !slices.ContainsFunc(f.lists, func(l *List) bool { return liveCount(l) < len(f.lists) })
	})
}

// inBubble runs the test with a fake clock and a fleet, which it stops afterwards.
func inBubble(t *testing.T, hosts int, test func(t *testing.T, f *restoredFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := startRestoredFleet(ctx, hosts)
		test(t, f)
		stopAll(cancel, f.lists)
	})
}

// TestHostFindsFleetAfterDirectoryIsLost lets the table come back without the rows. The
// writes must be spread, and a host that starts afterwards must find all others.
func TestHostFindsFleetAfterDirectoryIsLost(t *testing.T) {
	tests := map[string]struct {
		hosts  int
		spread time.Duration
	}{
		"few hosts":  {hosts: 40, spread: time.Second},
		"many hosts": {hosts: 300, spread: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, test.hosts, func(t *testing.T, f *restoredFleet) {
				before := f.table.copyWrites()
				f.table.restore(nil)
				restored := time.Now()
				f.renew()
				time.Sleep(test.spread + 500*time.Millisecond)
				var spread time.Duration
				f.table.locked(func() { spread = f.table.lastWrite.Sub(restored) })
				late := f.start("a999")
				agreed := timeUntil(func() bool { return liveCount(late) == len(f.lists) })
				t.Logf("%d rows were written again within %v; the late host knew the fleet after %v", len(before), spread, agreed)
				qt.Check(t, agreed < 2*time.Second, qt.IsTrue, qt.Commentf("knows %d hosts of %d", liveCount(late), len(f.lists)))
				qt.Check(t, spread > test.spread/2 && spread < test.spread+100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", spread))
				after := f.table.copyWrites()
				for key, count := range before {
					qt.Check(t, after[key]-count, qt.Equals, 1, qt.Commentf("%s", key))
				}
			})
		})
	}
}

// TestRowsReturnAfterEachLossOfDirectory loses the rows twice, the second time at several
// moments of the first renewal. At the end, each row must be back after no more writes
// than losses.
func TestRowsReturnAfterEachLossOfDirectory(t *testing.T) {
	tests := map[string]struct {
		latency, untilAway, away, untilRise time.Duration
		writes                              int
	}{
		"after the renewal":                {untilRise: 3 * time.Second, writes: 2},
		"while rows wait to be written":    {writes: 1},
		"during a write":                   {latency: 2 * time.Second, untilRise: 1500 * time.Millisecond, writes: 2},
		"after an outage":                  {away: 3 * time.Second, writes: 1},
		"after an outage during the first": {untilAway: 500 * time.Millisecond, away: 3 * time.Second, writes: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 20, func(t *testing.T, f *restoredFleet) {
				before := f.table.copyWrites()
				f.table.locked(func() { f.table.latency = test.latency })
				f.table.restore(nil)
				f.renew()
				time.Sleep(test.untilAway)
				f.table.locked(func() { f.table.away = test.away > 0 })
				time.Sleep(test.away)
				f.table.restore(nil)
				f.table.locked(func() { f.table.away = false })
				time.Sleep(test.untilRise)
				f.table.restore(nil)
				f.renew()
				time.Sleep(8 * time.Second)
				qt.Check(t, f.table.copyRows(), qt.HasLen, len(f.lists))
				after := f.table.copyWrites()
				for key, count := range before {
					writes := after[key] - count
					qt.Check(t, writes >= 1 && writes <= test.writes, qt.IsTrue, qt.Commentf("%d writes of %s", writes, key))
				}
			})
		})
	}
}

// TestLeavingHostStaysOutOfDirectory lets a host leave while it waits to write its row.
func TestLeavingHostStaysOutOfDirectory(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, f *restoredFleet) {
		f.renew()
		f.lists[0].Leave(f.ctx)
		f.lists[0].RenewDirectoryRow()
		time.Sleep(3 * time.Second)
		qt.Check(t, f.table.copyRows(), qt.HasLen, 3)
	})
}

// TestCloseEndsRenewalOfDirectoryRow closes a host that cannot write its row.
func TestCloseEndsRenewalOfDirectoryRow(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *restoredFleet) {
		f.table.locked(func() { f.table.away = true })
		f.renew()
		time.Sleep(5 * time.Second)
		began := time.Now()
		qt.Check(t, f.lists[0].Close(), qt.IsNil)
		qt.Check(t, time.Since(began) < time.Second, qt.IsTrue)
	})
}

// TestManyLossesAtOnceRenewDirectoryRowOnce reports many losses of the rows at once.
func TestManyLossesAtOnceRenewDirectoryRowOnce(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *restoredFleet) {
		key := directoryKey("a", "a0")
		before := f.table.copyWrites()[key]
		f.table.locked(func() { f.table.latency = time.Second })
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(f.lists[0].RenewDirectoryRow)
		}
		wg.Wait()
		time.Sleep(10 * time.Second)
		qt.Check(t, f.table.copyWrites()[key]-before, qt.Equals, 1)
	})
}

// TestHostsThatStartAfterALossFindTheOthers starts two hosts at once after the rows are
// lost, before any is renewed, so that they find each other and read the directory no
// more.
func TestHostsThatStartAfterALossFindTheOthers(t *testing.T) {
	tests := map[string]struct{ hosts int }{
		"small zones": {hosts: 8},
		"large zones": {hosts: 120},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, test.hosts, func(t *testing.T, f *restoredFleet) {
				f.table.restore(nil)
				f.start("a998")
				f.start("b999")
				time.Sleep(500 * time.Millisecond)
				f.table.locked(func() { f.table.reads = 0 })
				f.renew()
				agreed := f.timeToAgree()
				late := f.lists[len(f.lists)-1]
				var reads int
				f.table.locked(func() { reads = f.table.reads })
				t.Logf("all know each other after %v and %d reads", agreed, reads)
				qt.Check(t, agreed < 5*time.Second, qt.IsTrue, qt.Commentf("%s knows %d hosts of %d", late.config.ID, liveCount(late), len(f.lists)))
				qt.Check(t, reads < 80, qt.IsTrue, qt.Commentf("%d reads", reads))
			})
		})
	}
}
