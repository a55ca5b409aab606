package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/event"
)

const (
	// pollInterval is the time between two polls of the owners. A bad version gets
	// requests for at most this time and the time of a poll after its evidence
	// suffices, a small part of the time allowed for a rollback.
	pollInterval = 500 * time.Millisecond
	// minPollInterval is the shortest time between two polls, used in promotions,
	// which have promotionPolls of them.
	minPollInterval = 20 * time.Millisecond
	promotionPolls  = 12
	// minPollTime is the shortest time that a decider waits for replies.
	minPollTime = 50 * time.Millisecond
	// tickInterval is how often Run looks for what is due while a rollout runs.
	tickInterval = 20 * time.Millisecond
	// selfInterval is how often a candidate evaluates itself.
	selfInterval = 100 * time.Millisecond
	// takeoverTime is how long a decider may be silent before the host that follows
	// it takes over; each further host waits as long again. It is longer than two
	// intervals, so that one lost poll doesn't change the decider.
	takeoverTime = 1200 * time.Millisecond
	// inForceTime is how long all hosts must announce the target of an order without
	// a record before it is taken to be in force. Membership may be incomplete before.
	inForceTime = time.Second
)

// decision is what a decider knows of a rollout.
type decision struct {
	nextRound time.Time
	rounds    int
	// taken is set while this host decides.
	taken    bool
	evidence map[string]*hostEvidence
	old, new Totals
	// load is the largest number of requests that ran at once at the old version.
	load float64
	// inForce is set if the target was in force before the order, by the record.
	inForce bool
	// wantComplete is set once the promotion may be stored as completed.
	wantComplete bool
	// announced is set once all live owners know the terminal phase.
	announced bool
}

// hostEvidence is the evidence of one host. Earlier is that from before its node was
// restarted.
type hostEvidence struct {
	version          string
	earlier, current Evidence
	live             bool
}

func (h *hostEvidence) update(e Evidence) {
	if e.total().Responses < h.current.total().Responses {
		h.earlier = merge([]Evidence{h.earlier, h.current})
	}
	h.current = e
}

// hostIDs returns the hosts of a service in the order of their IDs.
func hostIDs(hosts []Host, service string) []string {
	var ids []string
	for _, h := range hosts {
		if h.Service == service {
			ids = append(ids, h.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// rank returns this host's place in the rendezvous order of the hosts that may decide,
// and false if it isn't among them. If the service has no host, all hosts may.
func (m *Manager) rank(r *rollout) (int, bool) {
	score := func(id string) uint64 {
		return xxhash.Sum64String(r.order.Service + "\x00" + r.order.Target + "\x00" + id)
	}
	rank, member, everyone := 0, false, m.unknownService(r)
	for _, h := range m.hosts {
		switch {
		case h.Service != r.order.Service && !everyone:
		case h.ID == m.config.Host:
			member = true
		case score(h.ID) < score(m.config.Host):
			rank++
		}
	}
	return rank, member
}

// unknownService reports whether the service of a rollout has no host.
func (m *Manager) unknownService(r *rollout) bool {
	return !slices.ContainsFunc(m.hosts, func(h Host) bool { return h.Service == r.order.Service })
}

// decides reports whether this host is to decide about a rollout now.
func (m *Manager) decides(r *rollout, now time.Time) bool {
	if r.phase.terminal() && r.decision.announced && r.storage.settled {
		return false
	}
	rank, member := m.rank(r)
	if rank > 0 && m.unknownService(r) {
		return false // There are no polls by which the next host could tell a silent decider.
	}
	return member && now.Sub(r.lastPoll) >= time.Duration(rank)*takeoverTime
}

// Run decides about rollouts until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	if m.disabled() {
		<-ctx.Done()
		return nil
	}
	var calls conc.WaitGroup
	defer calls.Wait()
	nextSelf := m.config.Now()
	for {
		now := m.config.Now()
		if !now.Before(nextSelf) {
			m.mu.Lock()
			m.judgeSelf(now)
			m.mu.Unlock()
			nextSelf = now.Add(selfInterval)
		}
		active := m.step(ctx, &calls)
		if m.readOwnRecord(ctx, &calls, now) {
			active = true
		}
		var tick <-chan time.Time
		if active {
			tick = time.After(tickInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		case <-tick:
		}
	}
}

// step starts what is due, and reports whether a rollout concerns this host.
func (m *Manager) step(ctx context.Context, calls *conc.WaitGroup) bool {
	m.mu.Lock()
	now := m.config.Now()
	var due []*rollout
	active := false
	for _, r := range m.rollouts {
		rank, member := m.rank(r)
		if !member || rank > 0 && m.unknownService(r) || r.phase.terminal() && r.decision.announced && r.storage.settled {
			continue
		}
		active = true
		if !m.decides(r, now) {
			r.decision.taken = false
			continue
		}
		m.take(r)
		if !now.Before(r.decision.nextRound) {
			due = append(due, r)
		}
		m.startStorage(ctx, calls, r, now)
	}
	m.mu.Unlock()
	var rounds conc.WaitGroup
	for _, r := range due {
		rounds.Go(func() { m.round(ctx, r) })
	}
	rounds.Wait()
	return active
}

// take notes that this host decides about a rollout.
func (m *Manager) take(r *rollout) {
	if r.decision.taken {
		return
	}
	r.decision.taken = true
	fields := event.Fields{"service": r.order.Service, "target": r.order.Target, "order": r.order.ID}
	if rank, _ := m.rank(r); rank > 0 {
		metricTakeovers.Add(1)
		eventTakenOver.Log(fields)
	} else {
		eventBegun.Log(fields)
	}
}

// round polls the owners once and decides on their replies.
func (m *Manager) round(ctx context.Context, r *rollout) {
	m.mu.Lock()
	now := m.config.Now()
	hosts := slices.DeleteFunc(slices.Clone(m.hosts), func(h Host) bool { return h.Service != r.order.Service })
	args := PollArgs{
		Order: r.order.ID, Phase: r.phase, Reason: r.reason, Base: r.base, Service: r.order.Service,
		Settled: r.phase.terminal() && r.storage.settled, Baseline: r.decision.baseline(r.order.Target),
	}
	if !r.fresh {
		args.Elapsed = r.elapsed(now)
	}
	r.baseline, r.heard = args.Baseline, now
	m.mu.Unlock()

	// A promotion has time for several polls, also if some hosts don't reply.
	timeout := min(maxPollTime, max(m.promotionTime(r.order.Over)/4, minPollTime))
	replies := m.poll(ctx, args, hosts, timeout)

	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rollouts[r.order.Service] != r || ctx.Err() != nil {
		return
	}
	now = m.config.Now()
	before := r.phase
	m.adopt(r, replies, now)
	if !r.phase.terminal() {
		m.decide(r, replies, now)
	}
	r.decision.rounds++
	known := !slices.ContainsFunc(replies, func(p polled) bool {
		return p.host.ID != m.config.Host && (!p.replied || p.ok && p.reply.Phase != r.phase)
	})
	r.decision.announced = known && args.Phase == r.phase && (args.Settled || !r.phase.terminal())
	r.decision.nextRound = now.Add(m.interval(r, now))
	if r.phase != before {
		r.decision.nextRound = now // announces the phase at once
	}
	m.refresh(now)
}

// interval returns the time until the next poll.
func (m *Manager) interval(r *rollout, now time.Time) time.Duration {
	window := m.promotionTime(r.order.Over)
	left := r.order.Over - window - r.elapsed(now)
	switch {
	case r.phase.terminal(), left > pollInterval:
		return pollInterval
	case left > 0:
		return max(left, minPollInterval)
	}
	return min(max(window/promotionPolls, minPollInterval), pollInterval)
}

// adopt takes over what the owners know.
func (m *Manager) adopt(r *rollout, replies []polled, now time.Time) {
	if r.decision.evidence == nil {
		r.decision.evidence = make(map[string]*hostEvidence)
	}
	for _, e := range r.decision.evidence {
		e.live = false
	}
	for i := range replies {
		p := &replies[i]
		if p.host.ID == m.config.Host {
			p.reply, p.ok = m.reply(r, now), true
		}
		known := r.decision.evidence[p.host.ID]
		if known == nil {
			known = &hostEvidence{}
			r.decision.evidence[p.host.ID] = known
		}
		known.live, known.version = true, p.host.Version
		if !p.ok {
			continue
		}
		if p.reply.Elapsed > 0 {
			r.adoptElapsed(now, p.reply.Elapsed)
			r.fresh = false
		}
		if r.base == "" {
			r.base = p.reply.Base
		}
		r.wasInForce = r.wasInForce || p.reply.WasInForce
		if p.reply.Version != "" {
			known.version = p.reply.Version
		}
		known.update(p.reply.Evidence)
		m.enter(r, p.reply.Phase, p.reply.Reason, now)
	}
}
