// Package balance chooses the host to which a call is sent.
//
// A [Balancer] draws two hosts of the service from its own availability zone, with
// probabilities proportional to their slots, and takes the less loaded one. It turns to
// another zone if neither of the two accepts the call, or if the less loaded one is
// saturated. For services set by SetSpread, it draws one host with a probability that grows
// with its estimated headroom instead. A call whose urgency is refused by all candidates is
// refused here, before any work is spent on it.
package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/metric"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

var (
	metrics             = metric.NewGroup("balance")
	chosenOwnZone       = metrics.Int("chosen-own-zone-requests")
	chosenOtherZone     = metrics.Int("chosen-other-zone-requests")
	spreadCalls         = metrics.Int("spread-requests")
	spilledCalls        = metrics.Int("spilled-requests")
	chosenCandidate     = metrics.Int("chosen-candidate-requests")
	refusedEarly        = metrics.Int("refused-early-requests")
	refusedNoHost       = metrics.Int("refused-no-host-requests")
	refusedOutOfService = metrics.Int("refused-zone-out-of-service-requests")
	hostFailures        = metrics.Int("host-failures")
)

// maxSpareScore is the highest score of a host that counts as having spare capacity.
const maxSpareScore = 0.7

// Config configures a Balancer. The zero value works.
type Config struct {
	// Zone is the availability zone of the host on which the Balancer runs, its own
	// zone.
	Zone string
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
	// Random returns uniformly distributed random numbers. It must be safe for
	// concurrent use. Nil means math/rand/v2.
	Random func() uint64
	// DisableEarlyRefusal sends calls even if all candidates refuse their urgency. It
	// exists so that the effect of the refusal can be measured.
	DisableEarlyRefusal bool
	// CandidateFraction is the fraction of a service's calls that ask for a candidate.
	CandidateFraction float64
}

// Request describes a call for which a host is to be chosen.
type Request struct {
	// Service is the name of the called service.
	Service string
	// Urgency is compared with the urgencies that hosts refuse.
	Urgency object.Urgency
	// Nested marks a call that is made while another request is served. It may be
	// sent to a zone that is out of service if no other zone has a host.
	Nested bool
	// RequireSpareCapacity marks a call that is sent only to a host with spare
	// capacity.
	RequireSpareCapacity bool
	// Exclude holds the IDs of hosts that are not eligible because the call was
	// already sent to them.
	Exclude []string
	// Candidate asks for a host whose version is not in force. Without one that takes
	// the call, another host is chosen.
	Candidate bool
}

// service holds the hosts of one service: those of the Balancer's own zone, nil if
// there are none, and those of each other zone. It holds its candidates apart, nil if
// there are none.
type service struct {
	own        *group
	others     []*group
	candidates *candidates
}

// snapshot holds the hosts that Choose reads. The maps are not modified after it is
// published.
type snapshot struct {
	services map[string]*service
	states   map[string]*state
	// versioned holds the hosts of services with candidates by ID. It is nil if no
	// service has any.
	versioned map[string]versionedHost
}

// Balancer chooses hosts. Its methods may be called concurrently.
type Balancer struct {
	config   Config
	snapshot atomic.Pointer[snapshot]

	// spread holds the services whose calls are spread.
	spread atomic.Pointer[map[string]bool]

	mu    sync.Mutex
	zones map[string]*zone
	// superseded holds, by service with candidates, the version that its calls avoid.
	superseded map[string]*superseded
}

// New returns a Balancer that knows no hosts.
func New(config Config) *Balancer {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Random == nil {
		config.Random = rand.Uint64
	}
	b := &Balancer{config: config, zones: map[string]*zone{}}
	b.snapshot.Store(&snapshot{})
	b.SetSpread(nil)
	return b
}

// SetSpread sets the services whose calls are spread over all hosts by their estimated
// headroom. For others, the less loaded of two hosts is chosen.
func (b *Balancer) SetSpread(services map[string]bool) { b.spread.Store(&services) }

// SetHosts replaces the hosts of all services. The state of a host whose ID was
// already listed is kept.
func (b *Balancer) SetHosts(byService map[string][]Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := &snapshot{
		services: make(map[string]*service, len(byService)),
		states:   make(map[string]*state),
	}
	for name, hosts := range byService {
		if slices.ContainsFunc(hosts, func(h Host) bool { return h.Candidate }) {
			b.addWithCandidates(next, name, hosts)
			continue
		}
		next.services[name] = b.newService(hosts, next.states)
	}
	b.forgetSuperseded(next)
	b.snapshot.Store(next)
}

func (b *Balancer) newService(hosts []Host, states map[string]*state) *service {
	s := new(service)
	byZone := map[string][]member{}
	for _, host := range hosts {
		m := member{host: host, state: b.reuseState(host.ID, states)}
		byZone[host.Zone] = append(byZone[host.Zone], m)
	}
	for _, name := range slices.Sorted(maps.Keys(byZone)) {
		g := newGroup(b.zone(name), byZone[name])
		if name == b.config.Zone {
			s.own = g
			continue
		}
		s.others = append(s.others, g)
	}
	return s
}

// reuseState adds the state of a host to states and returns it. It is the state in
// the current snapshot if that has the host, and a new one otherwise.
func (b *Balancer) reuseState(id string, states map[string]*state) *state {
	s := states[id]
	if s == nil {
		s = b.snapshot.Load().states[id]
	}
	if s == nil {
		s = newState()
	}
	states[id] = s
	return s
}

func (b *Balancer) zone(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = new(zone)
		b.zones[name] = z
	}
	return z
}

// SetZones sets which availability zones are in service. Zones that are not listed
// are in service. The traffic of a zone that returns to service rises over 10 s.
func (b *Balancer) SetZones(inService map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now().UnixNano()
	for name := range inService {
		b.zone(name)
	}
	for name, z := range b.zones {
		in, listed := inService[name]
		outOfService := listed && !in
		if z.outOfService.Load() && !outOfService {
			z.returnedAt.Store(now)
		}
		z.outOfService.Store(outOfService)
	}
}

// Choose returns a host for the request. Any error is a *verdict.Error with verdict
// not-run.
func (b *Balancer) Choose(r Request) (Host, error) {
	service := b.snapshot.Load().services[r.Service]
	if service == nil {
		return Host{}, noHostError(&r)
	}
	now := b.config.Now().UnixNano()
	if service.candidates != nil {
		host, decided, err := b.chooseCandidate(service.candidates, &r, now)
		if decided {
			return host, err
		}
	}
	return b.chooseFrom(service, &r, now)
}

// chooseFrom returns a host of the service other than a candidate.
func (b *Balancer) chooseFrom(service *service, r *Request, now int64) (Host, error) {
	s := search{request: r, now: now, ignoreShedding: b.config.DisableEarlyRefusal}
	if (*b.spread.Load())[r.Service] {
		b.searchSpread(service, &s)
	} else {
		b.searchTwo(service, &s)
	}
	if s.best.member == nil {
		b.searchAllZones(service, &s)
	}
	if s.best.member == nil {
		return Host{}, b.refusal(service, &s)
	}
	if r.RequireSpareCapacity && s.best.score > maxSpareScore {
		return Host{}, verdict.New(verdict.NotRun, verdict.Overloaded, "no host of service %q has room to spare", r.Service)
	}
	count := chosenOtherZone
	if s.best.member.host.Zone == b.config.Zone {
		count = chosenOwnZone
	}
	count.Add(1)
	return s.best.member.host, nil
}

// searchTwo considers two hosts of the own zone and, if the less loaded one is saturated,
// two of another zone.
func (b *Balancer) searchTwo(service *service, s *search) {
	if b.tryOwnZone(service, s.now) {
		s.considerTwo(service.own, b.config.Random)
	}
	if s.saturated() && len(service.others) > 0 {
		b.searchOtherZone(service, s)
	}
}

// tryOwnZone reports whether to try the own zone first. While its traffic rises after a
// return to service, it is tried first only for the fraction of the calls given by
// zone.weight.
func (b *Balancer) tryOwnZone(s *service, now int64) bool {
	if s.own == nil {
		return false
	}
	return b.randomBool(s.own.zone.weight(now))
}

// randomBool returns true with the given probability.
func (b *Balancer) randomBool(probability float64) bool {
	if probability >= 1 {
		return true
	}
	if probability <= 0 {
		return false
	}
	return b.uniform() < probability
}

// uniform returns a random number in [0, 1).
func (b *Balancer) uniform() float64 {
	const mantissaBits = 53
	return float64(b.config.Random()>>(64-mantissaBits)) / (1 << mantissaBits)
}

// searchOtherZone considers two hosts of one other zone. The zone is drawn with a
// probability proportional to the slots of its hosts, multiplied by its weight.
func (b *Balancer) searchOtherZone(service *service, s *search) {
	total := 0.0
	for _, g := range service.others {
		total += float64(g.slots) * g.zone.weight(s.now)
	}
	if total <= 0 {
		return
	}
	point := b.uniform() * total
	for _, g := range service.others {
		weight := float64(g.slots) * g.zone.weight(s.now)
		if weight > point {
			s.considerTwo(g, b.config.Random)
			return
		}
		point -= weight
	}
}

// searchAllZones scans the zones in service, the own one first, until it finds an
// eligible host. If those zones have only hosts that are leaving or excluded, a nested
// call tries the zones that are out of service.
func (b *Balancer) searchAllZones(service *service, s *search) {
	s.considered, s.shedding = 0, 0
	for _, outOfService := range []bool{false, true} {
		if outOfService && !s.request.Nested {
			return
		}
		if service.own != nil && service.own.zone.outOfService.Load() == outOfService {
			s.scan(service.own, b.config.Random)
		}
		for _, g := range service.others {
			if s.best.member == nil && g.zone.outOfService.Load() == outOfService {
				s.scan(g, b.config.Random)
			}
		}
		if s.considered > 0 {
			return
		}
	}
}

// refusal returns the error of a request for which no host is eligible.
func (b *Balancer) refusal(service *service, s *search) *verdict.Error {
	if s.shedding > 0 {
		refusedEarly.Add(1)
		err := verdict.New(verdict.NotRun, verdict.Overloaded, "all hosts of service %q refuse %s requests", s.request.Service, s.request.Urgency)
		err.Exhausted = true
		return err
	}
	if service.allOutOfService() {
		refusedOutOfService.Add(1)
		return verdict.New(verdict.NotRun, verdict.ZoneOutOfService, "all availability zones of service %q are out of service", s.request.Service)
	}
	return noHostError(s.request)
}

func noHostError(r *Request) *verdict.Error {
	refusedNoHost.Add(1)
	return verdict.New(verdict.NotRun, verdict.NoHost, "no host of service %q can be reached", r.Service)
}

func (s *service) allOutOfService() bool {
	if s.own != nil && !s.own.zone.outOfService.Load() {
		return false
	}
	for _, g := range s.others {
		if !g.zone.outOfService.Load() {
			return false
		}
	}
	return s.own != nil || len(s.others) > 0
}

func (b *Balancer) state(id string) *state {
	return b.snapshot.Load().states[id]
}

// Observe records the load hint that came with a host's answer.
func (b *Balancer) Observe(hostID string, l admission.Load, now time.Time) {
	snapshot := b.snapshot.Load()
	if s := snapshot.states[hostID]; s != nil {
		s.observe(l, now.UnixNano())
	}
	if l.Superseded {
		if h, ok := snapshot.versioned[hostID]; ok {
			h.supersede(now.UnixNano())
		}
	}
}

// RecordUnreachable records that a host could not be reached. The host is avoided
// for some time, after which a single call tests whether it can be reached again.
func (b *Balancer) RecordUnreachable(hostID string, now time.Time) {
	hostFailures.Add(1)
	if s := b.state(hostID); s != nil {
		s.fail(now.UnixNano())
	}
}

// Begin records the start of a call to a host.
func (b *Balancer) Begin(hostID string) {
	if s := b.state(hostID); s != nil {
		s.begin()
	}
}

// End records the end of a call that was recorded by Begin.
func (b *Balancer) End(hostID string) {
	if s := b.state(hostID); s != nil {
		s.end()
	}
}
