package entry

import (
	"math/rand/v2"
	"time"

	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// comebackShare is the part of the time that a caller has left after which a
	// request that was refused for overload may come back, as a divisor.
	comebackShare = 4
	// minComeback and maxComeback bound that time.
	minComeback = 50 * time.Millisecond
	maxComeback = time.Second
)

// returnAfter tells the caller of a request that was refused when to come back.
// The times are spread, so that callers that were refused together do not come
// back together.
func returnAfter(x *exchange, failure *verdict.Error) time.Duration {
	if failure.Verdict != verdict.NotRun {
		return 0
	}
	if failure.RetryAfterMs > 0 {
		return time.Duration(failure.RetryAfterMs) * time.Millisecond
	}
	if x.timeout <= 0 {
		return 0
	}
	mean := min(max(x.timeout/comebackShare, minComeback), maxComeback)
	return mean*3/4 + rand.N(mean/2)
}
