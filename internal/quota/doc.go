// Package quota limits the rate and burst of every client account over all hosts
// together, without coordination between hosts for each request.
//
// Each availability zone has a roster, a row of the table that grants each of the
// zone's hosts a permanent fraction of every account's rate and burst. The
// fractions of all hosts sum to at most 1. Accounts are grouped into partitions,
// and each partition has a home, a host chosen by rendezvous hashing. A host
// delegates its fraction to the home for a short lease. The home mints tokens,
// which means that it adds them to the account's bucket at the delegated part of
// the rate, and lends batches of them to the hosts that spend them. A host that
// can't reach the home waits until its lease has expired and then mints its own
// fraction, starting with an empty bucket.
//
// The types that make decisions take the time as an argument (account.go,
// bucket.go, delegation.go, home.go, replica.go, roster.go); Manager adds the
// goroutine and the network calls.
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
	// fraction waits longer by this margin before it uses it again.
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
