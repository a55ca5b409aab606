package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// prefetchDivisor limits a prefetch to this part of a bucket, so that tokens
	// are left for other borrowers.
	prefetchDivisor = 4
	// maxEmptyDuration bounds how long a borrower waits before it again asks
	// a home that has no tokens.
	maxEmptyDuration = 20 * time.Millisecond
)

// home is the part of a Manager that refills the accounts' buckets at the rates
// delegated to this host, and lends the tokens. The tokens that it holds and has
// lent never exceed its live delegations' share of each burst.
type home struct {
	incarnation uint64
	start       time.Time
	timing      Timing
	accounts    map[string]*homeAccount
	partitions  [partitionCount]homePartition
	delegators  map[string]*delegator
	lastLoanID  uint64
	nextCleanup time.Time
}

type homeAccount struct {
	limit  Limit
	bucket bucket
	loans  loanSet
}

// homePartition sums the fractions of the live delegations.
type homePartition struct {
	fraction float64
	// nextExpiry is no later than the first expiry of a delegation.
	nextExpiry time.Time
	accounts   map[string]*homeAccount
}

// delegator is the home's record of a host that has delegated.
type delegator struct {
	incarnation uint64
	sequence    uint64
	appliedAt   time.Time
	fraction    [partitionCount]float64
	expiresAt   [partitionCount]time.Time
	// live is the set of partitions whose fraction the home counts. retained also
	// has those whose fraction may still be needed to cover loans.
	live     partitionMask
	retained partitionMask
}

func newHome(incarnation uint64, start time.Time, timing Timing) *home {
	return &home{
		incarnation: incarnation,
		start:       start,
		timing:      timing,
		accounts:    make(map[string]*homeAccount),
		delegators:  make(map[string]*delegator),
	}
}

// setAccounts replaces the limits. Tokens above a smaller burst are dropped; a
// larger burst fills at the account's rate.
func (h *home) setAccounts(now time.Time, limits map[string]Limit) {
	for p := range h.partitions {
		h.advancePartition(now, p)
	}
	for name, acc := range h.accounts {
		if _, ok := limits[name]; ok {
			continue
		}
		acc.limit = Limit{}
		part := &h.partitions[partitionOf(name)]
		h.advanceAccount(now, part, acc)
		if acc.loans.outstanding == 0 {
			delete(h.accounts, name)
			delete(part.accounts, name)
		}
	}
	for name, limit := range limits {
		acc := h.accounts[name]
		if acc == nil {
			acc = &homeAccount{}
			h.addAccount(name, acc)
		}
		acc.limit = limit
		h.advanceAccount(now, &h.partitions[partitionOf(name)], acc)
	}
}

func (h *home) addAccount(name string, acc *homeAccount) {
	h.accounts[name] = acc
	part := &h.partitions[partitionOf(name)]
	if part.accounts == nil {
		part.accounts = make(map[string]*homeAccount)
	}
	part.accounts[name] = acc
}

// advancePartition removes the expired delegations of a partition, and refills
// the buckets of its accounts for the time until now.
func (h *home) advancePartition(now time.Time, p int) {
	h.expireDelegations(now, p)
	part := &h.partitions[p]
	for _, acc := range part.accounts {
		h.advanceAccount(now, part, acc)
	}
}

// advanceAccount refills the account's bucket for the time until now. A loan
// reduces the size of the bucket until the loan ends.
func (h *home) advanceAccount(now time.Time, part *homePartition, acc *homeAccount) {
	rate, burst := part.fraction*acc.limit.Rate, part.fraction*acc.limit.Burst
	for {
		expiry, ok := acc.loans.nextExpiry()
		if !ok || now.Before(expiry) {
			break
		}
		acc.bucket.advance(expiry, rate, burst-float64(acc.loans.outstanding))
		acc.loans.expire(expiry)
	}
	acc.bucket.advance(now, rate, burst-float64(acc.loans.outstanding))
}

// expireDelegations removes the delegations of a partition that have expired by
// now. All buckets of the partition are limited to the new size before another
// delegation can start.
func (h *home) expireDelegations(now time.Time, p int) {
	part := &h.partitions[p]
	if part.fraction == 0 || now.Before(part.nextExpiry) {
		return
	}
	before := part.fraction
	h.sumFractions(now, p)
	if part.fraction == before {
		return
	}
	for _, acc := range part.accounts {
		h.advanceAccount(now, part, acc)
	}
}

// sumFractions adds up the live fractions of a partition. The order of the hosts
// is fixed, so that rounding doesn't vary.
func (h *home) sumFractions(now time.Time, p int) {
	part := &h.partitions[p]
	part.fraction = 0
	part.nextExpiry = time.Time{}
	for _, id := range slices.Sorted(maps.Keys(h.delegators)) {
		d := h.delegators[id]
		if !d.live.has(p) {
			continue
		}
		if !now.Before(d.expiresAt[p]) {
			d.live = d.live.without(p)
			continue
		}
		part.fraction += d.fraction[p]
		if part.nextExpiry.IsZero() || d.expiresAt[p].Before(part.nextExpiry) {
			part.nextExpiry = d.expiresAt[p]
		}
	}
	part.fraction = min(part.fraction, 1)
}

// delegate applies a delegation message if the home accepts it, and returns the
// answer.
func (h *home) delegate(now time.Time, args *DelegateArgs) DelegateReply {
	h.dropStaleDelegators(now)
	d := h.delegators[args.Host]
	if h.accepts(now, d, args) {
		if d == nil {
			d = &delegator{}
			h.delegators[args.Host] = d
		}
		h.apply(now, d, args)
	}
	reply := DelegateReply{HomeIncarnation: h.incarnation, Stamp: now.Sub(h.start)}
	if d != nil && d.incarnation == args.Incarnation {
		reply.Sequence = d.sequence
		reply.Partitions = uint16(h.retainedPartitions(now, d))
	}
	return reply
}

// accepts reports whether a delegation message may be applied: it is for this
// incarnation of the home, its lease has not expired, and it is newer than the
// last one that was applied.
func (h *home) accepts(now time.Time, d *delegator, args *DelegateArgs) bool {
	if args.HomeIncarnation != h.incarnation || !(args.Fraction >= 0 && args.Fraction <= 1) {
		return false
	}
	if !now.Before(h.start.Add(args.Stamp + h.timing.Lease)) {
		return false
	}
	if d == nil || args.Incarnation > d.incarnation {
		return true
	}
	return args.Incarnation == d.incarnation && args.Sequence > d.sequence
}

// apply replaces the delegator's partitions by those of the message.
func (h *home) apply(now time.Time, d *delegator, args *DelegateArgs) {
	d.incarnation, d.sequence, d.appliedAt = args.Incarnation, args.Sequence, now
	mask := partitionMask(args.Partitions)
	// A loan must not outlive the delegation that covers it, so the home's copy
	// of the delegation expires earlier than the delegating host's by the life of
	// a loan.
	expiresAt := h.start.Add(args.Stamp + h.timing.Lease - h.timing.PrefetchLoanLife)
	for p := range h.partitions {
		h.expireDelegations(now, p)
		switch {
		case mask.has(p) && now.Before(expiresAt):
			h.startOrExtend(now, d, p, expiresAt, args)
		case d.retained.has(p) && h.canEndDelegation(now, d, p):
			h.endDelegation(now, d, p)
		}
	}
}

// startOrExtend starts or extends a delegation. The tokens in the message are
// added only when it starts.
func (h *home) startOrExtend(now time.Time, d *delegator, p int, expiresAt time.Time, args *DelegateArgs) {
	live := d.live.has(p)
	if live && d.fraction[p] == args.Fraction {
		d.expiresAt[p] = later(d.expiresAt[p], expiresAt)
		return
	}
	h.advancePartition(now, p)
	if live {
		h.removeFraction(d, p)
	}
	part := &h.partitions[p]
	if part.fraction == 0 || expiresAt.Before(part.nextExpiry) {
		part.nextExpiry = expiresAt
	}
	part.fraction = min(1, part.fraction+args.Fraction)
	d.live = d.live.with(p)
	d.retained = d.retained.with(p)
	d.fraction[p] = args.Fraction
	d.expiresAt[p] = expiresAt
	if !live {
		h.addTokens(p, args.Tokens)
	}
	h.advancePartition(now, p)
}

// addTokens adds the tokens that a host held when its delegation began.
func (h *home) addTokens(p int, tokens map[string]float64) {
	for name, count := range tokens {
		if acc := h.partitions[p].accounts[name]; acc != nil && count > 0 {
			acc.bucket.tokens += count
		}
	}
}

// canEndDelegation reports whether the outstanding loans fit into the burst that
// remains without the delegation.
func (h *home) canEndDelegation(now time.Time, d *delegator, p int) bool {
	h.advancePartition(now, p)
	part := &h.partitions[p]
	remaining := part.fraction
	if d.live.has(p) {
		remaining -= d.fraction[p]
	}
	for _, acc := range part.accounts {
		if acc.loans.outstanding > 0 && float64(acc.loans.outstanding) > remaining*acc.limit.Burst {
			return false
		}
	}
	return true
}

// endDelegation ends a delegation before it expires.
func (h *home) endDelegation(now time.Time, d *delegator, p int) {
	if d.live.has(p) {
		h.removeFraction(d, p)
	}
	d.retained = d.retained.without(p)
	h.advancePartition(now, p)
}

// removeFraction subtracts a delegator's fraction from the sum.
func (h *home) removeFraction(d *delegator, p int) {
	part := &h.partitions[p]
	part.fraction = max(0, part.fraction-d.fraction[p])
	d.live = d.live.without(p)
}

// retainedPartitions returns the partitions whose loans may still depend on the
// delegator's fraction.
func (h *home) retainedPartitions(now time.Time, d *delegator) partitionMask {
	for p := range d.expiresAt {
		if !now.Before(d.expiresAt[p].Add(h.timing.PrefetchLoanLife)) {
			d.retained = d.retained.without(p)
		}
	}
	return d.retained
}

// dropStaleDelegators removes delegators whose earlier messages can no longer be
// accepted.
func (h *home) dropStaleDelegators(now time.Time) {
	if now.Before(h.nextCleanup) {
		return
	}
	h.nextCleanup = now.Add(h.timing.Lease)
	for id, d := range h.delegators {
		if now.Sub(d.appliedAt) > 2*h.timing.Lease {
			delete(h.delegators, id)
		}
	}
}

// borrow applies a borrower's loan reports and lends it tokens.
func (h *home) borrow(now time.Time, args *BorrowArgs) BorrowReply {
	reply := BorrowReply{
		HomeIncarnation: h.incarnation,
		Results:         make([]BorrowResult, len(args.Items)),
	}
	for i := range args.Items {
		item := &args.Items[i]
		acc := h.accounts[item.Account]
		if acc == nil {
			continue
		}
		p := partitionOf(item.Account)
		h.expireDelegations(now, p)
		h.advanceAccount(now, &h.partitions[p], acc)
		if args.HomeIncarnation == h.incarnation {
			acc.applyReports(item.Reports)
		}
		h.lend(now, &h.partitions[p], acc, item, &reply.Results[i])
	}
	return reply
}

// applyReports records reported spending, and puts returned tokens back into the
// bucket.
func (a *homeAccount) applyReports(reports []LoanReport) {
	for _, r := range reports {
		a.loans.report(r.Loan, r.Spent)
		if r.Returned {
			a.bucket.tokens += float64(a.loans.remove(r.Loan))
		}
	}
}

func (h *home) lend(now time.Time, part *homePartition, acc *homeAccount, item *BorrowItem, result *BorrowResult) {
	result.Minting = part.fraction > 0
	available := max(0, acc.bucket.wholeTokens())
	need := min(max(item.Need, 0), available)
	if need > 0 {
		result.Loans = append(result.Loans, h.loan(now, acc, demandLoan, need))
	}
	prefetched := min(max(item.Prefetch, 0), (available-need)/prefetchDivisor)
	if prefetched > 0 {
		result.Loans = append(result.Loans, h.loan(now, acc, prefetchLoan, prefetched))
	}
	if need < item.Need {
		result.Empty = emptyDuration(acc, part.fraction)
	}
}

func (h *home) loan(now time.Time, acc *homeAccount, kind, count int) Loan {
	h.lastLoanID++
	life := h.timing.PrefetchLoanLife
	if kind == demandLoan {
		life = h.timing.DemandLife
	}
	acc.bucket.tokens -= float64(count)
	acc.loans.add(kind, &loan{id: h.lastLoanID, count: count, expiresAt: now.Add(life)})
	return Loan{ID: h.lastLoanID, Count: count, Life: life, Prefetch: kind == prefetchLoan}
}

// emptyDuration returns the time until the account has a whole token again if no
// loan is returned, up to maxEmptyDuration.
func emptyDuration(acc *homeAccount, fraction float64) time.Duration {
	rate := fraction * acc.limit.Rate
	if rate <= 0 {
		return maxEmptyDuration
	}
	missing := (1 - acc.bucket.tokens) / rate
	return min(maxEmptyDuration, time.Duration(missing*float64(time.Second)))
}
