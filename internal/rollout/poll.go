package rollout

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/event"
)

const pollMethod = ServiceName + ".Poll"

// PollArgs is what a decider tells the owners of a service.
type PollArgs struct {
	Order uint64
	// Elapsed is the time since the order, or 0 if the decider doesn't know it.
	Elapsed time.Duration
	Phase   Phase
	Reason  Reason
	Base    string
	// Decider is the host that polls.
	Decider string
	// Begun is set once the stored record is that of this order.
	Begun bool
	// Settled is set once the terminal phase is stored and published.
	Settled bool
	Service string
	// Baseline has the responses of the old version, by which candidates evaluate
	// themselves when no decider reaches them.
	Baseline Evidence
}

// PollReply is the reply of an owner.
type PollReply struct {
	// Order is the order that the owner knows; the rest is only valid if it is that
	// of the poll.
	Order    uint64
	Elapsed  time.Duration
	Phase    Phase
	Reason   Reason
	Base     string
	Version  string
	Evidence Evidence
	// Running is how many requests run at the backend server; -1 if not known.
	Running int
	// SelfBad is set if the backend server gets no calls because of its own responses.
	SelfBad bool
	// WasInForce is set if the owner saw the target in force before the order.
	WasInForce bool
}

// Poll handles the poll of a decider.
func (r *RPC) Poll(args *PollArgs, reply *PollReply) error {
	if m := r.manager; !m.disabled() {
		*reply = m.handlePoll(args)
	}
	return nil
}

// RPC is the net/rpc receiver for the messages of other hosts.
type RPC struct{ manager *Manager }

// RPC returns the net/rpc receiver to register under [ServiceName].
func (m *Manager) RPC() any { return &RPC{manager: m} }

func (m *Manager) handlePoll(args *PollArgs) PollReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Now()
	r := m.rollouts[args.Service]
	if r == nil || r.order.ID != args.Order {
		reply := PollReply{Running: -1}
		if r != nil {
			reply.Order = r.order.ID
		}
		return reply
	}
	if args.Elapsed > 0 {
		r.adoptElapsed(now, args.Elapsed)
		r.fresh = false
	}
	r.lastPoll, r.heard, r.lastDecider = now, now, args.Decider
	if r.score(args.Decider) < r.score(m.config.Host) {
		r.decision.taken = false
	}
	r.storage.begun = r.storage.begun || args.Begun
	if args.Base != "" {
		r.base = args.Base
	}
	if len(args.Baseline.Slices) > 0 {
		r.baseline = args.Baseline
	}
	m.enter(r, args.Phase, args.Reason, now)
	s := &r.storage
	if args.Settled && r.phase == args.Phase && !s.busy && (s.published == "" || s.published == r.phase.state()) {
		r.decision.announced = true
		s.settled = true
	}
	m.refresh(now)
	return m.reply(r, now)
}

// reply returns what this host knows of a rollout.
func (m *Manager) reply(r *rollout, now time.Time) PollReply {
	reply := PollReply{
		Order: r.order.ID, Phase: r.phase, Reason: r.reason, Base: r.base, Running: -1,
		SelfBad: r.selfBad, WasInForce: r.wasInForce,
	}
	if !r.fresh {
		reply.Elapsed = r.elapsed(now)
	}
	if r.order.Service != m.service {
		return reply
	}
	reply.Version = m.version
	if r.recorder != nil {
		reply.Evidence = r.recorder.snapshot()
	}
	if m.config.Running != nil {
		reply.Running = m.config.Running()
	}
	return reply
}

// polled is an owner's host with its reply, if it replied; ok is false if it knows
// another order or none.
type polled struct {
	host        Host
	reply       PollReply
	replied, ok bool
}

// poll asks all owners of a service at the same time, and waits less for those that were
// silent before.
func (m *Manager) poll(ctx context.Context, args PollArgs, hosts []Host, timeout time.Duration, silent map[string]bool) []polled {
	results := make([]polled, len(hosts))
	var calls conc.WaitGroup
	for i, host := range hosts {
		results[i].host = host
		if host.ID == m.config.Host {
			continue
		}
		calls.Go(func() {
			timeout := timeout
			if silent[host.ID] {
				timeout = minPollTime
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			metricPolls.Add(1)
			var reply PollReply
			if err := m.config.Peers.Call(ctx, host.Address, pollMethod, &args, &reply); err != nil {
				metricFailedPolls.Add(1)
				return
			}
			results[i].reply, results[i].replied, results[i].ok = reply, true, reply.Order == args.Order
		})
	}
	calls.Wait()
	return results
}

// judgeSelf evaluates the own backend server, if it is a candidate, by its own
// evidence alone.
func (m *Manager) judgeSelf(now time.Time) {
	r := m.rollouts[m.service]
	if r == nil || r.recorder == nil || r.phase.terminal() || r.selfBad || m.version != r.order.Target || !m.candidate(r) {
		return
	}
	if r.baseline.total().Responses == 0 && r.elapsed(now) < silenceTime {
		return // The first polls bring the responses of the old version.
	}
	finding := Analyse(Comparison{
		Old: []Evidence{r.baseline}, New: []Evidence{r.recorder.snapshot()},
		Candidates: 1, Fraction: m.fraction(),
	})
	if !finding.Bad {
		return
	}
	r.selfBad = true
	metricSelfJudged.Add(1)
	eventCandidateBad.Log(event.Fields{
		"service": m.service, "version": m.version, "reason": string(finding.Reason), "route": finding.Route,
	})
	m.refresh(now)
}
