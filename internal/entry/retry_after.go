package entry

import (
	"math/rand/v2"
	"time"

	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// retryAfterDivisor divides the caller's timeout to give the mean delay after
	// which the caller should retry a refused request.
	retryAfterDivisor = 4
	// minRetryAfter and maxRetryAfter bound the mean delay.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// remainingRetryDivisor divides the time that the caller has left to give the
	// longest delay: callers don't wait longer for a retry.
	remainingRetryDivisor = 3
	// minRetryTime is the time that a caller must have left to retry at all.
	minRetryTime = 10 * time.Millisecond
)

// retryAfterFor returns the delay after which the caller of a refused request should
// retry, or 0 if the request may have run, the delay is unknown or the caller has no time
// left. A delay given by the failure is returned unchanged. A delay computed here has
// random jitter, so that callers that were refused together don't retry together.
func retryAfterFor(x *activeCall, failure *verdict.Error) time.Duration {
	if failure.Verdict != verdict.NotRun {
		return 0
	}
	if failure.RetryAfterMs > 0 {
		return time.Duration(failure.RetryAfterMs) * time.Millisecond
	}
	if x.timeout <= 0 {
		return 0
	}
	left := x.timeout - time.Since(x.arrived)
	if left < minRetryTime {
		return 0
	}
	mean := min(max(x.timeout/retryAfterDivisor, minRetryAfter), maxRetryAfter)
	return min(mean*3/4+rand.N(mean/2), left/remainingRetryDivisor)
}
