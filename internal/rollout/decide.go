package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/event"
)

const (
	// tickInterval is how often Run looks for what is due while a rollout runs.
	tickInterval = 20 * time.Millisecond
	// selfInterval is how often a candidate evaluates itself.
	selfInterval = 100 * time.Millisecond
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
	// silent has the hosts that didn't reply to the last poll, and the decider before
	// this one.
	silent map[string]bool
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
	r.decision.silent = map[string]bool{r.lastDecider: true}
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
		Begun: r.storage.begun, Decider: m.config.Host, Settled: r.phase.terminal() && r.storage.settled, Baseline: r.decision.baseline(r.order.Target),
	}
	if !r.fresh {
		args.Elapsed = r.elapsed(now)
	}
	r.baseline, r.heard = args.Baseline, now
	silent := r.decision.silent
	m.mu.Unlock()

	replies := m.poll(ctx, args, hosts, m.pollTimeout(r), silent)

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
	r.decision.silent = make(map[string]bool)
	for _, p := range replies {
		r.decision.silent[p.host.ID] = !p.replied && p.host.ID != m.config.Host
	}
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
