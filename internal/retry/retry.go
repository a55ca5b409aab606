// Package retry limits retries and sets the delays before them.
//
// Three limits apply together. [Allowed] reports whether a request may be
// retried after an error at all. A [Budget], the attempt budget, limits the
// retries of one root request over its whole call tree. A [Bucket] limits the
// retries of one node to one service to a small fraction of its first attempts
// there; [Buckets] holds the buckets of a node.
package retry

import (
	"math/rand/v2"
	"time"

	"curranthold.example/curranthold/pkg/verdict"
)

const (
	backoffBase = 2 * time.Millisecond
	backoffMax  = 50 * time.Millisecond
)

// permanent holds the codes of errors that a retry would also return.
var permanent = map[verdict.Code]bool{
	verdict.BadRequest:       true,
	verdict.RequestTooLarge:  true,
	verdict.UnknownRoute:     true,
	verdict.KeyMissing:       true,
	verdict.KeyRefused:       true,
	verdict.CallTokenRefused: true,
	verdict.DeadlineExceeded: true,
	verdict.QuotaExceeded:    true,
	verdict.QuotaUnavailable: true,
	verdict.AlreadyRan:       true,
	verdict.ClaimHeld:        true,
	verdict.ClaimUnavailable: true,
	verdict.NoHost:           true,
	verdict.RetriesExhausted: true,
	verdict.AnswerTooLarge:   true,
	verdict.Cancelled:        true,
}

// Allowed reports whether a request that ended with err may be retried on
// another host. A request that has not run may be retried on every route, and
// one that may have run only on a route that is not marked non-repeatable.
// Errors that are marked as exhausted, and those with a permanent code, are
// never retried.
func Allowed(err *verdict.Error, nonRepeatable bool) bool {
	if err == nil || err.Exhausted || permanent[err.Code] {
		return false
	}
	switch err.Verdict {
	case verdict.NotRun:
		return true
	case verdict.MayHaveRun:
		return !nonRepeatable
	default:
		return false
	}
}

// Backoff returns how long to wait before the given retry, counted from 1. The
// delay is 2 ms, doubled with each further retry up to 50 ms, and its upper
// half is jitter. rnd returns numbers in [0, 1); nil means math/rand/v2.
func Backoff(attempt int, rnd func() float64) time.Duration {
	if rnd == nil {
		rnd = rand.Float64
	}
	delay := backoffBase
	for i := 1; i < attempt && delay < backoffMax; i++ {
		delay *= 2
	}
	delay = min(delay, backoffMax)
	return delay/2 + time.Duration(rnd()*float64(delay/2))
}
