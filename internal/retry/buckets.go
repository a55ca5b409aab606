package retry

import "sync"

// Buckets holds the buckets of a node, one for each service that it calls.
// First attempts at one service earn no retries at another. Otherwise a service
// that refuses calls would receive retries in proportion to calls that go to
// other services. Its methods may be called concurrently. The zero value holds
// full buckets.
type Buckets struct {
	byService sync.Map // service name -> *Bucket

	mu    sync.Mutex
	share float64
	// burst is what SetBurst set, if burstSet is set.
	burst    float64
	burstSet bool
}

// Bucket returns the bucket of a service. The name must be one that operators have
// declared, because buckets are never removed.
func (b *Buckets) Bucket(service string) *Bucket {
	if bucket, ok := b.byService.Load(service); ok {
		return bucket.(*Bucket)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := new(Bucket)
	b.apply(bucket)
	found, _ := b.byService.LoadOrStore(service, bucket)
	return found.(*Bucket)
}

// SetShare sets what one first attempt earns, as a fraction of a retry; 0 means
// 0.08.
func (b *Buckets) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	b.applyAll()
}

// SetBurst sets the burst of each bucket; see [Bucket.SetBurst].
func (b *Buckets) SetBurst(retries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst, b.burstSet = retries, true
	b.applyAll()
}

func (b *Buckets) applyAll() {
	b.byService.Range(func(_, bucket any) bool {
		b.apply(bucket.(*Bucket))
		return true
	})
}

func (b *Buckets) apply(bucket *Bucket) {
	bucket.SetShare(b.share)
	if b.burstSet {
		bucket.SetBurst(b.burst)
	}
}
