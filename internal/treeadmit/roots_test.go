package treeadmit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// half is the level at which half of the normal requests are admitted.
const half = object.UrgencyCount - float64(object.Normal) - 0.5

// TestAdmit checks which share of the requests is admitted, and with which probability
// they are marked.
func TestAdmit(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		route       string
		urgency     object.Urgency
		age         time.Duration
		probability float64
	}{
		"more urgent":           {"r", object.Urgent, 0, 1},
		"partly admitted":       {"r", object.Normal, 0, 0.5},
		"less urgent":           {"r", object.Deferrable, 0, admission.MinAdmitProbability},
		"another route":         {"q", object.Deferrable, 0, 1},
		"held":                  {"r", object.Normal, levelHold, 0.5},
		"a second after report": {"r", object.Deferrable, levelLifetime, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := Roots{Random: func() float64 { return 0.5 }}
			r.Report("r", half, now)
			r.routes["r"].closed = half
			admitted := 0.0
			const requests = 1000
			for range requests {
				probability, err := r.Admit(test.route, test.urgency, now.Add(time.Second), now.Add(test.age))
				if err != nil {
					qt.Check(t, verdict.Of(err), qt.Equals, verdict.NotRun)
					qt.Check(t, verdict.From(err).Code, qt.Equals, verdict.Overloaded)
					continue
				}
				admitted++
				if probability == 0 {
					probability = 1
				}
				qt.Check(t, probability, qt.Equals, test.probability)
			}
			qt.Check(t, admitted >= requests*test.probability-1 && admitted <= requests*test.probability+1, qt.IsTrue, qt.Commentf("%v", admitted))
		})
	}
}

// TestReportsOpen checks that reports of capacity end the limit at once, and that a level
// that nothing reports ends although requests are admitted.
func TestReportsOpen(t *testing.T) {
	now := time.Now()
	var r Roots
	r.Report("r", half, now)
	qt.Check(t, r.Limited("r", now), qt.IsTrue)
	for range 60 {
		now = now.Add(10 * time.Millisecond)
		r.Report("r", 0, now)
	}
	qt.Check(t, r.Limited("r", now), qt.IsFalse)
	qt.Check(t, r.count.Load(), qt.Equals, int64(0))
	r.Report("r", half, now)
	for range 30 {
		_, _ = r.Admit("r", object.Urgent, now.Add(time.Second), now)
		now = now.Add(100 * time.Millisecond)
	}
	qt.Check(t, r.Limited("r", now), qt.IsFalse)
}

// TestRetryAfter checks that the delay after a refusal is at most a third of the time that
// the caller has left, longer for less urgent requests, and none without time.
func TestRetryAfter(t *testing.T) {
	mean := func(urgency object.Urgency, left time.Duration) time.Duration {
		var total time.Duration
		const draws = 1000
		var r Roots
		for range draws {
			delay := r.retryAfter(half, urgency, left)
			qt.Assert(t, delay >= 0 && delay <= left/3, qt.IsTrue, qt.Commentf("%v of %v", delay, left))
			total += delay / draws
		}
		return total
	}
	qt.Check(t, mean(object.Normal, time.Second) < mean(object.Deferrable, time.Second), qt.IsTrue)
	qt.Check(t, mean(object.Deferrable, 100*time.Millisecond) < mean(object.Deferrable, time.Second), qt.IsTrue)
	qt.Check(t, mean(object.Normal, 3*minRetryDelay-1), qt.Equals, time.Duration(0))
	qt.Check(t, new(Roots).retryAfter(half, object.Normal, -time.Second), qt.Equals, time.Duration(0))
}

// TestBeneath checks that the level beneath a route is that of its service with the least
// capacity, and that it ends without reports.
func TestBeneath(t *testing.T) {
	now := time.Now()
	var b Beneath
	b.Report("r", "open", 0, now)
	qt.Check(t, b.count.Load(), qt.Equals, int64(0))
	for range 100 {
		b.Report("r", "closed", half, now)
		b.Report("r", "open", 0, now)
		b.Report("r", "less", 1, now)
	}
	closed := b.Closed("r", now)
	qt.Check(t, closed > half-0.01 && closed <= half, qt.IsTrue, qt.Commentf("%.3f", closed))
	qt.Check(t, b.Closed("q", now), qt.Equals, 0.0)
	qt.Check(t, b.Closed("r", now.Add(levelLifetime)), qt.Equals, 0.0)
	qt.Check(t, b.count.Load(), qt.Equals, int64(0))
	qt.Check(t, b.routes, qt.HasLen, 0)
}

// TestReported checks which answers count. A host that refuses everything must not close
// the route, and a damaged level must not do harm.
func TestReported(t *testing.T) {
	tests := map[string]struct {
		load    admission.Load
		beneath float64
		want    float64
		ok      bool
	}{
		"open":         {admission.Load{}, 0, 0, true},
		"own level":    {admission.Load{Closed: 2}, 1, 2, true},
		"beneath":      {admission.Load{Closed: 1}, 2, 2, true},
		"failing":      {admission.Load{Closed: 8, FailingPercent: 90}, 0, 0, false},
		"out of range": {admission.Load{Closed: 1e9}, 0, object.UrgencyCount, true},
		"not a number": {admission.Load{}, nan(), 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			closed, ok := Reported(test.load, test.beneath)
			qt.Check(t, ok, qt.Equals, test.ok)
			if ok {
				qt.Check(t, closed, qt.Equals, test.want)
			}
		})
	}
}

func nan() float64 {
	zero := 0.0
	return zero / zero
}
