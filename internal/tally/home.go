package tally

import "time"

// ledger is a home's account of one client account. It is not safe for
// concurrent use.
type ledger struct {
	limit   Limit
	level   float64
	updated time.Time
	hosts   map[string]*spender
}

// spender is one host that spends from a ledger.
type spender struct {
	incarnation uint64
	total       uint64
	rate        float64
	heard       time.Time
}

func newLedger(limit Limit, level float64, now time.Time) *ledger {
	return &ledger{limit: limit, level: min(level, limit.capacity()), updated: now, hosts: make(map[string]*spender)}
}

// hear takes in what a host has spent. Refill is the rate at which the bucket is
// filled.
func (l *ledger) hear(now time.Time, host string, incarnation uint64, s Spending, refill float64) State {
	l.level = min(l.level+refill*now.Sub(l.updated).Seconds(), l.limit.capacity())
	l.updated = now
	from := l.spender(now, host, incarnation, s)
	if incarnation < from.incarnation || s.Total < from.total {
		return State{Level: l.level, Others: l.others(now, host), Refill: refill}
	}
	// What another home has acknowledged meanwhile was taken from its bucket.
	spent := float64(min(s.Total-from.total, s.Unreported))
	if elapsed := now.Sub(from.heard); elapsed > 0 {
		from.rate = smooth(from.rate, spent/elapsed.Seconds(), elapsed)
	}
	from.total, from.heard = s.Total, now
	l.level -= spent
	return State{Level: l.level, Others: l.others(now, host), Refill: refill}
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

// others returns what the other hosts spend, in requests a second.
func (l *ledger) others(now time.Time, host string) float64 {
	sum := 0.0
	for id, s := range l.hosts {
		silent := now.Sub(s.heard)
		switch {
		case silent > forgetAfter:
			delete(l.hosts, id)
		case id != host:
			sum += smooth(s.rate, 0, max(silent-calmInterval, 0))
		}
	}
	return sum
}

// reserve returns the rate that is kept for a host that cannot be heard: its
// even part, or what it spent last.
func (l *ledger) reserve(host string, even float64) float64 {
	if s, known := l.hosts[host]; known {
		return max(even, min(s.rate, l.limit.Rate/2))
	}
	return even
}
