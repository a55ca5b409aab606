package quota

import (
	"sync"
	"time"
)

const (
	// demandSampleWeight is the weight of the latest sample in the moving average
	// of demand.
	demandSampleWeight = 0.3
	// prefetchIntervals is how many prefetch intervals of expected demand a host
	// keeps borrowed.
	prefetchIntervals = 2
	// idleDemandRate is the demand, in requests a second, below which it counts
	// as 0.
	idleDemandRate = 0.01
	// minPrefetchTokens is the smallest expected demand, in tokens, for which a
	// host prefetches.
	minPrefetchTokens = 4
	// handoverWindow is how long the home may take to receive a delegation and
	// start to add tokens at the delegated rate.
	handoverWindow = 100 * time.Millisecond
)

// homeState is what a host knows about an account's home.
type homeState uint8

const (
	// homeDelegated is a home that has a live delegation.
	homeDelegated homeState = iota
	// homeIdle is a home that answers and has no live delegation.
	homeIdle
	// homeUnreachable is a home that did not answer the last request.
	homeUnreachable
)

// account holds what this host may spend of one client account: the loans that
// it borrowed, and its own bucket, which it refills while its fraction isn't
// delegated.
type account struct {
	name      string
	partition int

	mu    sync.Mutex
	limit Limit
	// refilling is set while the host refills its own bucket.
	refilling bool
	fraction  float64
	ownBucket bucket
	heldLoans []heldLoan
	// arrivals counts the requests since the last demand sample.
	arrivals int
	demand   float64
	// lastLender is the home that lent most recently.
	lastLender homeID
	// emptyUntil is when the host may ask the home for tokens again.
	emptyUntil time.Time
	// homeState is derived from the home's last answer, or from its failure to
	// answer.
	homeState homeState
	// handoverStart is when the host stopped refilling its own bucket to
	// delegate its fraction.
	handoverStart time.Time
	waiting       int
	pendingBorrow *pendingBorrow
	// lastTakenLoan is the ID of the loan that the last token came from; 0 for a
	// token of the host's own bucket.
	lastTakenLoan uint64
}

// heldLoan is a loan as its borrower records it.
type heldLoan struct {
	id        uint64
	home      homeID
	expiresAt time.Time
	remaining int
	spent     int
	// reported is the value of spent that was last sent to the home.
	reported int
	prefetch bool
}

// homeID identifies one incarnation of a home.
type homeID struct {
	host        string
	incarnation uint64
}

// pendingBorrow is a request for tokens that has not been answered yet. Callers
// that need a token wait for done.
type pendingBorrow struct {
	done      chan struct{}
	failed    bool
	delegated bool
}

// take counts a request and spends one token. The host's own bucket is used only
// before usableUntil; after that it is emptied.
func (a *account) take(now, usableUntil time.Time) bool {
	a.arrivals++
	return a.takeWithoutCounting(now, usableUntil)
}

// takeWithoutCounting is like take but does not count the request, which take has
// already counted.
func (a *account) takeWithoutCounting(now, usableUntil time.Time) bool {
	for i := range a.heldLoans {
		l := &a.heldLoans[i]
		if l.remaining > 0 && now.Before(l.expiresAt) {
			l.remaining--
			l.spent++
			a.lastTakenLoan = l.id
			return true
		}
	}
	return a.takeOwn(now, usableUntil)
}

func (a *account) takeOwn(now, usableUntil time.Time) bool {
	a.lastTakenLoan = 0
	if !a.refilling {
		return false
	}
	if !now.Before(usableUntil) {
		a.ownBucket.reset(now)
		return false
	}
	a.advance(now)
	return a.ownBucket.take()
}

// advance refills the host's own bucket for the time until now.
func (a *account) advance(now time.Time) {
	if !a.refilling {
		return
	}
	a.ownBucket.advance(now, a.fraction*a.limit.Rate, a.fraction*a.limit.Burst)
}

// returnToken returns an unused token to the loan that it was taken from. It does
// nothing if the token may have been reported to the home as spent.
func (a *account) returnToken(now time.Time, id uint64) {
	for i := range a.heldLoans {
		l := &a.heldLoans[i]
		if l.id == id && l.spent > l.reported && now.Before(l.expiresAt) {
			l.remaining++
			l.spent--
			return
		}
	}
}

// setLimit changes the limit. The bucket is first refilled until now at the old
// rate.
func (a *account) setLimit(now time.Time, limit Limit) {
	a.advance(now)
	a.limit = limit
	a.advance(now)
}

// startRefilling starts to refill the host's own bucket at the fraction of the
// account's rate. The bucket starts empty.
func (a *account) startRefilling(now time.Time, fraction float64) {
	a.refilling = true
	a.fraction = fraction
	a.ownBucket.reset(now)
}

// updateFraction changes the fraction. The bucket is first refilled until now at
// the old rate.
func (a *account) updateFraction(now time.Time, fraction float64) {
	a.advance(now)
	a.fraction = fraction
	a.advance(now)
}

// stopRefilling stops the refill and empties the host's own bucket. It returns the
// tokens that were left, which the home receives with the delegation.
func (a *account) stopRefilling(now, usableUntil time.Time) float64 {
	if !a.refilling {
		return 0
	}
	a.refilling = false
	a.handoverStart = now
	a.advance(now)
	tokens := a.ownBucket.tokens
	a.ownBucket.reset(now)
	if !now.Before(usableUntil) {
		return 0
	}
	return tokens
}

// inHandover reports whether the delegation of the host's fraction may not have
// reached the home yet.
func (a *account) inHandover(now time.Time) bool {
	return !a.handoverStart.IsZero() && now.Sub(a.handoverStart) < handoverWindow
}

// joinBorrow returns the pending request for tokens, or starts one.
func (a *account) joinBorrow() (b *pendingBorrow, started bool) {
	if a.pendingBorrow != nil {
		return a.pendingBorrow, false
	}
	a.pendingBorrow = &pendingBorrow{done: make(chan struct{})}
	return a.pendingBorrow, true
}

// prepareBorrow builds a request for need tokens plus those expected to be needed
// soon, with the loan reports for the home. Tokens that would expire unused are
// removed and returned to the home.
func (a *account) prepareBorrow(now time.Time, home homeID, need int, timing Timing) (BorrowItem, bool) {
	item := BorrowItem{Account: a.name, Need: need}
	held := 0
	kept := a.heldLoans[:0]
	for _, l := range a.heldLoans {
		if !now.Before(l.expiresAt) {
			continue
		}
		item.Reports = append(item.Reports, l.report(now, home, a.demand, timing)...)
		held += l.remaining
		if l.remaining > 0 || l.spent > l.reported {
			kept = append(kept, l)
		}
	}
	a.heldLoans = kept
	expected := a.demand * prefetchIntervals * timing.PrefetchInterval.Seconds()
	if expected >= minPrefetchTokens {
		item.Prefetch = max(0, int(expected)-held)
	}
	return item, need > 0 || item.Prefetch > 0 || len(item.Reports) > 0
}

// report returns what the home must learn about the loan, if anything. The home
// learns only from these reports what was spent. Spent is a running total, so a
// report may be sent more than once. Tokens of a prefetched loan that would
// expire unused are removed before they are reported as returned.
func (l *heldLoan) report(now time.Time, home homeID, demand float64, timing Timing) []LoanReport {
	if l.home != home {
		return nil
	}
	timeLeft := l.expiresAt.Sub(now)
	returning := l.prefetch && timeLeft < 2*timing.PrefetchInterval && float64(l.remaining) > demand*timeLeft.Seconds()
	if !returning && l.spent == l.reported {
		return nil
	}
	l.reported = l.spent
	if returning {
		l.remaining = 0
	}
	return []LoanReport{{Loan: l.id, Spent: l.spent, Returned: returning}}
}

// returnAll removes all borrowed tokens and returns the reports that give them
// back to the home; loans from other homes are dropped.
func (a *account) returnAll(home homeID) []LoanReport {
	var reports []LoanReport
	for _, l := range a.heldLoans {
		if l.home == home {
			reports = append(reports, LoanReport{Loan: l.id, Spent: l.spent, Returned: true})
		}
	}
	a.heldLoans = nil
	return reports
}

// updateDemand updates the moving average of demand; elapsed is the time since
// the last sample.
func (a *account) updateDemand(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	rate := float64(a.arrivals) / elapsed.Seconds()
	a.demand += demandSampleWeight * (rate - a.demand)
	a.arrivals = 0
}

// applyBorrowResult stores the loans that the home made, and the state of the
// home. A loan's life starts when the request was sent.
func (a *account) applyBorrowResult(now, sent time.Time, home homeID, result *BorrowResult) {
	for _, l := range result.Loans {
		expiresAt := sent.Add(subtractDriftMargin(l.Life))
		if !now.Before(expiresAt) {
			continue
		}
		a.heldLoans = append(a.heldLoans, heldLoan{
			id:        l.ID,
			home:      home,
			expiresAt: expiresAt,
			remaining: l.Count,
			prefetch:  l.Prefetch,
		})
	}
	if len(result.Loans) > 0 {
		a.lastLender = home
	}
	a.homeState = homeDelegated
	if !result.Minting {
		a.homeState = homeIdle
	}
	if result.Empty > 0 && (result.Minting || !a.inHandover(now)) {
		a.emptyUntil = sent.Add(result.Empty)
	}
}

// homeIDFor returns the last lender if it was the given host, and otherwise the
// host with incarnation 0.
func (a *account) homeIDFor(host string) homeID {
	if a.lastLender.host == host {
		return a.lastLender
	}
	return homeID{host: host}
}

// sampleDemand updates the demand and prepares the periodic request to the home;
// due reports whether there is anything to send.
func (a *account) sampleDemand(now time.Time, elapsed time.Duration, host string, timing Timing) (home homeID, item BorrowItem, due bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.arrivals == 0 && a.demand < idleDemandRate && len(a.heldLoans) == 0 {
		a.demand = 0
		return homeID{}, BorrowItem{}, false
	}
	home = a.homeIDFor(host)
	a.updateDemand(elapsed)
	item, due = a.prepareBorrow(now, home, 0, timing)
	return home, item, due
}

// clear removes all tokens of an account that has been deleted from the
// configuration.
func (a *account) clear(now time.Time) {
	a.limit = Limit{}
	a.refilling = false
	a.heldLoans = nil
	a.ownBucket.reset(now)
}

// finishBorrow ends the pending request and wakes its waiters.
func (a *account) finishBorrow(failed, delegated bool) {
	if a.pendingBorrow == nil {
		return
	}
	a.pendingBorrow.failed = failed
	a.pendingBorrow.delegated = delegated
	close(a.pendingBorrow.done)
	a.pendingBorrow = nil
}
