package retry

import (
	"cmp"
	"sync/atomic"

	"curranthold.example/curranthold/internal/metric"
)

// DefaultBurst is the maximum and default burst of a bucket, in retries.
const DefaultBurst = 10

// The bucket counts in thousandths of a retry.
const (
	milliRetry = 1000
	// milliPerFirstAttempt is what one first attempt earns by default.
	milliPerFirstAttempt = 80
	// milliCapacity is the maximum and default burst of a bucket, which is its
	// capacity. A bucket starts full.
	milliCapacity = DefaultBurst * milliRetry
	// milliMaxDebt is how far CountNestedInRetry can overdraw a bucket.
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
// A retry repeats all of its nested calls, so that fixed shares of retries at
// each level of a call tree would multiply over its depth. A node therefore
// counts a call that is nested in another node's retry with
// [Bucket.CountNestedInRetry] instead of [Bucket.CountFirst]: the call earns
// nothing and uses up one of the node's own retries. The share of retries then
// does not multiply along a chain of calls: apart from bursts, it is at most the
// largest share at any one level.
type Bucket struct {
	// used is the part of the burst that is used up, in thousandths of a retry.
	// First attempts lower it, down to floor.
	used atomic.Int64
	// burst is what SetBurst set, in thousandths of a retry; 0 means that
	// nothing was set, and milliCapacity applies.
	burst atomic.Int64
	// share is what one first attempt earns, in thousandths of a retry; 0 means
	// milliPerFirstAttempt.
	share atomic.Int64
}

// SetShare sets what one first attempt earns, as a fraction of a retry; 0 means
// 0.08.
func (b *Bucket) SetShare(share float64) { b.share.Store(int64(share * milliRetry)) }

func (b *Bucket) earnedPerFirst() int64 { return cmp.Or(b.share.Load(), milliPerFirstAttempt) }

// SetBurst sets the burst, which is how many retries the bucket allows before
// any first attempt; more than 10 counts as 10. It may be a fraction, because
// the nodes divide a configured number among themselves. 0 means a burst of a
// thousandth of a retry.
func (b *Bucket) SetBurst(retries float64) {
	b.burst.Store(max(int64(retries*milliRetry), 1))
}

func (b *Bucket) capacity() int64 {
	if burst := b.burst.Load(); burst > 0 {
		return min(burst, milliCapacity)
	}
	return milliCapacity
}

// floor returns the minimum of used. It is negative if the burst is less than
// one retry, so that first attempts can still earn a whole one.
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

// CountNestedInRetry counts a call that is nested in another node's retry. The
// call is always allowed, and uses up one of this node's retries.
func (b *Bucket) CountNestedInRetry() {
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
