package claim

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/verdict"
)

func TestRunDeletesOldPeriods(t *testing.T) {
	withFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		const retention = time.Minute
		f.mutate = func(c *Config) { c.Retention = retention }
		f.start("a", 2)
		r := keyRequest("k")
		_, err := begin(f, "a", r)
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		defer cancel()
		go func() { ended <- f.on("a").Run(ctx) }()
		time.Sleep(retention)
		wantRefusal(t, f, "a", r, verdict.MayHaveRun, verdict.ClaimHeld)
		time.Sleep(keptPeriods*retention + 2*housekeepingInterval)
		cancel()
		qt.Assert(t, <-ended, qt.ErrorIs, context.Canceled)
		qt.Assert(t, f.table.rows, qt.HasLen, 0)
	})
}

// A claim must be granted if its transaction is committed but the table's response is
// lost.
func TestLostAnswerFromTable(t *testing.T) {
	withFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		f.table.setFaultRates(faultRates{loseAnswer: 1})
		r := keyRequest("k")
		cl, err := begin(f, "a", r)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, cl.Finish(context.Background(), verdict.NotRun, 0), qt.IsNil)
		_, err = begin(f, "a", r)
		qt.Assert(t, err, qt.IsNil)
	})
}

// A claim that is written to the table only after its arrival was refused must not
// keep the idempotency key held.
func TestLateWriteIsRevoked(t *testing.T) {
	withFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		r := keyRequest("k")
		f.table.setFaultRates(faultRates{late: 1})
		wantRefusal(t, f, "a", r, verdict.MayHaveRun, verdict.ClaimUnavailable)
		f.table.setFaultRates(faultRates{})
		time.Sleep(2 * time.Minute)
		_, err := begin(f, "a", r)
		qt.Assert(t, err, qt.IsNil)
	})
}

// A release that is applied late must not release the claim of a later arrival.
func TestLateReleaseKeepsLaterClaim(t *testing.T) {
	withFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		r := keyRequest("k")
		cl, err := begin(f, "a", r)
		qt.Assert(t, err, qt.IsNil)
		f.table.setFaultRates(faultRates{late: 1})
		qt.Assert(t, cl.Finish(context.Background(), verdict.NotRun, 0), qt.IsNotNil)
		f.table.setFaultRates(faultRates{})
		time.Sleep(100 * time.Millisecond)
		unknown, err := begin(f, "a", r)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Minute)
		qt.Assert(t, unknown.Finish(context.Background(), verdict.MayHaveRun, 0), qt.IsNil)
		qt.Assert(t, unknown.Finish(context.Background(), verdict.NotRun, 0), qt.IsNil)
		wantRefusal(t, f, "a", r, verdict.MayHaveRun, verdict.ClaimHeld)
	})
}

// Hosts whose clocks are in different, adjacent periods must see each other's
// claims.
func TestClockSkew(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		ahead := f.on("b")
		ahead.config.Now = func() time.Time { return time.Now().Add(defaultRetention) }
		ahead.batcher.config.Now = ahead.config.Now
		f.on("a").SetHosts(f.hosts[:1])
		ahead.SetHosts(f.hosts[1:])
		for _, order := range [][]string{{"a", "b"}, {"b", "a"}} {
			_, err := begin(f, order[0], keyRequest(order[0]))
			qt.Assert(t, err, qt.IsNil)
			wantRefusal(t, f, order[1], keyRequest(order[0]), verdict.MayHaveRun, verdict.ClaimHeld)
		}
	})
}

func TestUnreadableRowIsHeld(t *testing.T) {
	withFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		_, err := begin(f, "a", keyRequest("k"))
		qt.Assert(t, err, qt.IsNil)
		for key, row := range f.table.rows {
			row.Value = []byte("{")
			f.table.rows[key] = row
		}
		wantRefusal(t, f, "a", keyRequest("k"), verdict.MayHaveRun, verdict.ClaimHeld)
	})
}

func TestClosedAggregatorIsBypassed(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		aggregator, _ := f.on("a").aggregator("")
		qt.Assert(t, f.on(aggregator.ID).Close(), qt.IsNil)
		entry := map[string]string{"a": "b", "b": "a"}[aggregator.ID]
		cl, err := begin(f, entry, keyRequest("k"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, cl.Finish(context.Background(), verdict.NotRun, 0), qt.IsNil)
	})
}

// A client account that floods the queue with claims must not delay the claim of
// another account.
func TestBatchesAreFairAcrossAccounts(t *testing.T) {
	withFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		f.mutate = func(c *Config) { c.MaxTransactionRate = 1 }
		f.start("a", 2)
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		var wg sync.WaitGroup
		for i := range 2 * maxQueue {
			wg.Go(func() { _, _ = f.on("a").Begin(ctx, keyRequest(strconv.Itoa(i))) })
		}
		synctest.Wait()
		start := time.Now()
		_, err := begin(f, "a", Request{Account: "other", Route: "r", IdempotencyKey: "k"})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, time.Since(start) <= 2*time.Second, qt.IsTrue)
		cancel()
		wg.Wait()
	})
}

func TestConflictFailsOnlyItsOwnClaim(t *testing.T) {
	withFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		held := keyRequest("0")
		_, err := begin(f, "a", held)
		qt.Assert(t, err, qt.IsNil)
		before := f.table.commits
		var wg sync.WaitGroup
		for i := range defaultBatchSize {
			wg.Go(func() {
				_, err := begin(f, "a", keyRequest(strconv.Itoa(i)))
				qt.Check(t, err == nil, qt.Equals, i != 0)
			})
		}
		wg.Wait()
		qt.Assert(t, f.table.commits-before, qt.Equals, 2)
	})
}
