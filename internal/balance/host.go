package balance

import (
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/pkg/object"
)

const (
	// hintMaxAge is the age at which a load hint expires. The weight of the load
	// that it states falls linearly to zero until then.
	hintMaxAge = time.Second
	// shedMaxAge is the age from which a load hint no longer tells which urgencies
	// the host refuses.
	shedMaxAge = 100 * time.Millisecond
	// shedProbeInterval is the interval at which a request is sent to a host
	// although it refuses the request's urgency.
	shedProbeInterval = 20 * time.Millisecond
	// fullPenaltyPercent is the percentage of failed requests from which a host
	// counts as having all its slots in use. It then gets only the requests for
	// which other hosts have no capacity.
	fullPenaltyPercent = 20
	// leavingMaxAge is how long a host counts as leaving because its load hint said
	// so, while the membership does not confirm it.
	leavingMaxAge = 10 * time.Second
	// minBackoff and maxBackoff bound the time for which an unreachable host is
	// avoided. The time doubles with each consecutive failure.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// coldSlotsDivisor divides the slots of a cold host, to estimate its
	// concurrency limit until a load hint states it.
	coldSlotsDivisor = 20
)

// Host describes a host that runs a backend server, as listed by the membership.
type Host struct {
	// ID identifies the host and its incarnation.
	ID string
	// Zone is the host's availability zone.
	Zone string
	// Address is the address of the node on the host, as "IP:port".
	Address string
	// Slots is the number of concurrent requests that the backend server can
	// handle once it is warm.
	Slots int
	// Leaving marks a host that is leaving. It is not chosen.
	Leaving bool
	// Cold marks a host whose backend server has just started. It gets few
	// requests until a load hint states its concurrency limit.
	Cold bool
	// Version is the version of the host's backend server, empty if it states none.
	Version string
	// Candidate marks a host whose version is not in force. It is chosen only for
	// requests that ask for a candidate, and while the traffic of its service moves to
	// its version.
	Candidate bool
}

// state is what this process has learnt about a host. Goroutines that handle
// requests read and write it without locks; the fields need not be consistent with
// each other.
type state struct {
	// inFlight is the number of requests sent to the host by this process that
	// have not ended.
	inFlight atomic.Int32
	// load, limit, shedFrom and leaving are the values of the last load hint.
	load     atomic.Int32
	limit    atomic.Int32
	shedFrom atomic.Int32
	leaving  atomic.Bool
	// supersededAt is when the last hint arrived that the service's traffic moves to
	// another version, and 0 if a later hint did not say so.
	supersededAt atomic.Int64
	// failing is the percentage of requests that the backend server failed,
	// according to the last hint.
	failing atomic.Int32
	// slotTime is the mean time for which a request holds a slot, according to the last
	// hint that states it, in nanoseconds; 0 if unknown.
	slotTime atomic.Int64
	// inFlightAtHint is the value of inFlight when the last hint arrived.
	inFlightAtHint atomic.Int32
	// hintAt is when the last hint arrived. All times are in Unix nanoseconds.
	hintAt atomic.Int64
	// nextShedProbe is when the next request may be sent although the host refuses
	// its urgency.
	nextShedProbe atomic.Int64
	// failures counts the failures to reach the host since its last answer.
	failures atomic.Int32
	// recoveryProbe is set while a call sent to test an unreachable host has
	// neither failed nor been answered.
	recoveryProbe atomic.Bool
	// avoidUntil is when the next call may be sent to an unreachable host.
	avoidUntil atomic.Int64
}

func newState() *state {
	s := new(state)
	s.shedFrom.Store(object.UrgencyCount)
	return s
}

func (s *state) observe(l admission.Load, now int64) {
	s.load.Store(int32(l.InFlight + l.Queued))
	s.limit.Store(int32(l.Limit))
	s.shedFrom.Store(int32(l.ShedFrom))
	s.leaving.Store(l.Leaving)
	s.failing.Store(int32(l.FailingPercent))
	if l.MeanSlotTime > 0 {
		s.slotTime.Store(int64(l.MeanSlotTime))
	}
	if l.Superseded {
		s.supersededAt.Store(now)
	} else if s.supersededAt.Load() != 0 {
		s.supersededAt.Store(0)
	}
	s.inFlightAtHint.Store(s.inFlight.Load())
	s.hintAt.Store(now)
	if s.failures.Load() != 0 {
		s.failures.Store(0)
		s.avoidUntil.Store(0)
		s.recoveryProbe.Store(false)
	}
}

// fail records that the host could not be reached, and starts or doubles the time
// for which it is avoided. While the host is avoided, only the failure of a recovery
// probe counts, so that many calls that fail at once count as one failure.
func (s *state) fail(now int64) {
	until := s.avoidUntil.Load()
	recoveryProbe := s.recoveryProbe.Swap(false)
	if s.failures.Load() > 0 && now < until && !recoveryProbe {
		return
	}
	failures := s.failures.Add(1)
	s.avoidUntil.Store(now + backoff(failures))
}

// backoff returns how long a host is avoided after the given number of consecutive
// failures, in nanoseconds.
func backoff(failures int32) int64 {
	doublings := min(max(failures-1, 0), 16)
	return int64(min(minBackoff<<doublings, maxBackoff))
}

func (s *state) begin() {
	s.inFlight.Add(1)
}

func (s *state) end() {
	for {
		n := s.inFlight.Load()
		if n <= 0 || s.inFlight.CompareAndSwap(n, n-1) {
			return
		}
	}
}

// skipUnreachable reports whether to skip the host because it is unreachable. Once
// avoidUntil has passed it returns false to a single caller, whose call is the
// recovery probe.
func (s *state) skipUnreachable(now int64) bool {
	failures := s.failures.Load()
	if failures == 0 {
		return false
	}
	until := s.avoidUntil.Load()
	if now < until {
		return true
	}
	if !s.avoidUntil.CompareAndSwap(until, now+backoff(failures)) {
		return true
	}
	s.recoveryProbe.Store(true)
	return false
}

// saysLeaving reports whether a recent load hint said that the host is leaving.
func (s *state) saysLeaving(now int64) bool {
	return s.leaving.Load() && now-s.hintAt.Load() < int64(leavingMaxAge)
}

// sheds reports whether the host refuses requests of the urgency, according to a
// load hint younger than shedMaxAge.
func (s *state) sheds(urgency object.Urgency, now int64) bool {
	return int32(urgency) >= s.shedFrom.Load() && now-s.hintAt.Load() < int64(shedMaxAge)
}

// startShedProbe reports whether a request may be sent to find out whether the host
// still refuses its urgency. It returns true once per shedProbeInterval.
func (s *state) startShedProbe(now int64) bool {
	at := s.nextShedProbe.Load()
	return now >= at && s.nextShedProbe.CompareAndSwap(at, now+int64(shedProbeInterval))
}

// failurePenalty returns what the requests that the backend server fails add to the
// host's score, between 0 and 1. It is 0 once the last hint has expired, so that the
// host is tried again. A host that recently refused requests because their service's
// traffic moves to another version gets the full penalty.
func (s *state) failurePenalty(now int64) float64 {
	if at := s.supersededAt.Load(); at != 0 && now-at < int64(supersededTime) {
		return 1
	}
	if now-s.hintAt.Load() >= int64(hintMaxAge) {
		return 0
	}
	return min(float64(s.failing.Load())/fullPenaltyPercent, 1)
}

// estimateLoad returns the estimated number of requests on the host, and its
// concurrency limit.
func (s *state) estimateLoad(h *Host, now int64) (load, limit float64) {
	ownInFlight := float64(s.inFlight.Load())
	limit = float64(max(h.Slots, 1))
	if h.Cold {
		limit = max(limit/coldSlotsDivisor, 1)
	}
	age := now - s.hintAt.Load()
	if age >= int64(hintMaxAge) {
		return ownInFlight, limit
	}
	limit = float64(max(s.limit.Load(), 1))
	weight := 1 - float64(age)/float64(hintMaxAge)
	sinceHint := ownInFlight - float64(s.inFlightAtHint.Load())
	return max(ownInFlight, float64(s.load.Load())*weight+sinceHint), limit
}
