package tally

import (
	"math"
	"time"

	"curranthold.example/curranthold/internal/quota"
)

// ledger is a home's account of one client account. It is not safe for
// concurrent use.
type ledger struct {
	limit   quota.Limit
	level   float64
	updated time.Time
	// spent is what all hosts spend.
	spent flow
	hosts map[string]*spender
	// counted is when reporting and kept were counted: the hosts that report, and
	// the rate that is kept for those that spent and have fallen silent.
	counted   time.Time
	reporting int
	kept      float64
	// swept is when hosts that are long silent were last dropped.
	swept time.Time
}

// spender is one host that spends from a ledger.
type spender struct {
	incarnation uint64
	total       uint64
	spent       flow
	heard       time.Time
}

// flow measures a rate of tokens, with less weight the longer ago they were spent.
// The zero value is a rate of 0.
type flow struct {
	perSecond float64
	updated   time.Time
}

// add counts tokens that were spent until now.
func (f *flow) add(tokens float64, now time.Time) {
	f.perSecond = f.rate(now) + tokens/rateMemory.Seconds()
	f.updated = now
}

// rate returns the rate in tokens a second.
func (f *flow) rate(now time.Time) float64 {
	return f.perSecond * math.Exp(-float64(now.Sub(f.updated))/float64(rateMemory))
}

func newLedger(limit quota.Limit, level float64, now time.Time) *ledger {
	return &ledger{
		limit: limit, level: min(level, capacity(limit)), updated: now, swept: now, hosts: make(map[string]*spender),
	}
}

// hear takes in what a host has spent. Refill is the rate at which the bucket is
// filled. Its time does not grow with the number of hosts.
func (l *ledger) hear(now time.Time, host string, incarnation uint64, s Spending, refill float64) State {
	l.level = min(l.level+refill*now.Sub(l.updated).Seconds(), capacity(l.limit))
	l.updated = now
	l.sweep(now)
	from := l.spender(now, host, incarnation, s)
	if incarnation >= from.incarnation && s.Total >= from.total {
		// What another home has acknowledged meanwhile was taken from its bucket.
		spent := float64(min(s.Total-from.total, s.Unreported))
		from.total, from.heard = s.Total, now
		from.spent.add(spent, now)
		l.spent.add(spent, now)
		l.level -= spent
	}
	others := max(l.spent.rate(now)-from.spent.rate(now), 0)
	return State{Level: l.level, Others: others, Refill: refill}
}

// count counts the hosts that report, and what is kept for others: even for a host
// that has fallen silent, or what it spent last. Missing hosts are those that are
// known to be gone, for which their home keeps a part as well.
func (l *ledger) count(now time.Time, even float64, missing map[string]time.Time) {
	if now.Sub(l.counted) < countInterval {
		return
	}
	l.counted = now
	l.reporting, l.kept = 0, 0
	for id, s := range l.hosts {
		_, gone := missing[id]
		switch {
		case now.Sub(s.heard) <= unheardAfter:
			l.reporting++
		case !gone && now.Sub(s.heard) <= forgetAfter && s.spent.rate(s.heard) > even/idleShare:
			l.kept += l.reserve(id, even)
		}
	}
}

// sweep drops hosts that have been silent for so long that nothing is kept for them.
func (l *ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < forgetAfter {
		return
	}
	l.swept = now
	for id, s := range l.hosts {
		if now.Sub(s.heard) > forgetAfter {
			delete(l.hosts, id)
		}
	}
}

// spender returns the record of a host. Of a host that was not known, only what
// no other home has acknowledged counts.
func (l *ledger) spender(now time.Time, host string, incarnation uint64, s Spending) *spender {
	from, known := l.hosts[host]
	if !known {
		from = &spender{incarnation: incarnation, total: s.Total - min(s.Unreported, s.Total), heard: now}
		l.hosts[host] = from
	}
	if incarnation > from.incarnation {
		from.incarnation, from.total = incarnation, 0
	}
	return from
}

// reserve returns the rate that is kept for a host that cannot be heard: its
// even part, or what it spent last.
func (l *ledger) reserve(host string, even float64) float64 {
	if s, known := l.hosts[host]; known {
		return max(even, min(s.spent.rate(s.heard), l.limit.Rate/2))
	}
	return even
}
