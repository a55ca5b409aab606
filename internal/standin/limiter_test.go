package standin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLimiterInColdStart(t *testing.T) {
	tests := map[string]struct {
		limiter   *limiter
		successes int
		elapsed   time.Duration
		cold      bool
	}{
		"no cold slots":                {limiter: &limiter{slots: 4, coldRequests: 3}},
		"too few successes":            {limiter: &limiter{slots: 4, coldSlots: 2, coldRequests: 3}, successes: 2, cold: true},
		"enough successes":             {limiter: &limiter{slots: 4, coldSlots: 2, coldRequests: 3}, successes: 3},
		"too little time":              {limiter: &limiter{slots: 4, coldSlots: 2, coldTime: time.Second}, elapsed: time.Second - 1, cold: true},
		"enough time":                  {limiter: &limiter{slots: 4, coldSlots: 2, coldTime: time.Second}, elapsed: time.Second},
		"time before enough successes": {limiter: &limiter{slots: 4, coldSlots: 2, coldRequests: 3, coldTime: 1}, elapsed: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, now := test.limiter, time.Unix(0, 0)
			l.crashOverruns = 100
			l.startCold(now)
			for range test.successes {
				qt.Assert(t, l.admit(now), qt.Equals, admitted)
				l.release(true)
			}
			now = now.Add(test.elapsed)
			qt.Assert(t, l.isCold(now), qt.Equals, test.cold)
			want := l.slots
			if test.cold {
				want = l.coldSlots
			}
			for range want {
				qt.Assert(t, l.admit(now), qt.Equals, admitted)
			}
			qt.Assert(t, l.admit(now), qt.Equals, overloaded)
			qt.Assert(t, l.totalOverruns > 0, qt.Equals, test.cold)
			qt.Assert(t, l.maxConcurrent, qt.Equals, want)
		})
	}
}

func TestLimiterCrash(t *testing.T) {
	now := time.Unix(0, 0)
	l := &limiter{slots: 10, coldSlots: 1, coldRequests: 100, crashOverruns: 3}
	l.startCold(now)
	qt.Assert(t, l.admit(now), qt.Equals, admitted)
	qt.Assert(t, l.admit(now), qt.Equals, overloaded)
	qt.Assert(t, l.admit(now), qt.Equals, overloaded)
	now = now.Add(overrunWindow) // the first two overruns are now outside the window
	qt.Assert(t, l.admit(now), qt.Equals, overloaded)
	qt.Assert(t, l.admit(now), qt.Equals, overloaded)
	qt.Assert(t, l.admit(now), qt.Equals, crashing)
	qt.Assert(t, l.totalOverruns, qt.Equals, 5)
}
