package admission_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
)

// TestWarmStart checks which announcements that say that the backend server is warm
// set the limit to the slots. It guards against a ramp of a server that runs at full
// speed, and against a missing ramp of one that may be cold.
func TestWarmStart(t *testing.T) {
	warm := admission.Announcement{Slots: 100, Incarnation: "one", Warm: true}
	with := func(change func(*admission.Announcement)) admission.Announcement {
		a := warm
		change(&a)
		return a
	}
	slowStart := with(func(a *admission.Announcement) { a.Cold, a.SlowStart = true, true })
	unknown := with(func(a *admission.Announcement) { a.Warm = false })
	cold := with(func(a *admission.Announcement) { a.Cold = true })
	tests := map[string]struct {
		announcements []admission.Announcement
		want          int
	}{
		"first":                        {[]admission.Announcement{warm}, 100},
		"first, not known to be warm":  {[]admission.Announcement{unknown}, 5},
		"known to be warm later":       {[]admission.Announcement{unknown, warm}, 100},
		"cold":                         {[]admission.Announcement{cold}, 5},
		"cold, only slower":            {[]admission.Announcement{slowStart}, 50},
		"turned cold, only slower":     {[]admission.Announcement{warm, slowStart}, 50},
		"warm after cold":              {[]admission.Announcement{cold, warm}, 5},
		"turned cold":                  {[]admission.Announcement{warm, cold}, 5},
		"another incarnation":          {[]admission.Announcement{warm, with(func(a *admission.Announcement) { a.Incarnation = "two" })}, 100},
		"another incarnation, cold":    {[]admission.Announcement{warm, with(func(a *admission.Announcement) { a.Incarnation, a.Cold = "two", true })}, 5},
		"again after a withdrawal":     {[]admission.Announcement{warm, {Incarnation: "one"}, warm}, 100},
		"cold, withdrawn, warm":        {[]admission.Announcement{cold, {Incarnation: "one"}, warm}, 5},
		"more slots":                   {[]admission.Announcement{warm, with(func(a *admission.Announcement) { a.Slots = 200 })}, 100},
		"fewer connections than slots": {[]admission.Announcement{with(func(a *admission.Announcement) { a.Connections = 30 })}, 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := admission.New(admission.Config{})
			for _, a := range test.announcements {
				c.Announce(a)
			}
			qt.Assert(t, c.Load().Limit, qt.Equals, test.want)
		})
	}
}

// TestWarmDoesNotEndOtherRamps checks that an announcement that says warm doesn't end
// a ramp that slow requests have started: the announcement may be late or wrong.
func TestWarmDoesNotEndOtherRamps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		warm := admission.Announcement{Slots: 40, Incarnation: "one", Warm: true}
		c := admission.New(admission.Config{})
		c.Announce(warm)
		saturate(t, c, time.Second)
		for range 20 {
			permit, err := c.Acquire(t.Context(), admission.Request{})
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(time.Second)
			permit.Done(admission.Broken)
		}
		qt.Assert(t, c.Load().Limit, qt.Equals, 2)
		c.Announce(warm)
		qt.Assert(t, c.Load().Limit, qt.Equals, 2)
	})
}

// TestSilentColdStartWhenWarm checks that a cold start that is not announced is
// detected although the limit started at the slots, also soon after the start, when
// few requests have shown their typical time.
func TestSilentColdStartWhenWarm(t *testing.T) {
	tests := map[string]struct {
		breaks, refuses bool
		resetAt         time.Duration
	}{
		"resets connections":        {breaks: true, resetAt: 6 * time.Second},
		"becomes slow":              {resetAt: 6 * time.Second},
		"refuses":                   {refuses: true, resetAt: 6 * time.Second},
		"becomes slow after 1 s":    {resetAt: time.Second},
		"resets connections at 1 s": {breaks: true, resetAt: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := measureCold(t, test.breaks, test.refuses, admission.Config{}, test.resetAt, true)
			t.Logf("seed %d: crashes %d, refusals %d, worst overload %.1f, recovery %v, answered %.3f",
				*surgeSeed, f.crashes, f.refusals, f.worstOverload, f.recovery, f.answered)
			qt.Check(t, f.crashes, qt.Equals, 0)
			qt.Check(t, f.recovery <= 5*time.Second, qt.IsTrue)
		})
	}
}

// TestRefusalsAtAnyLoad guards against a limit that falls with each refusal of a backend
// server that refuses half of its requests whatever their number is. At the least limit, it
// served a tenth of what it accepts.
func TestRefusalsAtAnyLoad(t *testing.T) {
	c := admission.New(admission.Config{})
	c.Announce(admission.Announcement{Slots: 40, Incarnation: "one", Warm: true, SlowStart: true})
	for range 100 {
		refused, err := c.Acquire(t.Context(), admission.Request{})
		qt.Assert(t, err, qt.IsNil)
		served, err := c.Acquire(t.Context(), admission.Request{})
		qt.Assert(t, err, qt.IsNil)
		refused.Done(admission.Refused)
		served.Done(admission.Succeeded)
	}
	limit := c.Load().Limit
	qt.Check(t, limit >= 20, qt.IsTrue, qt.Commentf("limit %d", limit))
}
