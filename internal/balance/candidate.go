package balance

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// supersededTime is how long the calls of a service avoid a version after a host's
	// hint that its traffic moves to another one. It is longer than the membership takes
	// to say that the other version is in force, after which no hints may come.
	supersededTime = 5 * time.Second
	// activeTime is how long the same candidates are used. All entry nodes use the same
	// ones, as far as their clocks and members agree.
	activeTime = time.Second
)

// candidates holds the hosts of a service whose version is not in force.
type candidates struct {
	// fraction is the fraction of the service's calls that ask for a candidate.
	fraction float64
	members  []member
	zones    map[string]*zone
	// all holds all hosts of the service, and others, by version, those that have another
	// one, the candidates included. The membership may learn one by one which are in
	// force.
	all        *service
	others     map[string]*service
	superseded *superseded
	active     atomic.Pointer[active]
}

// superseded is the version of a service that its calls avoid until a time in Unix
// nanoseconds. It outlives snapshots.
type superseded struct {
	until   atomic.Int64
	version atomic.Pointer[string]
}

// versionedHost is a host of a service with candidates.
type versionedHost struct {
	candidates *candidates
	version    string
}

// active holds the candidates that are used during one activeTime.
type active struct {
	period int64
	group  *group
}

// addWithCandidates adds a service with candidates to the snapshot.
func (b *Balancer) addWithCandidates(next *snapshot, name string, hosts []Host) {
	if b.superseded == nil {
		b.superseded = make(map[string]*superseded)
	}
	if b.superseded[name] == nil {
		b.superseded[name] = new(superseded)
	}
	if next.versioned == nil {
		next.versioned = make(map[string]versionedHost)
	}
	c := &candidates{
		fraction: b.config.CandidateFraction, superseded: b.superseded[name],
		zones: make(map[string]*zone), others: make(map[string]*service),
	}
	var inForce []Host
	for _, h := range hosts {
		next.versioned[h.ID] = versionedHost{c, h.Version}
		c.others[h.Version] = nil
		switch {
		case !h.Candidate:
			inForce = append(inForce, h)
		case !h.Leaving:
			c.members = append(c.members, member{host: h, state: b.reuseState(h.ID, next.states)})
			c.zones[h.Zone] = b.zone(h.Zone)
		}
	}
	c.all = b.newService(hosts, next.states)
	for version := range c.others {
		others := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Version == version })
		c.others[version] = b.newService(others, next.states)
	}
	s := b.newService(inForce, next.states)
	s.candidates = c
	next.services[name] = s
}

// forgetSuperseded forgets the services that no longer have candidates.
func (b *Balancer) forgetSuperseded(next *snapshot) {
	for name := range b.superseded {
		if s := next.services[name]; s == nil || s.candidates == nil {
			delete(b.superseded, name)
		}
	}
}

// supersede makes the service's calls avoid the host's version for some time.
func (h versionedHost) supersede(now int64) {
	s := h.candidates.superseded
	if known := s.version.Load(); known == nil || *known != h.version {
		s.version.Store(&h.version)
	}
	s.until.Store(now + int64(supersededTime))
}

// successors returns the hosts of the versions to which the service's traffic moves, nil
// if it does not move.
func (c *candidates) successors(now int64) *service {
	if now >= c.superseded.until.Load() {
		return nil
	}
	if others := c.others[*c.superseded.version.Load()]; others != nil {
		return others
	}
	return c.all // The hosts of the superseded version are gone.
}

// chooseCandidate returns a candidate for the request if it asks for one, and a host of the
// version to which the service's traffic moves while it does. Decided is false if the request
// has to go to another host.
func (b *Balancer) chooseCandidate(c *candidates, r *Request, now int64) (host Host, decided bool, err error) {
	if successors := c.successors(now); successors != nil {
		host, err := b.chooseFrom(successors, r, now)
		// The other hosts refuse calls too, so that a refusal because of load is final.
		return host, err == nil || verdict.From(err).Code == verdict.Overloaded, err
	}
	if !r.Candidate {
		return Host{}, false, nil
	}
	s := search{request: r, now: now, ignoreShedding: b.config.DisableEarlyRefusal}
	if g := c.activeGroup(now); g != nil {
		s.considerTwo(g, b.config.Random)
	}
	if s.saturated() || (r.RequireSpareCapacity && s.best.score > maxSpareScore) {
		return Host{}, false, nil
	}
	host = s.best.member.host
	if !b.randomBool(c.zones[host.Zone].weight(now)) {
		return Host{}, false, nil
	}
	chosenCandidate.Add(1)
	return host, true, nil
}

// activeGroup returns the candidates to use now, nil if there are none: so few that each
// gets about the load of a host of the version in force, in an order that changes with
// each activeTime. Candidates in zones that are out of service have no turn.
func (c *candidates) activeGroup(now int64) *group {
	period := now / int64(activeTime)
	if a := c.active.Load(); a != nil && a.period == period {
		return a.group
	}
	members := slices.DeleteFunc(slices.Clone(c.members), func(m member) bool {
		return c.zones[m.host.Zone].outOfService.Load()
	})
	slices.SortFunc(members, func(x, y member) int {
		return cmp.Or(cmp.Compare(turn(period, x.host.ID), turn(period, y.host.ID)), cmp.Compare(x.host.ID, y.host.ID))
	})
	a := &active{period: period}
	if len(members) > 0 {
		used := int(math.Ceil(c.fraction * float64(len(members))))
		a.group = newGroup(nil, members[:min(max(used, 1), len(members))])
	}
	c.active.Store(a)
	return a.group
}

// turn returns the place of a host in the order of a period.
func turn(period int64, id string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(id), uint64(period)))
}
