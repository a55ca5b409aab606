package tally

import "time"

// takeover describes how a host began to act as the home of a client account. The zero
// value is a home that has always been the home.
type takeover struct {
	at time.Time
	// level is the number of tokens with which the home began. It is uncertain while
	// no host has reported that had an answer from another home.
	level     float64
	uncertain bool
	// deducted is the number of tokens deducted since.
	deducted float64
	// elsewhere is the number of tokens that the home before is known to have given
	// out since. While hosts move from one home to the next, both refill their buckets.
	elsewhere float64
}

// adopt corrects the level by what a host reports of the home to which it reported
// before, since this process does not know what was spent there. FromHere is set if it
// was that home itself. It returns true if this process begins to act as the home.
func (b *bucket) adopt(now time.Time, fromHere bool, s Spending) (taken bool) {
	switch {
	case b.lastReport.IsZero() || !fromHere && b.silent(now):
		b.takeOver(now, s)
		return true
	case s.Home == "":
	case b.takeover.uncertain:
		b.settle(now, s)
	case fromHere:
	case now.Sub(b.takeover.at) <= handoverTime:
		b.deductElsewhere(now, s)
	default:
		b.level = min(b.level, b.levelElsewhere(now, s, now))
	}
	return false
}

// takeOver starts from the level that the first reporting host knows.
func (b *bucket) takeOver(now time.Time, s Spending) {
	level := s.Level + float64(s.Unreported)
	if s.Home != "" {
		level = b.levelElsewhere(now, s, now)
	}
	b.level = min(b.level, level)
	b.takeover = takeover{at: now, level: b.level, uncertain: s.Home == ""}
}

// settle replaces the level with which this home began uncertainly.
func (b *bucket) settle(now time.Time, s Spending) {
	t := &b.takeover
	t.uncertain = false
	t.level = b.levelElsewhere(now, s, t.at)
	b.level = b.refilledSince(now) - t.deducted
}

// deductElsewhere deducts the tokens that the home before gave out since this one began.
func (b *bucket) deductElsewhere(now time.Time, s Spending) {
	at := later(now.Add(-s.HomeAge), b.takeover.at)
	spent := b.refilledSince(at) - b.levelElsewhere(now, s, at)
	if spent > b.takeover.elsewhere {
		b.level -= spent - b.takeover.elsewhere
		b.takeover.elsewhere = spent
	}
}

// refilledSince returns the level at the time at if nothing had been spent since this
// home began.
func (b *bucket) refilledSince(at time.Time) float64 {
	return b.refilled(b.takeover.level, at.Sub(b.takeover.at))
}

// levelElsewhere returns the level that the home before stated, refilled until the time
// at, which may be before the statement.
func (b *bucket) levelElsewhere(now time.Time, s Spending, at time.Time) float64 {
	return b.refilled(s.HomeLevel, at.Sub(now.Add(-s.HomeAge)))
}

// refilled returns a level after it was refilled at the full rate for a time.
func (b *bucket) refilled(level float64, elapsed time.Duration) float64 {
	return min(level+b.limit.Rate*max(elapsed.Seconds(), 0), capacity(b.limit))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
