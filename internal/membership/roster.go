package membership

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount is the number of buckets into which members are hashed when two
	// rosters are compared.
	bucketCount = 64
	// suspicionTime is how long a suspect has to refute the suspicion.
	suspicionTime = 2 * time.Second
	// zoneUpdatesPerMessage limits the changes sent along with one message to a host
	// of the own zone, and crossZoneUpdatesPerMessage with one to another zone.
	zoneUpdatesPerMessage      = 256
	crossZoneUpdatesPerMessage = 64
	// retransmitFactor, times the binary logarithm of the number of members of the
	// zone, is how many times a node sends one change within its zone.
	retransmitFactor = 3
	// crossings is how many times all nodes together send one change to another
	// zone, so that the bytes between zones grow with the hosts and not with their
	// square. In small fleets, each node sends it once. urgentCrossings replaces it
	// for a change that must not be late: a suspicion, its refutation, a death, and
	// that a host leaves.
	crossings       = 48
	urgentCrossings = 192
	// ownCrossings is how many times a node sends a change of its own to other zones.
	ownCrossings = 12
)

// sends counts how many times this node is still to send a change: to hosts of its
// own zone, and to hosts of others.
type sends struct {
	zone, crossZone int
	// undrawn is how many times all nodes together send the change to other zones, as
	// long as crossZone, this node's random part of that, is not drawn yet; then 0.
	undrawn int
}

// roster holds the records of all members that a node knows, including dead ones and
// itself. It is not safe for concurrent use.
type roster struct {
	self      string
	zone      string
	zoneMates int // live members of the own zone, this node included
	members   map[string]Member
	suspects  map[string]time.Time // when each suspect is declared dead
	unsent    map[string]sends     // the changes that are still to be sent
	digests   [bucketCount]uint64  // XOR of the digests of the members in each bucket
	changed   bool                 // whether there are changes to publish
}

func newRoster(self Member) *roster {
	r := &roster{
		self:     self.ID,
		zone:     self.Zone,
		members:  make(map[string]Member),
		suspects: make(map[string]time.Time),
		unsent:   make(map[string]sends),
	}
	r.set(self)
	return r
}

// bucketOf returns the bucket of the member with the ID.
func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % bucketCount)
}

// set replaces the record of a member and schedules it to be sent to other nodes.
func (r *roster) set(m Member) {
	bucket := bucketOf(m.ID)
	old, known := r.members[m.ID]
	if known {
		r.digests[bucket] ^= old.digest()
		r.zoneMates -= r.countsInZone(old)
	}
	r.digests[bucket] ^= m.digest()
	r.zoneMates += r.countsInZone(m)
	r.members[m.ID] = m
	r.unsent[m.ID] = r.sendsOf(m, known && old.State == Suspect)
	r.changed = true
}

// countsInZone returns 1 if the member is a live one of the own zone, otherwise 0.
func (r *roster) countsInZone(m Member) int {
	if m.Zone == r.zone && m.Live() {
		return 1
	}
	return 0
}

// sendsOf returns how many times this node sends a change. Refutes is set if the
// change may refute a suspicion.
func (r *roster) sendsOf(m Member, refutes bool) sends {
	s := sends{zone: retransmitLimit(r.zoneMates)}
	switch {
	case m.ID == r.self:
		s.crossZone = ownCrossings
	case m.State != Alive || m.Leaving || refutes:
		s.undrawn = urgentCrossings
	default:
		s.undrawn = crossings
	}
	return s
}

// drawCrossings draws how many times this node sends each new change to other zones.
// The number is random, with the same mean at each node. It is drawn at the first
// message, because a node that joins learns of many members at once.
func (r *roster) drawCrossings() {
	for id, left := range r.unsent {
		if left.undrawn == 0 {
			continue
		}
		mean := min(float64(left.undrawn)/float64(len(r.members)), float64(left.undrawn)/crossings)
		left.undrawn = 0
		left.crossZone = int(mean)
		if rand.Float64() < mean-math.Floor(mean) {
			left.crossZone++
		}
		r.keep(id, left)
	}
}

// keep stores how many times a change is still to be sent.
func (r *roster) keep(id string, left sends) {
	if left == (sends{}) {
		delete(r.unsent, id)
		return
	}
	r.unsent[id] = left
}

// retransmitLimit returns how many times each of n nodes sends a change, so that all of
// them learn it with a high probability.
func retransmitLimit(n int) int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(n+1))))
}

// merge stores a record of a member if it is newer than the known one, and reports
// whether it changed the roster. A newer record of this node itself is refuted.
func (r *roster) merge(m Member, now time.Time) bool {
	if m.ID == r.self {
		return r.refute(m)
	}
	known, ok := r.members[m.ID]
	if ok && m.compare(known) <= 0 {
		return false
	}
	if m.State == Suspect {
		r.suspects[m.ID] = now.Add(suspicionTime)
	} else {
		delete(r.suspects, m.ID)
	}
	r.set(m)
	return true
}

// refute handles another node's record of this node. If that record is newer than
// this node's own, refute replaces it with the own record at a higher version and
// returns true.
func (r *roster) refute(m Member) bool {
	own := r.members[r.self]
	if m.compare(own) <= 0 {
		return false
	}
	own.Incarnation = max(own.Incarnation, m.Incarnation)
	own.Version = m.Version + 1
	r.set(own)
	return true
}

// update changes the record of this node and increases its version if it differs.
func (r *roster) update(change func(*Member)) {
	own := r.members[r.self]
	before := own
	change(&own)
	if own == before {
		return
	}
	own.Version++
	r.set(own)
}

// suspect marks an alive member that did not answer as a suspect and reports
// whether it changed the roster. A leaving member is declared dead at once: it has
// announced that it stops, so its suspicion need not be sent first.
func (r *roster) suspect(id string, now time.Time) bool {
	m, ok := r.members[id]
	if !ok || m.State == Suspect || m.State == Dead {
		return false
	}
	if m.Leaving {
		m.State = Dead
	} else {
		m.State = Suspect
	}
	return r.merge(m, now)
}

// expireSuspects declares dead those suspects that did not refute the suspicion in
// time, and returns them.
func (r *roster) expireSuspects(now time.Time) []Member {
	var dead []Member
	for id, deadline := range r.suspects {
		if now.Before(deadline) {
			continue
		}
		m := r.members[id]
		m.State = Dead
		r.merge(m, now)
		dead = append(dead, m)
	}
	return dead
}

// idOf returns the ID of the member at the address, "" if there is none.
func (r *roster) idOf(address string) string {
	for id, m := range r.members {
		if m.Address == address {
			return id
		}
	}
	return ""
}

// isInZone reports whether the member with the ID is known and in the own zone.
func (r *roster) isInZone(id string) bool {
	m, ok := r.members[id]
	return ok && m.Zone == r.zone
}

// takeZoneUpdates returns the changes to send with the next message within the zone
// and counts them as sent once more.
func (r *roster) takeZoneUpdates() []Member {
	return r.take(zoneUpdatesPerMessage, func(s *sends) *int { return &s.zone })
}

// takeCrossZoneUpdates is takeZoneUpdates for a message to another zone.
func (r *roster) takeCrossZoneUpdates() []Member {
	r.drawCrossings()
	return r.take(crossZoneUpdatesPerMessage, func(s *sends) *int { return &s.crossZone })
}

// takeUpdatesFor returns the changes to send with the next message to the member with
// the ID, and counts them as sent once more. A suspect is always told of the suspicion.
func (r *roster) takeUpdatesFor(id string) []Member {
	if r.isInZone(id) {
		return r.takeZoneUpdates()
	}
	updates := r.takeCrossZoneUpdates()
	if m := r.members[id]; m.State == Suspect {
		updates = append(updates, m)
	}
	return updates
}

// take returns up to limit changes whose counter is positive and lowers their counters.
func (r *roster) take(limit int, counter func(*sends) *int) []Member {
	var out []Member
	for id, left := range r.unsent {
		if len(out) == limit {
			break
		}
		remaining := counter(&left)
		if *remaining == 0 {
			continue
		}
		out = append(out, r.members[id])
		*remaining--
		r.keep(id, left)
	}
	return out
}

// differingMembers returns the members in the buckets whose digests differ from the
// given ones.
func (r *roster) differingMembers(digests [bucketCount]uint64) []Member {
	var out []Member
	for _, m := range r.members {
		bucket := bucketOf(m.ID)
		if r.digests[bucket] != digests[bucket] {
			out = append(out, m)
		}
	}
	return out
}

// live returns the members that are not dead, this node included.
func (r *roster) live() []Member {
	out := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		if m.Live() {
			out = append(out, m)
		}
	}
	return out
}
