package tally

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/quota"
)

// startAlone starts hosts, in place of any process that they have, that know no other
// host and take expected as the number of hosts. The others know them all along.
func (f *restartingFleet) startAlone(hosts []quota.Host, expected int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expected = expected
	for _, h := range hosts {
		f.stop[h.ID]()
		f.start(h)
	}
}

// introduceAll has each of the hosts learn of all others.
func (f *restartingFleet) introduceAll(hosts []quota.Host) {
	for _, h := range hosts {
		for _, other := range f.hosts {
			f.tell(h.ID, other.ID, true, false)
		}
	}
}

// TestHostsThatKnowNoOtherAddNoTokens guards against started processes that fill a bucket each until they find the others.
func TestHostsThatKnowNoOtherAddNoTokens(t *testing.T) {
	tests := map[string]struct {
		expected int
		alone    time.Duration
	}{
		"number of hosts known": {expected: 12, alone: 3 * time.Second},
		"others not yet sought": {expected: 8, alone: 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				limit := quota.Limit{Rate: 100, Burst: 100}
				f := newRestartingFleet(ctx, 12, limit, 1)
				allowed, _ := f.spendFor(400, 5*time.Second)
				home := f.homeOf("host-0")
				restarted := slices.DeleteFunc(slices.Clone(f.hosts), func(h quota.Host) bool { return h == home })[:4]
				f.startAlone(restarted, test.expected)
				alone, _ := f.spendFor(400, test.alone)
				f.introduceAll(restarted)
				after, _ := f.spendFor(400, 5*time.Second)
				allowed = slices.Concat(allowed, alone, after)
				checkWindow(t, limit, allowed)
				cancel()
				time.Sleep(time.Second) // Wait for reports in flight.
			})
		})
	}
}

// TestServedWithinRateWhileHostsFindEachOther starts whole fleets whose hosts know no
// other at first. Nearly all requests within the rate must be served.
func TestServedWithinRateWhileHostsFindEachOther(t *testing.T) {
	tests := map[string]struct {
		hosts, expected int
		alone           time.Duration
	}{
		"only host":             {hosts: 1, expected: 1, alone: 3 * time.Second},
		"three hosts":           {hosts: 3, expected: 8, alone: 300 * time.Millisecond},
		"fourteen hosts":        {hosts: 14, expected: 8, alone: time.Second},
		"others listed, silent": {hosts: 14, expected: 14, alone: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				const demand = 0.8
				limit := quota.Limit{Rate: 81, Burst: 81}
				f := newRestartingFleet(ctx, test.hosts, limit, 1)
				f.startAlone(f.hosts, test.expected)
				allowed, sent := f.spendFor(demand*limit.Rate, test.alone)
				f.introduceAll(f.hosts)
				after, sentAfter := f.spendFor(demand*limit.Rate, 5*time.Second)
				served, total := len(allowed)+len(after), sent+sentAfter
				t.Logf("%d of %d served, %d of %d while alone", served, total, len(allowed), sent)
				qt.Check(t, float64(served) >= 0.99*float64(total), qt.IsTrue, qt.Commentf("%d of %d served", served, total))
				cancel()
				time.Sleep(time.Second) // Wait for reports in flight.
			})
		})
	}
}
