package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/object"
)

// TestDemandLevel checks the level for a backend server with 10 slots of 20 ms, which can
// serve 500 requests a second. Requests that roots admit with a small probability count
// for those that they refuse; without that the level would open again.
func TestDemandLevel(t *testing.T) {
	type class struct {
		rate        float64
		probability float64
		counted     bool
	}
	tests := map[string]struct {
		classes [3]class // urgent, normal, deferrable
		queued  int
		low     float64
		high    float64
	}{
		"idle":                          {low: 0, high: 0},
		"all fit":                       {classes: [3]class{{rate: 100}, {rate: 200}, {rate: 150}}, low: 0, high: 0},
		"half of the deferrable":        {classes: [3]class{{rate: 100}, {rate: 200}, {rate: 400}}, low: 6.45, high: 6.55},
		"half of the normal":            {classes: [3]class{{rate: 100}, {rate: 800}}, low: 7.45, high: 7.55},
		"the same, thinned":             {classes: [3]class{{rate: 100}, {rate: 400, probability: 0.5}}, low: 7.45, high: 7.55},
		"half of the urgent":            {classes: [3]class{{rate: 1000}, {rate: 100}}, low: 8.5, high: 8.65},
		"deferrable that arrive anyway": {classes: [3]class{{rate: 100}, {rate: 450}, {rate: 100}}, low: 7.3, high: 7.36},
		"counted elsewhere":             {classes: [3]class{{rate: 400}, {rate: 400, counted: true}}, low: 0, high: 0},
		"invalid probability":           {classes: [3]class{{rate: 100}, {rate: 200, probability: -3}}, low: 0, high: 0},
		"queue":                         {classes: [3]class{{rate: 100}, {rate: 390}}, queued: 100, low: 7.2, high: 7.26},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := demand{enabled: true}
			d.observeEnd(Succeeded, 20*time.Millisecond)
			now := time.Now()
			var due [3]float64
			for range 300 {
				now = now.Add(10 * time.Millisecond)
				for u, c := range test.classes {
					for due[u] += c.rate / 100; due[u] >= 1; due[u]-- {
						d.observe(&Request{Urgency: object.Urgency(u), AdmitProbability: c.probability, DemandCounted: c.counted})
					}
				}
				d.level(10, test.queued, now)
			}
			qt.Check(t, d.closed >= test.low && d.closed <= test.high, qt.IsTrue, qt.Commentf("%.3f", d.closed))
			for range 100 {
				now = now.Add(10 * time.Millisecond)
				d.level(10, 0, now)
			}
			qt.Check(t, d.closed, qt.Equals, 0.0, qt.Commentf("a second after the end of the demand"))
		})
	}
}

// TestLevelOnlyIfAnnounced checks that a Controller reports no level, and still reports
// which urgencies it sheds, unless the announcement asks for levels.
func TestLevelOnlyIfAnnounced(t *testing.T) {
	for _, levelled := range []bool{false, true} {
		now := time.Now()
		c := New(Config{QueueLimit: 1, Now: func() time.Time { return now }})
		c.Announce(Announcement{Slots: 1, Levelled: levelled, Warm: true})
		permit, err := c.Acquire(t.Context(), Request{})
		qt.Assert(t, err, qt.IsNil)
		now = now.Add(100 * time.Millisecond)
		permit.Done(Succeeded)
		for range 50 {
			now = now.Add(20 * time.Millisecond)
			for range 4 {
				c.mu.Lock()
				c.demand.observe(&Request{Urgency: object.Deferrable})
				c.mu.Unlock()
			}
			c.Load()
		}
		load := c.Load()
		qt.Check(t, load.Levelled, qt.Equals, levelled)
		qt.Check(t, load.Closed > 0, qt.Equals, levelled)
	}
}
