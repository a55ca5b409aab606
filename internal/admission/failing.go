package admission

import (
	"math"
	"time"
)

const (
	// failureTimeConstant is the time after which the weight of an outcome has
	// decayed by the factor e.
	failureTimeConstant = 2 * time.Second
	// priorSuccesses is a number of successes that is added to the observed
	// requests, so that a few failures alone yield a low rate.
	priorSuccesses = 4
)

// failureRate estimates the share of recent requests that failed because of the
// backend server itself, independently of its health check. The zero value is a
// rate of 0.
type failureRate struct {
	// failed and ended are the exponentially decayed counts, as of updated, of
	// failed requests and of all requests that count.
	failed, ended float64
	updated       time.Time
}

// observe counts a request that has ended. A request that the backend server
// refused, failed or broke off counts as failed. One whose outcome does not
// depend on the backend server alone, such as an expired deadline or a failed
// nested call, is ignored.
func (f *failureRate) observe(s sample, now time.Time) {
	failed := 0.0
	switch s.outcome {
	case Succeeded:
	case Failed, Refused:
		failed = 1
	case Broken:
		if s.expired || s.nested {
			return
		}
		failed = 1
	default:
		return
	}
	decay := f.decay(now)
	f.failed = f.failed*decay + failed
	f.ended = f.ended*decay + 1
	f.updated = now
}

// value returns the estimated rate, between 0 and 1.
func (f *failureRate) value(now time.Time) float64 {
	decay := f.decay(now)
	return f.failed * decay / (f.ended*decay + priorSuccesses)
}

// decay returns the factor by which the counts have decayed since updated.
func (f *failureRate) decay(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(f.updated)) / float64(failureTimeConstant))
}
