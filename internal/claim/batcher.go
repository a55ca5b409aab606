package claim

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"curranthold.example/curranthold/internal/platform"
)

const (
	// maxQueue limits the operations that wait for a transaction.
	maxQueue = 1024
	// maxFlushers limits the flush goroutines, and with them the transactions in
	// flight.
	maxFlushers = 4
	// maxBatchAttempts limits the transactions attempted for one batch.
	maxBatchAttempts = 8
	// After a batch fails to commit, or finds operations that existing rows decide,
	// the next readFirstBatches batches read their rows before their first
	// transaction.
	readFirstBatches = 16
	// tableTimeout limits one request to the table.
	tableTimeout = time.Second
)

var (
	// errBatcherClosed means that the batcher accepts no more operations.
	errBatcherClosed = errors.New("claim: closed")
	// errUndelivered means that the end of a claim could not be written to the
	// table.
	errUndelivered = errors.New("claim: the table did not take the end of the claim")
)

// batcher writes claims and their ends to the table, many in one transaction.
//
// The first transaction of a batch assumes that the requests have no rows yet. If
// recent batches found rows, the batch reads the rows first instead. When a
// transaction fails or its outcome is unknown, the batcher reads the rows, settles
// the operations that the rows decide, and commits the others again; so a conflict
// fails only the operation that it concerns. Every attempt for a claim writes the
// same claim ID, so that a write that was applied although its response was lost is
// recognised.
type batcher struct {
	config  Config
	ctx     context.Context
	limiter *rate.Limiter
	// readFirst is the number of batches still to come that read their rows first.
	readFirst atomic.Int32
	// batchFull tells a collecting flusher that BatchSize operations are queued.
	batchFull chan struct{}

	mu    sync.Mutex
	queue queue
	// flushers is the number of running flush goroutines. collecting is how many
	// of them still wait for their batch to fill.
	flushers, collecting int
	closed               bool
	workers              conc.WaitGroup
}

func newBatcher(ctx context.Context, config Config) *batcher {
	burst := max(1, int(config.MaxTransactionRate))
	return &batcher{
		config:    config,
		ctx:       ctx,
		limiter:   rate.NewLimiter(rate.Limit(config.MaxTransactionRate), burst),
		batchFull: make(chan struct{}, 1),
	}
}

// claim writes a claim and returns the result.
func (b *batcher) claim(ctx context.Context, request hashedRequest, id ID) result {
	return b.do(&operation{ctx: ctx, hashedRequest: request, id: id})
}

// finish writes the end of a claim. A nil error means that the end was written,
// or that the rows show that the claim is no longer held.
func (b *batcher) finish(ctx context.Context, request hashedRequest, id ID, e claimEnd, at rowRef) error {
	res := b.do(&operation{ctx: ctx, hashedRequest: request, id: id, end: &e, rowRef: at})
	if res.outcome == Unavailable {
		return errUndelivered
	}
	return nil
}

// do queues the operation and waits for its result, at most until its context
// ends.
func (b *batcher) do(o *operation) result {
	o.result = make(chan result, 1)
	if err := b.submit(o); err != nil {
		return result{}
	}
	select {
	case res := <-o.result:
		return res
	case <-o.ctx.Done():
		return result{unknown: !b.withdraw(o)}
	case <-b.ctx.Done():
		return result{unknown: true}
	}
}

func (b *batcher) submit(o *operation) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return errBatcherClosed
	}
	if dropped := b.queue.push(o); dropped != nil {
		dropped.settle(result{outcome: Unavailable})
	}
	if b.queue.length >= b.config.BatchSize {
		b.wakeCollector()
	}
	if b.collecting == 0 && b.flushers < maxFlushers {
		b.flushers++
		b.collecting++
		b.workers.Go(b.flush)
	}
	return nil
}

func (b *batcher) wakeCollector() {
	select {
	case b.batchFull <- struct{}{}:
	default:
	}
}

// withdraw removes the operation from the queue and reports whether it was still
// queued.
func (b *batcher) withdraw(o *operation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.remove(o)
}

// flush writes batches until the queue is empty or another flusher is waiting for
// the next batch. The caller has already incremented flushers and collecting.
func (b *batcher) flush() {
	for {
		b.collect()
		batch := b.take()
		if len(batch) > 0 {
			b.process(batch)
		}
		if b.tryStop() {
			return
		}
	}
}

// collect waits until the batch is full or BatchWait has passed, and then until
// the transaction rate allows a transaction.
func (b *batcher) collect() {
	timer := time.NewTimer(b.config.BatchWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.batchFull:
	case <-b.ctx.Done():
	}
	_ = b.limiter.Wait(b.ctx) // If ctx has ended, the commit fails.
}

// take removes a batch from the queue. A batch holds at most one operation on each
// request. If operations remain, take starts another flusher.
func (b *batcher) take() []*operation {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.collecting--
	batch := b.queue.take(b.config.BatchSize)
	if b.queue.length > 0 && b.flushers < maxFlushers {
		b.flushers++
		b.collecting++
		b.workers.Go(b.flush)
	}
	return batch
}

// tryStop unregisters the flusher and returns true if the queue is empty or
// another flusher is collecting. Otherwise it registers this flusher as collecting
// and returns false.
func (b *batcher) tryStop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queue.length == 0 || b.collecting > 0 {
		b.flushers--
		return true
	}
	b.collecting++
	if b.queue.length >= b.config.BatchSize {
		b.wakeCollector()
	}
	return false
}

// process writes the batch and settles all its operations.
func (b *batcher) process(active []*operation) {
	period := periodAt(b.config.Now(), b.config.Retention)
	readFirst := b.readFirst.Load() > 0 && b.readFirst.Add(-1) >= 0
	for _, o := range active {
		o.prepare(period)
		o.readRows = o.readRows || readFirst
	}
	for attempt := 0; attempt < maxBatchAttempts && len(active) > 0; attempt++ {
		if attempt > 0 && b.limiter.Wait(b.ctx) != nil {
			break
		}
		if anyNeedsRead(active) {
			undecided, err := b.readRows(active)
			if err != nil {
				break
			}
			active = undecided
		}
		if len(active) == 0 || b.commit(active) {
			return
		}
	}
	for _, o := range active {
		o.settle(result{outcome: Unavailable})
	}
}

// commit attempts one transaction. It reports whether the transaction was
// committed and all operations are settled. Otherwise the operations are marked so
// that their rows are read before the next attempt.
func (b *batcher) commit(active []*operation) bool {
	var tx platform.Transaction
	for _, o := range active {
		tx.Conditions = append(tx.Conditions, o.conditions...)
		tx.Writes = append(tx.Writes, o.write)
	}
	ctx, cancel := context.WithTimeout(b.ctx, tableTimeout)
	defer cancel()
	err := b.config.Table.Commit(ctx, tx)
	countCommit(len(active), err)
	if err == nil {
		for _, o := range active {
			o.committed()
		}
		return true
	}
	b.readFirst.Store(readFirstBatches)
	notApplied := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable)
	for _, o := range active {
		o.readRows = true
		o.unknown = o.unknown || !notApplied
	}
	return false
}

// readRows reads the rows of the operations, settles the operations that the rows
// decide, and returns the others.
func (b *batcher) readRows(active []*operation) ([]*operation, error) {
	keys := make([]string, 0, len(active)*window)
	for _, o := range active {
		keys = windowKeys(keys, o.period, o.hash)
	}
	ctx, cancel := context.WithTimeout(b.ctx, tableTimeout)
	defer cancel()
	rows, err := b.config.Table.Get(ctx, keys...)
	metricTableReads.Add(1)
	if err != nil {
		return nil, err
	}
	undecided := make([]*operation, 0, len(active))
	for i, o := range active {
		if !o.decide(rows[i*window : (i+1)*window]) {
			undecided = append(undecided, o)
		}
	}
	if len(undecided) < len(active) {
		b.readFirst.Store(readFirstBatches)
	}
	return undecided, nil
}

func anyNeedsRead(active []*operation) bool {
	for _, o := range active {
		if o.readRows {
			return true
		}
	}
	return false
}

// close refuses new operations and waits for the flushers. The batcher's context
// must have ended.
func (b *batcher) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.workers.Wait()
}
