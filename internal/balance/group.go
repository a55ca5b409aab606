package balance

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// zoneRampTime is the time over which the traffic of a zone that returned to
	// service rises to its full share.
	zoneRampTime = 10 * time.Second
	// maxScan bounds the members of a group that one scan considers.
	maxScan = 16
	// aliasScale is a probability of 1 in an alias table.
	aliasScale = 1 << 16
)

// zone is the state of an availability zone. It outlives snapshots.
type zone struct {
	outOfService atomic.Bool
	// returnedAt is when the zone last returned to service, in Unix nanoseconds;
	// 0 if it was never out of service.
	returnedAt atomic.Int64
}

// weight returns the fraction of its full share of the traffic that the zone receives,
// between 0 and 1.
func (z *zone) weight(now int64) float64 {
	if z.outOfService.Load() {
		return 0
	}
	returnedAt := z.returnedAt.Load()
	if returnedAt == 0 {
		return 1
	}
	return min(float64(now-returnedAt)/float64(zoneRampTime), 1)
}

// member is one host in a group.
type member struct {
	host  Host
	state *state
	// keepProbability and alias are the member's entry in the alias table. A draw
	// of this entry yields the member itself with keepProbability, in units of
	// 1/aliasScale, and otherwise the member with index alias.
	keepProbability uint32
	alias           uint32
}

// group holds the hosts of one service in one zone. Its alias table is weighted by
// the hosts' slots, so that a weighted draw takes constant time.
type group struct {
	zone    *zone
	members []member
	slots   int
}

func newGroup(z *zone, members []member) *group {
	g := &group{zone: z, members: members}
	for i := range members {
		g.slots += max(members[i].host.Slots, 1)
	}
	g.buildAlias()
	return g
}

// buildAlias fills the alias table with Vose's algorithm.
func (g *group) buildAlias() {
	n := len(g.members)
	scaled := make([]float64, n)
	var small, large []int
	for i := range g.members {
		scaled[i] = float64(max(g.members[i].host.Slots, 1)) * float64(n) / float64(g.slots)
		g.members[i].keepProbability = aliasScale
		g.members[i].alias = uint32(i)
		if scaled[i] < 1 {
			small = append(small, i)
		} else {
			large = append(large, i)
		}
	}
	for len(small) > 0 && len(large) > 0 {
		lesser := small[len(small)-1]
		small = small[:len(small)-1]
		greater := large[len(large)-1]
		g.members[lesser].keepProbability = uint32(scaled[lesser] * aliasScale)
		g.members[lesser].alias = uint32(greater)
		scaled[greater] -= 1 - scaled[lesser]
		if scaled[greater] < 1 {
			large = large[:len(large)-1]
			small = append(small, greater)
		}
	}
}

// draw returns the index of a member, chosen with a probability proportional to
// its slots.
func (g *group) draw(random uint64) int {
	index, _ := bits.Mul64(random, uint64(len(g.members)))
	m := &g.members[index]
	if uint32(random%aliasScale) < m.keepProbability {
		return int(index)
	}
	return int(m.alias)
}

// candidate is a member that may be chosen.
type candidate struct {
	member *member
	// score is the host's estimated load including this request, as a fraction of
	// its concurrency limit, plus a penalty if its backend server fails requests.
	// Above 1 the host counts as saturated.
	score float64
}

func (c candidate) better(other candidate) bool {
	return other.member == nil || c.score < other.score
}

// search is the state of one call of Choose.
type search struct {
	request *Request
	now     int64
	// ignoreShedding makes hosts eligible that refuse the request's urgency.
	ignoreShedding bool
	// best is the eligible candidate with the lowest score so far.
	best candidate
	// considered counts the members considered that are neither leaving nor excluded,
	// and shedding those of them that were passed over because they refuse the
	// request's urgency.
	considered int
	shedding   int
}

// consider makes the member the best candidate if it is eligible and has a lower
// score than the present one.
func (s *search) consider(m *member) {
	if m.host.Leaving || s.excluded(m.host.ID) || m.state.saysLeaving(s.now) {
		return
	}
	s.considered++
	c := candidate{member: m}
	load, limit := m.state.estimateLoad(&m.host, s.now)
	c.score = (load+1)/limit + m.state.failurePenalty(s.now)
	if !c.better(s.best) {
		return
	}
	if !s.ignoreShedding && m.state.sheds(s.request.Urgency, s.now) && !m.state.startShedProbe(s.now) {
		s.shedding++
		return
	}
	if m.state.skipUnreachable(s.now) {
		return
	}
	s.best = c
}

func (s *search) excluded(id string) bool {
	for _, other := range s.request.Exclude {
		if other == id {
			return true
		}
	}
	return false
}

// considerTwo considers two different members of the group, drawn with probabilities
// proportional to their slots.
func (s *search) considerTwo(g *group, random func() uint64) {
	first := g.draw(random())
	s.consider(&g.members[first])
	if len(g.members) == 1 {
		return
	}
	second := g.draw(random())
	if second == first {
		second = (first + 1) % len(g.members)
	}
	s.consider(&g.members[second])
}

// scan considers the members of the group in order, starting at a random one,
// until one is eligible or maxScan have been considered.
func (s *search) scan(g *group, random func() uint64) {
	index, _ := bits.Mul64(random(), uint64(len(g.members)))
	start := int(index)
	for i := 0; i < min(len(g.members), maxScan) && s.best.member == nil; i++ {
		s.consider(&g.members[(start+i)%len(g.members)])
	}
}

// saturated reports whether there is no eligible candidate, or the best one has no free
// capacity for the request.
func (s *search) saturated() bool {
	return s.best.member == nil || s.best.score > 1
}
