package balance

import (
	"math"
	"time"
)

const (
	// maxSpread is the maximum number of hosts of a group that one choice compares.
	maxSpread = 16
	// speedMaxAge is the age at which what a load hint said of a host's speed expires.
	speedMaxAge = 10 * time.Second
	// minHeadroom is the headroom that a host counts as having at least, as a share of
	// its limit. Requests that go there show when it has more.
	minHeadroom = 0.02
	// spillFrom is the utilization of the own zone from which a part of its calls goes to
	// other zones, if these are utilized less. It lies well below 1, because servers queue
	// requests for moments long before they are full on average.
	spillFrom = 0.6
	// spillGain is the share of the calls that goes to other zones for each unit by which
	// the own zone is utilized more than they are.
	spillGain = 4
	// maxSpill is the highest share of the calls that goes to other zones.
	maxSpill = 0.9
	// unknownUtilization is assumed of hosts of which nothing is known.
	unknownUtilization = 0.5
)

// spreadHost is a host with its estimated state at the time of one choice.
type spreadHost struct {
	member *member
	// limit is the concurrency limit, and used the estimated number of requests there.
	limit, used float64
	// age is the age of the load hint, and slotTime the mean time for which a request
	// holds a slot; 0 if unknown.
	age      time.Duration
	slotTime time.Duration
	// known is set if the load hint has not expired.
	known  bool
	weight float64
}

// spread is the hosts that one choice compares, with their common utilization.
type spread struct {
	hosts       [2 * maxSpread]spreadHost
	n           int
	utilization float64
}

// add adds the members of the group, or a random sample of them if there are many.
func (d *spread) add(g *group, s *search, random func() uint64) {
	n := min(len(g.members), maxSpread)
	start := 0
	if len(g.members) > maxSpread {
		start = int(random() % uint64(len(g.members)))
	}
	for i := 0; i < n && d.n < len(d.hosts); i++ {
		m := &g.members[(start+i)%len(g.members)]
		if m.host.Leaving || s.excluded(m.host.ID) || m.state.saysLeaving(s.now) {
			continue
		}
		d.hosts[d.n] = m.state.spreadHost(m, s.now)
		d.n++
	}
}

// spreadHost returns what is known of the host at the given time.
func (s *state) spreadHost(m *member, now int64) spreadHost {
	h := spreadHost{member: m, limit: float64(max(m.host.Slots, 1))}
	if m.host.Cold {
		h.limit = max(h.limit/coldSlotsDivisor, 1)
	}
	h.age = time.Duration(now - s.hintAt.Load())
	if h.age < speedMaxAge {
		h.slotTime = time.Duration(s.slotTime.Load())
	}
	if h.age < hintMaxAge {
		h.known = true
		h.limit = float64(max(s.limit.Load(), 1))
		h.used = float64(s.load.Load())
	}
	return h
}

// estimate sets the utilization of all hosts together, and then the estimated state and
// the weight of each.
//
// Between two load hints, requests end and others arrive, so that a host's utilization
// returns to that of all hosts together within about the time that a request holds a slot.
// The more a hint has aged, the less it counts for that reason (load interpretation:
// Dahlin, 2000).
func (d *spread) estimate(now int64) {
	var used, limit, slotTimes, timed float64
	for i := range d.n {
		h := &d.hosts[i]
		if h.known {
			used += h.used
			limit += h.limit
		}
		if h.slotTime > 0 {
			slotTimes += float64(h.slotTime)
			timed++
		}
	}
	d.utilization = unknownUtilization
	if limit > 0 {
		d.utilization = used / limit
	}
	for i := range d.n {
		h := &d.hosts[i]
		speed := 1.0
		if h.slotTime > 0 && timed > 0 {
			speed = slotTimes / timed / float64(h.slotTime)
		}
		h.weight = h.limit * speed * h.headroom(d.utilization) * (1 - h.member.state.failurePenalty(now)*(1-minHeadroom))
	}
}

// headroom returns the share of the host's limit that is estimated to be free.
func (h *spreadHost) headroom(common float64) float64 {
	utilization := common
	if h.known {
		fresh := math.Exp(-float64(h.age) / float64(max(h.slotTime, time.Millisecond)))
		utilization += (h.used/h.limit - common) * fresh
	}
	own := float64(h.member.state.inFlight.Load()) / h.limit
	return max(1-max(utilization, own), minHeadroom)
}

// draw returns a random host, with a probability proportional to its weight, and removes
// it, so that it is not drawn again. It returns nil if there is none.
func (d *spread) draw(uniform float64) *member {
	total := 0.0
	for i := range d.n {
		total += d.hosts[i].weight
	}
	point := uniform * total
	for i := range d.n {
		point -= d.hosts[i].weight
		if point < 0 || i == d.n-1 {
			m := d.hosts[i].member
			d.n--
			d.hosts[i] = d.hosts[d.n]
			return m
		}
	}
	return nil
}

// considerSpread considers hosts in a random order that prefers hosts with much estimated
// headroom, until one is eligible.
func (b *Balancer) considerSpread(d *spread, s *search) {
	for s.best.member == nil {
		m := d.draw(b.uniform())
		if m == nil {
			return
		}
		s.consider(m)
	}
}

// searchSpread searches a host for a service whose hosts are spread: one of the own zone
// or, with a probability that grows with the own zone's utilization, of others. The hosts
// of other zones are looked at only if one of them may be chosen.
func (b *Balancer) searchSpread(service *service, s *search) {
	spreadCalls.Add(1)
	var own spread
	if b.tryOwnZone(service, s.now) {
		own.add(service.own, s, b.config.Random)
		own.estimate(s.now)
	}
	if own.utilization <= spillFrom {
		b.considerSpread(&own, s)
	}
	if s.best.member == nil {
		b.searchSpreadZones(service, s, &own)
	}
}

// searchSpreadZones searches a host in the own zone, of which own holds the hosts not
// considered yet, and in the others.
func (b *Balancer) searchSpreadZones(service *service, s *search, own *spread) {
	others := new(spread)
	for _, g := range service.others {
		if g.zone.weight(s.now) > 0 {
			others.add(g, s, b.config.Random)
		}
	}
	others.estimate(s.now)
	first, second := own, others
	if own.n == 0 {
		first, second = second, first
	} else if others.n > 0 && b.randomBool(spill(own.utilization, others.utilization)) {
		spilledCalls.Add(1)
		first, second = second, first
	}
	b.considerSpread(first, s)
	b.considerSpread(second, s)
}

// spill returns the share of the calls that goes to other zones.
func spill(own, others float64) float64 {
	return min((own-max(others, spillFrom))*spillGain, maxSpill)
}
