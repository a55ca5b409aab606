package tally

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/quota"
)

// reportAt is a report that a home gets from a host at a time since its first one.
type reportAt struct {
	at       time.Duration
	host     string
	spending Spending
}

// TestNewHomeAddsNoTokens guards against a home that begins with tokens which the home before it gave out.
func TestNewHomeAddsNoTokens(t *testing.T) {
	const refill = 100.0
	limit := quota.Limit{Rate: 100, Burst: 100}
	tests := map[string]struct {
		idle    time.Duration
		reports []reportAt
		level   float64
	}{
		"idle home takes over an empty bucket": {
			idle:    10 * time.Second,
			reports: []reportAt{{0, "a", Spending{Total: 50, Unreported: 3, HomeLevel: 2, Home: "other"}}},
			level:   -1,
		},
		"idle home takes over a full bucket": {
			idle:    10 * time.Second,
			reports: []reportAt{{0, "a", Spending{HomeLevel: 60, Home: "other"}}},
			level:   60,
		},
		"first host has just started, the second knows the level": {
			idle: 10 * time.Second,
			reports: []reportAt{
				{0, "a", Spending{Total: 2, Unreported: 2, Level: 13}},
				{0, "b", Spending{HomeLevel: 40, Home: "other"}},
			},
			level: 38,
		},
		"both homes refill while hosts move": {
			idle: 10 * time.Second,
			reports: []reportAt{
				{0, "a", Spending{HomeLevel: 5, Home: "other"}},
				{200 * time.Millisecond, "a", Spending{Total: 20, Unreported: 20, HomeLevel: 5, Home: "self"}},
				{200 * time.Millisecond, "b", Spending{HomeLevel: 10, Home: "other"}},
			},
			level: -10,
		},
		"both buckets stay full while hosts move": {
			idle: 10 * time.Second,
			reports: []reportAt{
				{0, "a", Spending{HomeLevel: 60, Home: "other"}},
				{900 * time.Millisecond, "a", Spending{Total: 50, Unreported: 50, HomeLevel: 60, Home: "self"}},
				{time.Second, "b", Spending{HomeLevel: 60, HomeAge: 3 * time.Second, Home: "other"}},
			},
			level: 20,
		},
		"host returns from another home much later": {
			idle: 10 * time.Second,
			reports: []reportAt{
				{0, "a", Spending{HomeLevel: 5, Home: "other"}},
				{500 * time.Millisecond, "a", Spending{Total: 40, Unreported: 40, HomeLevel: 5, Home: "self"}},
				{1100 * time.Millisecond, "b", Spending{HomeLevel: 10, Home: "other"}},
			},
			level: 10,
		},
		"host that reports to the same home is believed no level": {
			reports: []reportAt{{0, "a", Spending{HomeLevel: 5, Home: "self"}}},
			level:   60,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			b := newBucket(limit, start)
			b.lastReport = start
			start = start.Add(test.idle)
			var state State
			for _, r := range test.reports {
				now := start.Add(r.at)
				b.advance(now, refill)
				b.adopt(now, r.spending.Home == "self", r.spending)
				state = b.applyReport(now, r.host, 1, r.spending)
			}
			qt.Assert(t, math.Abs(state.Level-test.level) < 1e-6, qt.IsTrue, qt.Commentf("%f tokens, want %f", state.Level, test.level))
		})
	}
}
