package tally

import (
	"math"
	"math/rand/v2"
	"time"

	"curranthold.example/curranthold/internal/quota"
)

// account is a host's local state of one client account. It is not safe for
// concurrent use.
type account struct {
	name  string
	limit quota.Limit
	// level is the estimated number of tokens left at the time updated.
	level   float64
	updated time.Time
	// othersRate is the rate at which other hosts spend and refillRate the rate at
	// which the bucket is refilled, according to the home's last answer.
	othersRate, refillRate float64
	// hosts is the number of live hosts at the home's last answer, 1 before the
	// first.
	hosts int
	// total counts the tokens spent by this host, and acknowledged those of them that a
	// home has acknowledged in an answer, or that this host spent of its fixed share.
	total, acknowledged uint64
	// lastReport is when the last report was sent, lastAnswer when a home last
	// answered one.
	lastReport, lastAnswer time.Time
	// home is the host that gave that answer, "" before the first, homeIncarnation that
	// of its process, and homeLevel the number of tokens left that it stated.
	home            string
	homeIncarnation uint64
	homeLevel       float64
	// nextRetry is the latest retry time given to a refused request.
	nextRetry time.Time
	// asking is set while the home is asked for a token. nextAsk is the earliest time
	// at which it may be asked again.
	asking  bool
	nextAsk time.Time
	// refusedSinceReport is set if a request was refused since the last report.
	refusedSinceReport bool
	// spendRate measures how fast this host spends tokens.
	spendRate rateMeter
}

func newAccount(name string, limit quota.Limit, now time.Time) *account {
	return &account{
		name: name, limit: limit, refillRate: limit.Rate, hosts: 1, level: capacity(limit) / startLevelDivisor,
		updated: now, lastAnswer: now,
	}
}

func (a *account) setLimit(limit quota.Limit) {
	if a.limit.Rate > 0 {
		a.refillRate *= limit.Rate / a.limit.Rate
	} else {
		a.refillRate = limit.Rate
	}
	a.limit = limit
	a.level = min(a.level, capacity(limit))
	a.homeLevel = min(a.homeLevel, capacity(limit))
}

// spending returns the account's part of a report.
func (a *account) spending(now time.Time) Spending {
	return Spending{
		Account: a.name, Total: a.total, Unreported: a.total - a.acknowledged, Level: a.level,
		Home: a.home, HomeIncarnation: a.homeIncarnation, HomeLevel: a.homeLevel, HomeAge: now.Sub(a.lastAnswer),
	}
}

// advance updates the estimate to the time now. If no home has answered for
// isolationTimeout and this host has unreported tokens or refused a request, the
// estimate grows at the host's even share of the account's rate, or at its recent spend
// rate if that is higher, up to half of the rate. If the share is fixed, it grows at the
// even share only.
func (a *account) advance(now time.Time, s share) {
	elapsed := now.Sub(a.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	a.updated = now
	growthRate := a.growthRate(now)
	evenShare := a.limit.Rate * s.even
	switch {
	case s.fixed:
		growthRate = evenShare
	case now.Sub(a.lastAnswer) > isolationTimeout && (a.refusedSinceReport || a.total != a.acknowledged):
		growthRate = max(evenShare, min(a.spendRate.rate(now), a.limit.Rate/2))
	}
	a.level = min(a.level+growthRate*elapsed, capacity(a.limit))
}

// growthRate returns the rate at which the estimate grows: the refill rate less what
// other hosts spend. While the level is low, only this host's share of the unused part
// of the rate is added to its own spend rate.
func (a *account) growthRate(now time.Time) float64 {
	available := a.refillRate - a.othersRate
	ownRate := a.spendRate.rate(now)
	unused := available - ownRate
	if unused <= 0 || a.level >= capacity(a.limit)/lowLevelDivisor {
		return available
	}
	return min(ownRate+a.weightedShare(unused, ownRate, a.othersRate), available)
}

// weightedShare returns this host's share of the tokens, in proportion to its part of
// the spend rate of all hosts, multiplied by overcommit.
func (a *account) weightedShare(tokens, ownRate, othersRate float64) float64 {
	return overcommit * tokens * (ownRate + 1) / (ownRate + othersRate + float64(a.hosts))
}

// spend takes a token and reports whether one was available.
func (a *account) spend(now time.Time, s share) bool {
	if a.limit.Rate <= 0 {
		return true
	}
	a.advance(now, s)
	if a.level < 1 {
		a.refusedSinceReport = true
		return false
	}
	a.level--
	a.total++
	a.spendRate.add(1, now)
	if s.fixed {
		a.acknowledged++
	}
	return true
}

// retryAfter returns the time after which to retry a refused request. The retries of
// refused requests are spread out over time, at demandSkew times this host's even share
// of the rate.
func (a *account) retryAfter(now time.Time, s share) time.Duration {
	if earliest := now.Add(refillTime(max(1-a.level, 0), a.limit.Rate)); a.nextRetry.Before(earliest) {
		a.nextRetry = earliest
	}
	a.nextRetry = a.nextRetry.Add(refillTime(1, a.limit.Rate*min(s.even*demandSkew, 1)))
	return min(a.nextRetry.Sub(now), maxRetryAfter)
}

// refillTime returns how long it takes to refill the given number of tokens, at rate
// tokens a second.
func refillTime(tokens, rate float64) time.Duration {
	return time.Duration(tokens / max(rate, minRate) * float64(time.Second))
}

// reportDue reports whether to send a report to the home: because of unreported tokens,
// because a request was refused and the home may have more tokens, or because this host
// is not idle yet and must not appear silent. Hosts is the number of hosts, each of
// which may have as many unreported tokens as this one.
func (a *account) reportDue(now time.Time, hosts int) bool {
	unreported := float64(a.total - a.acknowledged)
	if a.refusedSinceReport {
		return true
	}
	if unreported == 0 {
		return now.Sub(a.lastReport) >= keepAliveInterval && !a.idle(now, hosts)
	}
	return now.Sub(a.lastReport) >= maxReportInterval ||
		a.level < capacity(a.limit)/lowLevelDivisor ||
		unreported*float64(max(hosts, 1)) >= a.limit.Rate*reportLag.Seconds()
}

// idle reports whether this host's spend rate is so low that its home reserves nothing
// for it when it stops reporting. The home measures a higher rate, since it learns of
// spent tokens later; see homeRateExcess.
func (a *account) idle(now time.Time, hosts int) bool {
	return a.spendRate.rate(now) <= a.limit.Rate/float64(max(hosts, 1))/idleDivisor/homeRateExcess
}

// applyState applies the answer of a home and its incarnation to a report in which this host stated that it
// had spent total tokens. Hosts is the number of live hosts.
func (a *account) applyState(now time.Time, home string, incarnation, total uint64, s State, hosts int) {
	a.home, a.homeIncarnation, a.homeLevel = home, incarnation, s.Level
	a.hosts = max(hosts, 1)
	a.lastAnswer = now
	a.acknowledged = max(a.acknowledged, total)
	a.othersRate, a.refillRate = s.Others, s.Refill
	a.level = min(a.usableLevel(s, now)-float64(a.total-total), capacity(a.limit))
	a.updated = now
}

// applyGrant counts tokens that the home granted as spent and reported, and reports
// whether there are any.
func (a *account) applyGrant(now time.Time, granted uint64) bool {
	if granted == 0 {
		return false
	}
	a.total += granted
	a.acknowledged += granted
	a.spendRate.add(float64(granted), now)
	a.refusedSinceReport = false
	return true
}

// usableLevel returns how much of the level stated by the home this host may spend. If
// the bucket is nearly empty, that is the host's weighted share, so that many hosts do
// not spend the same tokens. Fractions are rounded up or down at random.
func (a *account) usableLevel(s State, now time.Time) float64 {
	if s.Level <= 0 || s.Level >= capacity(a.limit)/lowLevelDivisor || a.hosts == 1 {
		return s.Level
	}
	usableLevel := a.weightedShare(s.Level, a.spendRate.rate(now), s.Others)
	whole := math.Floor(usableLevel)
	if rand.Float64() < usableLevel-whole {
		whole++
	}
	return min(whole, s.Level)
}
