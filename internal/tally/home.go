package tally

import (
	"math"
	"time"

	"curranthold.example/curranthold/internal/quota"
)

// bucket is the token bucket that a home keeps for one client account. It is not safe
// for concurrent use.
type bucket struct {
	limit   quota.Limit
	level   float64
	updated time.Time
	// refill is the rate at which the bucket is refilled, in tokens a second.
	refill float64
	// lastReport is when a host last reported.
	lastReport time.Time
	takeover   takeover
	// spendRate measures how fast all hosts together spend tokens.
	spendRate rateMeter
	hosts     map[string]*hostUsage
	// lastCount is when reportingHosts and reservedRate were last computed: the
	// number of hosts that report, and the rate reserved for hosts that were
	// spending when they stopped reporting.
	lastCount      time.Time
	reportingHosts int
	reservedRate   float64
	// lastSweep is when hosts that no longer report were last removed.
	lastSweep time.Time
}

// hostUsage is what a home knows of one host's spending from a bucket.
type hostUsage struct {
	incarnation uint64
	total       uint64
	spendRate   rateMeter
	lastReport  time.Time
}

// rateMeter measures a rate of tokens, as an exponentially decaying average. The zero
// value is a rate of 0.
type rateMeter struct {
	perSecond float64
	updated   time.Time
}

// add counts tokens as spent at the time now.
func (m *rateMeter) add(tokens float64, now time.Time) {
	m.perSecond = m.rate(now) + tokens/rateDecayTime.Seconds()
	m.updated = now
}

// rate returns the measured rate in tokens a second.
func (m *rateMeter) rate(now time.Time) float64 {
	return m.perSecond * math.Exp(-float64(now.Sub(m.updated))/float64(rateDecayTime))
}

func newBucket(limit quota.Limit, now time.Time) *bucket {
	return &bucket{
		limit: limit, level: capacity(limit), updated: now, lastSweep: now, hosts: make(map[string]*hostUsage),
	}
}

// silent reports whether no host has reported for silenceTimeout.
func (b *bucket) silent(now time.Time) bool { return now.Sub(b.lastReport) > silenceTimeout }

// advance refills the bucket for the time until now at the rate refill.
func (b *bucket) advance(now time.Time, refill float64) {
	b.level = min(b.level+refill*now.Sub(b.updated).Seconds(), capacity(b.limit))
	b.updated, b.refill = now, refill
}

// deduct counts tokens as spent by a host.
func (b *bucket) deduct(now time.Time, usage *hostUsage, tokens float64) {
	b.level -= tokens
	b.takeover.deducted += tokens
	usage.spendRate.add(tokens, now)
	b.spendRate.add(tokens, now)
}

// applyReport deducts what a host has spent and returns the resulting state of the
// bucket. Apart from the rare sweep, its cost does not depend on the number of hosts.
func (b *bucket) applyReport(now time.Time, host string, incarnation uint64, s Spending) State {
	b.lastReport = now
	b.sweep(now)
	usage := b.hostUsage(now, host, incarnation, s)
	if incarnation >= usage.incarnation && s.Total >= usage.total {
		// Tokens that another home acknowledged since the last report to this one
		// were deducted from that home's bucket.
		spent := min(s.Total-usage.total, s.Unreported)
		usage.total, usage.lastReport = s.Total, now
		b.deduct(now, usage, float64(spent))
	}
	granted := b.grant(now, usage, s.Wanted)
	others := max(b.spendRate.rate(now)-usage.spendRate.rate(now), 0)
	return State{Level: b.level, Others: others, Refill: b.refill, Granted: granted}
}

// grant takes up to the wanted number of tokens from the bucket for a host and returns
// how many it took. If the host does not learn of them, they are lost.
func (b *bucket) grant(now time.Time, usage *hostUsage, wanted uint64) uint64 {
	granted := min(wanted, uint64(max(b.level, 0)))
	if granted == 0 {
		return 0
	}
	usage.total += granted
	b.deduct(now, usage, float64(granted))
	return granted
}

// countHosts counts the hosts that report, and computes the rate that is reserved for
// hosts that were spending when they stopped reporting. It leaves out hosts in
// missingSince, for which the caller reserves a rate.
func (b *bucket) countHosts(now time.Time, evenShare float64, missingSince map[string]time.Time) {
	if now.Sub(b.lastCount) < hostCountInterval {
		return
	}
	b.lastCount = now
	b.reportingHosts, b.reservedRate = 0, 0
	for id, usage := range b.hosts {
		_, isMissing := missingSince[id]
		switch {
		case now.Sub(usage.lastReport) <= silenceTimeout:
			b.reportingHosts++
		case !isMissing && now.Sub(usage.lastReport) <= missingRetention && usage.spendRate.rate(usage.lastReport) > evenShare/idleDivisor:
			b.reservedRate += b.reservedFor(id, evenShare)
		}
	}
}

// sweep removes hosts that have not reported for so long that no rate is reserved for
// them.
func (b *bucket) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < missingRetention {
		return
	}
	b.lastSweep = now
	for id, usage := range b.hosts {
		if now.Sub(usage.lastReport) > missingRetention {
			delete(b.hosts, id)
		}
	}
}

// hostUsage returns the usage of a host. If the host was not known, its total is set to
// what other homes have acknowledged, so that only the rest is deducted.
func (b *bucket) hostUsage(now time.Time, host string, incarnation uint64, s Spending) *hostUsage {
	usage, known := b.hosts[host]
	if !known {
		usage = &hostUsage{incarnation: incarnation, total: s.Total - min(s.Unreported, s.Total), lastReport: now}
		b.hosts[host] = usage
	}
	if incarnation > usage.incarnation {
		usage.incarnation, usage.total = incarnation, 0
	}
	return usage
}

// reservedFor returns the rate that is reserved for a host that does not report: the
// even share, or the rate at which the host last spent if that is higher, but then at
// most half of the account's rate.
func (b *bucket) reservedFor(host string, evenShare float64) float64 {
	if usage, known := b.hosts[host]; known {
		return max(evenShare, min(usage.spendRate.rate(usage.lastReport), b.limit.Rate/2))
	}
	return evenShare
}
