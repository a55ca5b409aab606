// Package quantile estimates quantiles of a stream of durations.
package quantile

import "time"

// Estimate is a running estimate of a quantile of durations. A duration above the
// estimate raises it by the fraction rise of its value, and by at least 1
// microsecond. Any other duration lowers it by the fraction fall. A duration never
// moves the estimate beyond itself. The estimate converges to the quantile
// rise/(rise+fall). The first duration replaces the zero value. An Estimate is not
// safe for concurrent use.
type Estimate struct {
	value time.Duration
}

// Observe updates the estimate with the duration d.
func (e *Estimate) Observe(d time.Duration, rise, fall float64) {
	switch {
	case e.value == 0:
		e.value = d
	case d > e.value:
		e.value += max(time.Duration(rise*float64(e.value)), time.Microsecond)
		e.value = min(e.value, d)
	default:
		e.value -= time.Duration(fall * float64(e.value))
		e.value = max(e.value, d)
	}
}

// Value returns the estimate, which is 0 before the first duration.
func (e *Estimate) Value() time.Duration { return e.value }

// Set replaces the estimate.
func (e *Estimate) Set(d time.Duration) { e.value = d }
