// Package treeadmit decides at the entry of a root request whether the services of its
// whole call tree have capacity for it.
//
// Owners report admission levels with their answers (admission.Load.Closed). [Beneath]
// collects, at the owner of a call, the levels of the services that its nested calls use,
// and [Roots] collects, at the entry of a root request, the levels of its route.
package treeadmit

import (
	"math"
	"time"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/pkg/object"
)

const (
	// levelHold is the time after the last report for which a level holds, and
	// levelLifetime the time after which it has decayed to open. An entry with few
	// requests gets few reports.
	levelHold     = 800 * time.Millisecond
	levelLifetime = time.Second
	// maxAwait bounds the time since the last report for which a request in progress,
	// whose answer will report the level, keeps it from decaying.
	maxAwait = time.Second
	// levelWindow is the time constant with which a level follows the reports, and
	// minReportWeight the least weight of a report. Together they average over the
	// hosts of a service.
	levelWindow     = 100 * time.Millisecond
	minReportWeight = 0.15
	// maxTracked bounds the routes and the services of a route that are tracked.
	maxTracked = 4096
)

// Reported returns the level that an answer of a host reports for the call tree below it:
// that of the host, or the one beneath it if that is higher. It returns false if the
// answer says nothing of the service.
func Reported(load admission.Load, beneath float64) (closed float64, ok bool) {
	if load.Lost() {
		return 0, false
	}
	closed = max(load.Closed, beneath)
	return min(closed, object.UrgencyCount), closed >= 0
}

// level is the moving average of a reported level. The zero value is open.
type level struct {
	closed   float64
	reported time.Time
	// awaited is when a request was last sent whose answer will report the level.
	awaited time.Time
}

func (l *level) report(closed float64, now time.Time) {
	weight := max(1-math.Exp(-float64(now.Sub(l.reported))/float64(levelWindow)), minReportWeight)
	l.closed += weight * (closed - l.closed)
	l.reported = now
}

// value returns the level, which decays to open without reports.
func (l *level) value(now time.Time) float64 {
	since := l.reported
	if l.awaited.After(since) {
		since = l.awaited
	}
	if latest := l.reported.Add(maxAwait); since.After(latest) {
		since = latest
	}
	rest := levelLifetime - now.Sub(since)
	if rest <= 0 {
		return 0
	}
	return l.closed * min(float64(rest)/float64(levelLifetime-levelHold), 1)
}

// negligible reports whether the level is as good as open, so that it need not be kept.
func (l *level) negligible(now time.Time) bool {
	const negligible = 0.005
	return l.value(now) < negligible
}
