// Package tally limits the rate and burst of each client account across all hosts.
// Hosts spend tokens locally and report afterwards what they have spent.
//
// Each account has a home, one of the live hosts, which keeps the account's token
// bucket. Every host spends from a local estimate of that bucket and corrects it
// with each answer of the home, so that few requests wait for a message: only one that
// the host would refuse by its estimate asks the home for a token first. Tokens that
// are spent and not yet reported can exceed the limit for a short time; the capacity
// of the bucket is reduced by a margin for that. Part of the rate is reserved for
// hosts that cannot reach the home.
//
// Package quota enforces the limit strictly, but takes longer to redistribute it when
// hosts are lost. docs/design/tally.md compares the two.
package tally

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"curranthold.example/curranthold/internal/quota"
)

const (
	// partitionCount is the number of partitions of the accounts. The accounts of
	// a partition have the same home.
	partitionCount = 4
	// checkInterval is the interval at which a host checks which accounts to
	// report.
	checkInterval = 150 * time.Millisecond
	// maxReportInterval is the longest time between two reports of an account
	// with unreported tokens.
	maxReportInterval = 600 * time.Millisecond
	// keepAliveInterval is the time between two reports of a host that has nothing to
	// report, until its home regards it as idle. It is well below silenceTimeout.
	keepAliveInterval = 450 * time.Millisecond
	// reportTimeout bounds the time of one report.
	reportTimeout = 300 * time.Millisecond
	// homeAvoidTime is the shortest time for which another host replaces a home
	// that did not answer.
	homeAvoidTime = time.Second
	// namedHomeTime is how long a host relies on a home that another one named. It
	// exceeds the time in which a host learns of a live host.
	namedHomeTime = 2 * time.Second
	// askTimeout bounds the time for which a request waits for the home's answer.
	askTimeout = 100 * time.Millisecond
	// askInterval is the shortest time before the home is asked for a token of an
	// account again, after it granted none or did not answer.
	askInterval = 150 * time.Millisecond
	// isolationTimeout is how long a host relies on the last answer if no home answers.
	// If it then has unreported tokens or refused a request, it takes its even share of
	// the rate, or its recent spend rate if that is higher, up to half of the rate.
	isolationTimeout = time.Second
	// missingRetention is how long part of the rate is reserved for a host that
	// stopped reporting, or disappeared without announcing that it leaves.
	missingRetention = 30 * time.Second
	// reportLag is how far the reports of all hosts together may lag behind what they
	// spend. The capacity of the bucket is reduced by the tokens spent in that time at
	// the full rate, but to no less than half of the burst.
	reportLag = 400 * time.Millisecond
	// silenceTimeout is the time without a report after which the home reserves
	// part of the rate for a host that is not idle. Hosts that are not idle report
	// more often than that.
	silenceTimeout = 800 * time.Millisecond
	// handoverTime bounds how long hosts report to different homes after a change of
	// the home, until all have learned of it.
	handoverTime = time.Second
	// hostCountInterval is the interval at which a home counts reporting hosts.
	hostCountInterval = 150 * time.Millisecond
	// idleDivisor divides a host's even share of the rate. A host that spends no
	// more than the result counts as idle.
	idleDivisor = 10
	// homeRateExcess is the maximum ratio of the spend rate that the home measures for
	// a host to the one that the host itself measures, after the host stopped spending.
	// The home counts tokens as spent when they are reported, and so later than the
	// host.
	homeRateExcess = 3
	// startLevelDivisor divides the capacity of the bucket to get the estimate with
	// which a host starts, because it does not know what was spent before.
	startLevelDivisor = 4
	// lowLevelDivisor divides the capacity of the bucket. Below the result, the level
	// counts as low: spent tokens are reported at every check, and each host uses
	// only its share of the tokens left.
	lowLevelDivisor = 3
	// overcommit multiplies the share of a nearly empty bucket that a host may
	// spend, since not all hosts use up their shares.
	overcommit = 2
	// A host that refuses requests is assumed to get demandSkew times its even share of
	// the rate, since demand is not spread evenly over hosts.
	demandSkew = 3
	// maxRetryAfter bounds the time after which callers are told to retry.
	maxRetryAfter = 30 * time.Second
	// minRate is the rate, in tokens a second, that replaces a lower one as a divisor.
	minRate = 0.01
	// rateDecayTime is the time constant with which measured rates decay
	// exponentially.
	rateDecayTime = time.Second
)

// capacity returns the largest number of tokens that the bucket of an account can
// hold.
func capacity(l quota.Limit) float64 {
	return max(l.Burst-l.Rate*reportLag.Seconds(), l.Burst/2, 1)
}

func partitionOf(account string) int { return int(xxhash.Sum64String(account) % partitionCount) }

// homeScore returns the rendezvous hash of a host for a partition. The host with the
// highest score is the partition's home.
func homeScore(p int, host string) uint64 {
	return xxhash.Sum64String(string(rune('a'+p)) + host)
}
