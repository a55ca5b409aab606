package membership

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount is the number of buckets into which members are hashed when two
	// rosters are compared.
	bucketCount = 64
	// suspicionTime is how long a suspect has to refute the suspicion.
	suspicionTime = 2 * time.Second
	// updatesPerMessage limits the changes sent along with one message.
	updatesPerMessage = 64
	// retransmitFactor, times the binary logarithm of the number of members, is how
	// many times a node sends one change.
	retransmitFactor = 3
)

// roster holds the records of all members that a node knows, including dead ones and
// itself. It is not safe for concurrent use.
type roster struct {
	self        string
	members     map[string]Member
	suspects    map[string]time.Time // when each suspect is declared dead
	retransmits map[string]int       // how many times each change is still to be sent
	digests     [bucketCount]uint64  // XOR of the digests of the members in each bucket
	changed     bool                 // whether there are changes to publish
}

func newRoster(self Member) *roster {
	r := &roster{
		self:        self.ID,
		members:     make(map[string]Member),
		suspects:    make(map[string]time.Time),
		retransmits: make(map[string]int),
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
	if old, ok := r.members[m.ID]; ok {
		r.digests[bucket] ^= old.digest()
	}
	r.digests[bucket] ^= m.digest()
	r.members[m.ID] = m
	r.retransmits[m.ID] = r.retransmitLimit()
	r.changed = true
}

func (r *roster) retransmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(len(r.members)+1))))
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

// takeUpdates returns the changes to send with the next message and counts them as
// sent once more.
func (r *roster) takeUpdates() []Member {
	var out []Member
	for id, remaining := range r.retransmits {
		if len(out) == updatesPerMessage {
			break
		}
		out = append(out, r.members[id])
		if remaining <= 1 {
			delete(r.retransmits, id)
		} else {
			r.retransmits[id] = remaining - 1
		}
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
