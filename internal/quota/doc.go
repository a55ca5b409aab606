// Package quota limits the rate and burst of every client account over all hosts
// together, without coordination between hosts for each request.
//
// Each availability zone has a roster, a row of the table that grants each of
// the zone's hosts a fraction of every account's rate and burst. A fraction has
// no expiry time and stays until the zone's leader, one of its hosts, changes
// it; a host stops using its fraction if it can't confirm it for some time. The
// fractions of all hosts sum to at most 1. Accounts are grouped into partitions,
// and each partition has a home, a host chosen by rendezvous hashing. A host
// delegates its fraction to the home for a short lease. The home refills the
// account's bucket at the delegated part of the rate, and lends batches of
// tokens to the hosts that spend them. A host that can't reach the home waits
// until its lease has expired and then refills a bucket of its own at its
// fraction of the rate, starting with an empty bucket.
//
// The state of the protocol (account.go, bucket.go, delegation.go, home.go,
// replica.go, roster.go) has no clock and does no I/O, so that tests can
// simulate it. Manager adds both.
package quota

import "github.com/cespare/xxhash/v2"

// Host is a live host as reported by membership.
type Host struct {
	ID      string
	Zone    string
	Address string
}

// Limit is the limit of one client account over the whole fleet.
type Limit struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

const (
	// partitionCount is the number of groups of accounts. All accounts of a
	// partition share their home.
	partitionCount = 16
	// clockDriftDivisor bounds how far the clocks of two hosts may differ in
	// speed: by one part in clockDriftDivisor. A host that grants a lease or a
	// fraction waits longer by this margin before it uses or grants that part of
	// the limit again.
	clockDriftDivisor = 50
)

// partitionMask is a set of partitions, one bit each.
type partitionMask uint16

func (m partitionMask) has(p int) bool              { return m&(1<<p) != 0 }
func (m partitionMask) with(p int) partitionMask    { return m | 1<<p }
func (m partitionMask) without(p int) partitionMask { return m &^ (1 << p) }
func partitionOf(account string) int                { return int(xxhash.Sum64String(account) % partitionCount) }

// homeOf chooses the home of a partition among the hosts by rendezvous hashing.
func homeOf(p int, hosts []Host) Host {
	var best Host
	var bestScore uint64
	for _, host := range hosts {
		score := rendezvousScore(p, host.ID)
		if best.ID == "" || score > bestScore || score == bestScore && host.ID < best.ID {
			best, bestScore = host, score
		}
	}
	return best
}

func rendezvousScore(p int, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(p), 0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}
