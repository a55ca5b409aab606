package retry

import (
	"cmp"
	"sync/atomic"

	"curranthold.example/curranthold/internal/metric"
)

// The bucket counts in thousandths of a retry.
const (
	milliRetry = 1000
	// milliPerFirstAttempt is what one first attempt earns by default.
	milliPerFirstAttempt = 80
	// milliCapacity is the maximum and default capacity of a bucket. A bucket
	// starts full.
	milliCapacity = 10 * milliRetry
	// milliMaxDebt is how far calls counted by CountRepeated can overdraw a bucket.
	milliMaxDebt = 100 * milliRetry
)

var (
	metrics        = metric.NewGroup("retry")
	retriesGranted = metrics.Int("retries-granted")
	retriesDenied  = metrics.Int("retries-denied")
)

// Bucket is a token bucket that limits the retries of one node to one service
// to a share of its first attempts there, by default 8 %, plus a burst of at
// most 10. Its methods may be called concurrently. The zero value is full.
//
// A repeated attempt may in turn repeat all of its nested calls, so that fixed
// fractions at each level of a call graph would multiply over its depth. A node
// therefore counts a call that it makes as part of another node's repeated
// attempt with [Bucket.CountRepeated] instead of [Bucket.CountFirst]: the call earns
// nothing and uses up one of the node's own retries. Along a chain of calls,
// the share of repeated attempts at every level then stays within the fraction
// that the most heavily loaded level allows.
type Bucket struct {
	// used is the part of the capacity that is used up, in thousandths of a
	// retry. First attempts lower it, down to floor.
	used atomic.Int64
	// slack is the capacity set by SetSlack, in thousandths of a retry; 0 means
	// milliCapacity.
	slack atomic.Int64
	// share is what one first attempt earns, in thousandths of a retry; 0 means
	// milliPerFirstAttempt.
	share atomic.Int64
}

// SetShare sets what one first attempt earns, as a fraction of a retry; 0 means
// 0.08.
func (b *Bucket) SetShare(share float64) { b.share.Store(int64(share * milliRetry)) }

func (b *Bucket) earnedPerFirst() int64 { return cmp.Or(b.share.Load(), milliPerFirstAttempt) }

// SetSlack sets how many retries the bucket holds before any first attempt, at
// most 10. It may be a fraction, because the nodes divide a configured number
// among themselves.
func (b *Bucket) SetSlack(retries float64) {
	b.slack.Store(max(int64(retries*milliRetry), 1))
}

func (b *Bucket) capacity() int64 {
	if slack := b.slack.Load(); slack > 0 {
		return min(slack, milliCapacity)
	}
	return milliCapacity
}

// floor returns the minimum of used. It is negative if the capacity is less
// than one retry, so that first attempts can still earn a whole one.
func (b *Bucket) floor() int64 { return min(b.capacity()-milliRetry, 0) }

// CountFirst counts a first attempt.
func (b *Bucket) CountFirst() {
	for {
		used, floor := b.used.Load(), b.floor()
		if used <= floor || b.used.CompareAndSwap(used, max(used-b.earnedPerFirst(), floor)) {
			return
		}
	}
}

// CountRepeated counts an attempt that is part of another node's repeated attempt.
// The attempt is always allowed, and leaves this node one retry less.
func (b *Bucket) CountRepeated() {
	for {
		used := b.used.Load()
		next := min(used+milliRetry, b.capacity()+milliMaxDebt)
		if b.used.CompareAndSwap(used, next) {
			return
		}
	}
}

// Take spends one retry and reports whether there was one.
func (b *Bucket) Take() bool {
	for {
		used := b.used.Load()
		if used+milliRetry > b.capacity() {
			retriesDenied.Add(1)
			return false
		}
		if b.used.CompareAndSwap(used, used+milliRetry) {
			retriesGranted.Add(1)
			return true
		}
	}
}
