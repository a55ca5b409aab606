package balance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/pkg/object"
)

// chooser chooses the server of a request at an entry, -1 if it refuses it.
type chooser func(entry int) int

// simServer is a backend server of fixed slots. A request's time on it is its work divided
// by the speed, longer in a slow moment and above the knee.
type simServer struct {
	zone      int
	speed     float64
	slowUntil time.Duration
	inFlight  int
	queue     []simRequest
	meanTime  time.Duration
}

type simRequest struct {
	entry   int
	arrived time.Duration
}

// simEvent is the end of a request, or the arrival of one if server is -1.
type simEvent struct {
	at     time.Duration
	server int
	simRequest
}

type simEvents []simEvent

func (q simEvents) Len() int           { return len(q) }
func (q simEvents) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(e any)        { *q = append(*q, e.(simEvent)) }
func (q *simEvents) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// evenLoadSimulation plays the load that balancing with old information has to answer: 64
// entries in 4 zones choose among a few servers of unequal speed. The demand of the zones
// swings with shifted phases, and servers turn slow for moments.
type evenLoadSimulation struct {
	now       time.Duration
	random    *rand.Rand
	zones     int
	servers   []*simServer
	events    simEvents
	balancers []*balance.Balancer
	result    evenLoadResult
}

// evenLoadResult is what a simulation shows.
type evenLoadResult struct {
	// idle is the share of slots that idled while requests waited at other servers,
	// weighted by speed. excess is how far the fullest server's load lay above the mean,
	// as a share of the slots, on average over time.
	idle, excess float64
	refused      float64
	crossZone    float64
	p99          time.Duration

	requests, refusals, crossings int
	waits                         []time.Duration
}

const (
	simEntries  = 64
	simSlots    = 43
	simQueue    = 129
	simWork     = 17 * time.Millisecond
	simLength   = 20 * time.Second
	simSwing    = 0.55
	simPeriod   = 17 * time.Second
	simSlowness = 2.5
	// simUtilization is the mean demand as a share of what all servers can do.
	simUtilization = 0.62
)

func (s *evenLoadSimulation) time() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

func newEvenLoadSimulation(seed uint64, zoneCount int, even bool) *evenLoadSimulation {
	s := &evenLoadSimulation{random: rand.New(rand.NewPCG(seed, seed)), zones: zoneCount}
	speeds := []float64{0.5, 1, 1, 1.5, 1, 0.5, 1.5}
	zones := []int{0, 0, 1, 2, 3, 1, 3}
	s.random.Shuffle(len(speeds), func(i, j int) { speeds[i], speeds[j] = speeds[j], speeds[i] })
	var hosts []balance.Host
	for i, speed := range speeds {
		zone := zones[i] % zoneCount
		s.servers = append(s.servers, &simServer{zone: zone, speed: speed})
		hosts = append(hosts, balance.Host{ID: fmt.Sprint(i), Zone: fmt.Sprint(zone), Slots: simSlots})
	}
	for i := range simEntries {
		b := balance.New(balance.Config{Zone: fmt.Sprint(i % zoneCount), Now: s.time, Random: s.random.Uint64})
		b.SetSpread(map[string]bool{"rota": even})
		b.SetHosts(map[string][]balance.Host{"rota": hosts})
		s.balancers = append(s.balancers, b)
	}
	return s
}

// rate returns the requests a second of one entry at present.
func (s *evenLoadSimulation) rate(entry int) float64 {
	capacity := 0.0
	for _, server := range s.servers {
		capacity += simSlots * server.speed / simWork.Seconds()
	}
	phase := float64(entry%s.zones) * 0.25
	wave := 1 + simSwing*math.Sin(2*math.Pi*(float64(s.now)/float64(simPeriod)+phase))
	return capacity * simUtilization * wave / simEntries
}

// run plays the simulation with a chooser, Balancers if it is nil.
func (s *evenLoadSimulation) run(choose chooser) evenLoadResult {
	if choose == nil {
		choose = s.balanced
	}
	for entry := range simEntries {
		s.scheduleArrival(entry)
	}
	var idleTime, slotTime, excess float64
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		elapsed := (e.at - s.now).Seconds()
		idle, slots, above := s.imbalance()
		idleTime += idle * elapsed
		slotTime += slots * elapsed
		excess += above * elapsed
		s.now = e.at
		if s.now > simLength {
			break
		}
		if e.server < 0 {
			s.arrive(e.entry, choose)
			continue
		}
		s.finish(e)
	}
	r := &s.result
	r.idle, r.excess = idleTime/slotTime, excess/simLength.Seconds()
	r.refused = float64(r.refusals) / float64(r.requests)
	r.crossZone = float64(r.crossings) / float64(r.requests)
	r.p99 = quantileOf(r.waits, 0.99)
	return *r
}

func quantileOf(d []time.Duration, q float64) time.Duration {
	sorted := append([]time.Duration(nil), d...)
	slices.Sort(sorted)
	return sorted[int(float64(len(sorted)-1)*q)]
}

func (s *evenLoadSimulation) imbalance() (idle, slots, excess float64) {
	waiting := false
	mean, fullest := 0.0, 0.0
	for _, server := range s.servers {
		waiting = waiting || len(server.queue) > 0
		slots += simSlots * server.speed
		load := float64(server.inFlight+len(server.queue)) / simSlots
		mean += load / float64(len(s.servers))
		fullest = max(fullest, load)
	}
	if waiting {
		for _, server := range s.servers {
			idle += float64(simSlots-server.inFlight) * server.speed
		}
	}
	return idle, slots, fullest - mean
}

func (s *evenLoadSimulation) scheduleArrival(entry int) {
	gap := time.Duration(s.random.ExpFloat64() / s.rate(entry) * float64(time.Second))
	heap.Push(&s.events, simEvent{at: s.now + gap, server: -1, simRequest: simRequest{entry: entry}})
}

func (s *evenLoadSimulation) arrive(entry int, choose chooser) {
	s.scheduleArrival(entry)
	s.result.requests++
	i := choose(entry)
	if i < 0 {
		s.result.refusals++
		return
	}
	server := s.servers[i]
	if server.zone != entry%s.zones {
		s.result.crossings++
	}
	s.balancers[entry].Begin(fmt.Sprint(i))
	r := simRequest{entry: entry, arrived: s.now}
	switch {
	case server.inFlight < simSlots:
		s.start(i, r)
	case len(server.queue) < simQueue:
		server.queue = append(server.queue, r)
	default:
		s.result.refusals++
		s.report(i, entry)
	}
}

func (s *evenLoadSimulation) start(i int, r simRequest) {
	server := s.servers[i]
	server.inFlight++
	took := simWork.Seconds() / server.speed * (0.5 + s.random.ExpFloat64()/2)
	const slowShare, slowTime = 0.15, 600 * time.Millisecond
	if s.now > server.slowUntil {
		server.slowUntil = s.now + slowTime
		if s.random.Float64() < slowShare {
			server.slowUntil = -(s.now + slowTime) // Slow until then.
		}
	}
	if server.slowUntil < 0 && s.now < -server.slowUntil {
		took *= simSlowness
	}
	if float64(server.inFlight) > 0.95*simSlots {
		took *= 1.3
	}
	d := time.Duration(took * float64(time.Second))
	server.meanTime += (d - server.meanTime) / 64
	heap.Push(&s.events, simEvent{at: s.now + d, server: i, simRequest: r})
}

func (s *evenLoadSimulation) finish(e simEvent) {
	server := s.servers[e.server]
	server.inFlight--
	s.result.waits = append(s.result.waits, s.now-e.arrived)
	if len(server.queue) > 0 {
		next := server.queue[0]
		server.queue = server.queue[1:]
		s.start(e.server, next)
	}
	s.report(e.server, e.entry)
}

func (s *evenLoadSimulation) report(i, entry int) {
	server := s.servers[i]
	s.balancers[entry].End(fmt.Sprint(i))
	s.balancers[entry].Observe(fmt.Sprint(i), admission.Load{
		InFlight: server.inFlight, Queued: len(server.queue), Limit: simSlots, Slots: simSlots,
		ShedFrom: object.UrgencyCount, MeanSlotTime: server.meanTime,
	}, s.time())
}

func (s *evenLoadSimulation) balanced(entry int) int {
	host, err := s.balancers[entry].Choose(balance.Request{Service: "rota"})
	if err != nil {
		return -1
	}
	var i int
	_, _ = fmt.Sscan(host.ID, &i)
	return i
}

// bySpeed chooses a server at random with probabilities proportional to the true speeds.
func (s *evenLoadSimulation) bySpeed(int) int {
	total := 0.0
	for _, server := range s.servers {
		total += server.speed
	}
	point := s.random.Float64() * total
	for i, server := range s.servers {
		if point -= server.speed; point < 0 {
			return i
		}
	}
	return len(s.servers) - 1
}

// evenLoadMean returns the means of the results of several seeds. If choose is set, it
// makes the chooser of each simulation.
func evenLoadMean(zones int, even bool, choose func(*evenLoadSimulation) chooser) (idle, excess, crossZone float64, p99 time.Duration) {
	const seeds = 4
	for seed := range uint64(seeds) {
		s := newEvenLoadSimulation(seed, zones, even)
		var c chooser
		if choose != nil {
			c = choose(s)
		}
		r := s.run(c)
		idle += r.idle / seeds
		excess += r.excess / seeds
		crossZone += r.crossZone / seeds
		p99 += r.p99 / seeds
	}
	return idle, excess, crossZone, p99
}

// TestEvenLoad guards against servers that are overrun in turns while others idle, because
// what entries know of their load is old and many entries choose at the same moment. In
// one zone, the imbalance must be no larger than with a random choice by the true speeds,
// which the entries don't know. Across zones that choice would send three calls of four
// to another zone, so there the idle share must be a fifth of that of the choice between two.
func TestEvenLoad(t *testing.T) {
	tests := map[string]struct {
		zones        int
		maxIdleShare func(before, bySpeed float64) float64
		maxCrossZone float64
	}{
		"one zone":   {1, func(_, bySpeed float64) float64 { return bySpeed }, 0},
		"four zones": {4, func(before, _ float64) float64 { return before / 5 }, 0.3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before, excessBefore, _, p99Before := evenLoadMean(test.zones, false, nil)
			idle, excess, crossZone, p99 := evenLoadMean(test.zones, true, nil)
			bySpeed, excessBySpeed, _, p99BySpeed := evenLoadMean(test.zones, false, func(s *evenLoadSimulation) chooser { return s.bySpeed })
			t.Logf("idle slots while others queue: %.4f, choice between two %.4f, by true speed %.4f", idle, before, bySpeed)
			t.Logf("fullest server above the mean: %.3f, %.3f, %.3f", excess, excessBefore, excessBySpeed)
			t.Logf("99th percentile of the time: %v, %v, %v; to other zones %.3f", p99, p99Before, p99BySpeed, crossZone)
			qt.Check(t, idle <= test.maxIdleShare(before, bySpeed), qt.IsTrue)
			qt.Check(t, excess < excessBefore, qt.IsTrue)
			qt.Check(t, p99 < p99Before, qt.IsTrue)
			qt.Check(t, crossZone <= test.maxCrossZone, qt.IsTrue)
		})
	}
}
