package node

import "curranthold.example/curranthold/internal/membership"

// memberSnapshot holds the members that were last passed to the components of a
// node.
type memberSnapshot struct {
	last map[string]membership.Member
}

// memberDiff says what changed between two sets of members.
type memberDiff struct {
	// hosts is set if the set of hosts, or the zone, address or leaving flag of a
	// host, has changed.
	hosts bool
	// backends is set if hosts is set or if what a host's backend server announces
	// has changed.
	backends bool
}

// update stores the live members and returns how they differ from the previous
// ones.
func (s *memberSnapshot) update(members []membership.Member) memberDiff {
	var diff memberDiff
	for _, m := range members {
		m = relevant(m)
		old, found := s.last[m.ID]
		if found && old == m {
			continue
		}
		diff.backends = true
		diff.hosts = diff.hosts || !found || !sameHost(old, m)
	}
	if len(members) != len(s.last) {
		diff = memberDiff{hosts: true, backends: true}
	}
	if diff.backends {
		s.set(members)
	}
	return diff
}

func (s *memberSnapshot) set(members []membership.Member) {
	next := make(map[string]membership.Member, len(members))
	for _, m := range members {
		next[m.ID] = relevant(m)
	}
	s.last = next
}

// relevant returns the member with fixed values in the fields that no component
// uses.
func relevant(m membership.Member) membership.Member {
	m.Incarnation, m.Version = 0, 0
	m.State = membership.Alive
	return m
}

func sameHost(a, b membership.Member) bool {
	return a.Zone == b.Zone && a.Address == b.Address && a.Leaving == b.Leaving
}
