package rollout

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pollInterval is the time between two polls of the owners. A bad version gets
	// requests for at most this time and the time of a poll after its evidence
	// suffices, a small part of the time allowed for a rollback.
	pollInterval = 500 * time.Millisecond
	// takeoverTime is how long a decider may be silent before the host that follows
	// it takes over; each further host waits as long again. It is longer than two
	// intervals, so that one lost poll doesn't change the decider.
	takeoverTime = 1200 * time.Millisecond
	// maxApproachTime is the longest time before a promotion in which polls are more
	// frequent, which is long enough to replace two deciders in a row.
	maxApproachTime      = 2 * time.Second
	approachInterval     = 100 * time.Millisecond
	approachTakeoverTime = 400 * time.Millisecond
	// promotionPolls is the number of polls in the time for a promotion, and
	// minPollInterval the shortest time between two.
	promotionPolls  = 12
	minPollInterval = 20 * time.Millisecond
	// minPollTime is how long a decider waits for replies at least, and for those of
	// hosts that didn't reply to the poll before; maxPollTime at most.
	minPollTime = 50 * time.Millisecond
	maxPollTime = 300 * time.Millisecond
)

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

// score returns the rendezvous score of a host, of which the smallest decides.
func (r *rollout) score(host string) uint64 {
	return xxhash.Sum64String(r.order.Service + "\x00" + strconv.FormatUint(r.order.ID, 10) + "\x00" + host)
}

// rank returns this host's place in the rendezvous order of the hosts that may decide,
// and false if it isn't among them. If the service has no host, all hosts may.
func (m *Manager) rank(r *rollout) (int, bool) {
	rank, member, everyone := 0, false, m.unknownService(r)
	for _, h := range m.hosts {
		switch {
		case h.Service != r.order.Service && !everyone:
		case h.ID == m.config.Host:
			member = true
		case r.score(h.ID) < r.score(m.config.Host):
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
	return member && (r.decision.taken || m.silentFor(r, rank, now))
}

// stage is a part of the window with its own time between two polls.
type stage struct {
	from, interval time.Duration
	// takeover is how long a decider may be silent before the next host decides.
	takeover time.Duration
}

// stages returns the parts of the window. Near its end polls are more frequent, since a
// decider that is lost there must be replaced before the deadline.
func (m *Manager) stages(over time.Duration) []stage {
	promotion := m.promotionTime(over)
	approach := min(maxApproachTime, over/4)
	first := stage{0, pollInterval, takeoverTime}
	if rollback := m.config.RollbackTime; rollback > 0 {
		first.interval = min(first.interval, rollback/10)
		first.takeover = min(first.takeover, rollback/4)
	}
	return []stage{
		first,
		{over - promotion - approach, approachInterval, approachTakeoverTime},
		{
			over - promotion, max(promotion/promotionPolls, minPollInterval),
			min(max(promotion/3, 2*minPollTime), approachTakeoverTime),
		},
	}
}

// silentFor reports whether no decider has polled for the time after which the host of
// the given rank takes over.
func (m *Manager) silentFor(r *rollout, rank int, now time.Time) bool {
	silence := now.Sub(r.lastPoll)
	for _, s := range m.stages(r.order.Over) {
		within := r.elapsed(now) - s.from
		if within < 0 || s.from > 0 && r.phase.terminal() {
			break
		}
		// The silence before a stage is judged by the intervals before it.
		if s.from > 0 {
			silence = min(now.Sub(r.lastPoll), within)
		}
		if silence >= time.Duration(rank)*s.takeover {
			return true
		}
	}
	return false
}

// interval returns the time until the next poll, which is not later than the next stage.
func (m *Manager) interval(r *rollout, now time.Time) time.Duration {
	if r.phase.terminal() {
		return pollInterval
	}
	interval := pollInterval
	for _, s := range m.stages(r.order.Over) {
		if left := s.from - r.elapsed(now); left > 0 {
			return min(interval, left)
		}
		interval = s.interval
	}
	return interval
}

// pollTimeout returns how long a decider waits for replies, so that the promotion has
// time for several polls, also if some hosts don't reply.
func (m *Manager) pollTimeout(r *rollout) time.Duration {
	return min(maxPollTime, max(m.promotionTime(r.order.Over)/4, minPollTime))
}
