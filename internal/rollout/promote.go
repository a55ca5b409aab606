package rollout

import (
	"time"

	"curranthold.example/curranthold/internal/event"
)

const (
	// capacityPart is the part of the candidates' slots that the load of the old
	// version may take up for a promotion.
	capacityPart = 0.9
	// minPromotionPart is the part of the time for a promotion for which the
	// candidates get all traffic at least. It shows faults that need full load.
	minPromotionPart = 0.25
	// lastPromotionPart and lastCompletionPart are the parts of the time for a promotion
	// that must be left to begin one and to store it as completed.
	lastPromotionPart  = 0.4
	lastCompletionPart = 0.15
)

// baseline returns the responses of all hosts that have another version than target.
func (d *decision) baseline(target string) Evidence {
	old, _ := d.versions(target)
	return merge(old)
}

// versions returns the evidence of each host of the old and of the new version.
func (d *decision) versions(target string) (old, candidates []Evidence) {
	for _, h := range d.evidence {
		e := merge([]Evidence{h.earlier, h.current})
		if h.version == target {
			candidates = append(candidates, e)
		} else {
			old = append(old, e)
		}
	}
	return old, candidates
}

func totals(all []Evidence) Totals {
	counts := merge(all).total()
	t := Totals{Hosts: len(all), Responses: counts.Responses, Failures: counts.Failures}
	if bucket, ok := counts.quantile(0.5); ok {
		t.MedianMs = bucketEnd(bucket).Milliseconds()
	}
	if bucket, ok := counts.quantile(0.95); ok {
		t.P95Ms = bucketEnd(bucket).Milliseconds()
	}
	return t
}

// fleet sums up the hosts of both versions as the last poll found them.
type fleet struct {
	hosts, candidates, refusing int
	// slots are those of the candidates that reply and take calls, warmSlots those of
	// the warm ones among them, and oldSlots those of the old version.
	slots, warmSlots, oldSlots int
	oldRunning                 int
	// idle is set if every live owner of the old version refuses new calls and runs
	// none.
	idle bool
}

func (m *Manager) fleet(r *rollout, replies []polled) fleet {
	f := fleet{idle: true, hosts: len(replies)}
	for _, p := range replies {
		version := r.decision.evidence[p.host.ID].version
		switch {
		case version != r.order.Target:
			f.oldSlots += p.host.Slots
			f.oldRunning += max(p.reply.Running, 0)
			if !p.ok || p.reply.Phase != PhasePromoting || p.reply.Running != 0 {
				f.idle = false
			}
			continue
		case p.ok && p.reply.SelfBad:
			f.refusing++
		case p.ok:
			f.slots += p.host.Slots
			if !p.host.Cold {
				f.warmSlots += p.host.Slots
			}
		}
		f.candidates++
	}
	return f
}

// covers reports whether the slots are enough for the load of the old version: with some
// to spare, or as many as the old version has.
func (f fleet) covers(slots int, load float64) bool {
	return slots > 0 && (float64(slots)*capacityPart >= load || f.oldSlots > 0 && slots >= f.oldSlots)
}

// decide advances a rollout by the evidence of a poll.
func (m *Manager) decide(r *rollout, replies []polled, now time.Time) {
	d := &r.decision
	old, candidates := d.versions(r.order.Target)
	d.old, d.new = totals(old), totals(candidates)
	f := m.fleet(r, replies)
	if r.phase == PhaseCanary {
		d.load = max(d.load, float64(f.oldRunning), busyLoad(old, r.order.Over, r.elapsed(now)))
	}
	if d.inForce || m.seenInForce(r, f, now) {
		// Stored as completed without a promotion.
		d.wantComplete = true
		return
	}
	comparison := Comparison{Old: old, New: candidates, Candidates: f.candidates, Fraction: m.fraction()}
	finding := Analyse(comparison)
	switch {
	case finding.Bad:
		m.rollBack(r, finding.Reason, finding.Route, now)
	case f.candidates > 0 && f.refusing == f.candidates:
		m.rollBack(r, ReasonFailures, "", now)
	case r.phase == PhasePromoting:
		m.finishPromotion(r, f, now)
	default:
		comparison.Final = true
		m.promote(r, f, comparison, now)
	}
}

func part(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// busyLoad returns how many requests ran at once on average (Little's law) in the
// busiest complete part of the window.
func busyLoad(old []Evidence, over, elapsed time.Duration) float64 {
	length := sliceLength(over)
	busiest := time.Duration(0)
	all := merge(old)
	for i, slice := range all.Slices {
		if i == 0 && all.First > 0 {
			continue // This part has the responses of all before it.
		}
		if time.Duration(all.First+i+1)*length > elapsed {
			break
		}
		busy := time.Duration(0)
		for _, counts := range slice {
			busy += counts.Busy
		}
		busiest = max(busiest, busy)
	}
	return float64(busiest) / float64(length)
}

// seenInForce reports whether the target was in force before the order: an owner saw
// it, or no host of the service has had another version for a while.
func (m *Manager) seenInForce(r *rollout, f fleet, now time.Time) bool {
	if f.candidates == 0 || len(m.otherVersions(r.order.Service, r.order.Target)) > 0 {
		return false
	}
	return r.phase == PhaseCanary && f.candidates == f.hosts &&
		(r.wasInForce || r.base == "" && r.storage.read && r.elapsed(now) >= inForceTime)
}

// promote begins the promotion in the last part of the window, if the new version
// passed and can take the load. Later it rolls back.
func (m *Manager) promote(r *rollout, f fleet, comparison Comparison, now time.Time) {
	window := m.promotionTime(r.order.Over)
	elapsed := r.elapsed(now)
	if elapsed < r.order.Over-window {
		return
	}
	reason := m.obstacle(r, f, Analyse(comparison), elapsed)
	late := elapsed >= r.order.Over-part(window, lastPromotionPart)
	switch {
	case reason == "" && (!late || r.decision.rounds == 0): // A decider that finds the order late may still promote.
		m.enter(r, PhasePromoting, ReasonPassed, now)
		eventPromoting.Log(event.Fields{"service": r.order.Service, "target": r.order.Target, "order": r.order.ID})
	case reason == ReasonFailures, reason == ReasonSlow, late:
		if reason == "" {
			reason = ReasonLate
		}
		m.rollBack(r, reason, "", now)
	}
}

// obstacle returns why the new version can't be promoted now, "" if it can.
func (m *Manager) obstacle(r *rollout, f fleet, finding Finding, elapsed time.Duration) Reason {
	switch {
	case f.hosts == 0:
		return ReasonUnknownService
	case f.candidates == 0:
		return ReasonUnknownVersion
	case finding.Bad:
		return finding.Reason
	case elapsed >= r.order.Over && r.decision.new.Responses == 0:
		return ReasonLate
	case !finding.Enough:
		return ReasonNoEvidence
	case !f.covers(f.warmSlots, r.decision.load):
		return ReasonNotReady
	case !r.storage.begun:
		return ReasonStoreUnavailable
	}
	return ""
}

// finishPromotion asks for the rollout to be stored as completed once the old version
// is idle, or after half of the time for the promotion. If that can't be stored by the
// deadline, the rollout is rolled back, since the old version still runs.
func (m *Manager) finishPromotion(r *rollout, f fleet, now time.Time) {
	window := m.promotionTime(r.order.Over)
	promoted := now.Sub(r.promotedAt)
	due := promoted >= window/2 || f.idle || r.elapsed(now) >= r.order.Over-part(window, lastCompletionPart)
	able := f.covers(f.slots, r.decision.load)
	if due && able && promoted >= part(window, minPromotionPart) {
		r.decision.wantComplete = true
	}
	switch {
	case f.candidates == 0 || promoted >= window && r.elapsed(now) >= r.order.Over && !able:
		m.rollBack(r, ReasonNotReady, "", now)
	case promoted >= window && r.elapsed(now) >= r.order.Over && !r.storage.busy:
		m.rollBack(r, ReasonStoreUnavailable, "", now)
	}
}

// rollBack takes effect at once; it is stored afterwards.
func (m *Manager) rollBack(r *rollout, reason Reason, route string, now time.Time) {
	r.decision.wantComplete = false
	m.enter(r, PhaseRolledBack, reason, now)
	eventRolledBack.Log(event.Fields{
		"service": r.order.Service, "target": r.order.Target, "order": r.order.ID,
		"reason": string(reason), "route": route, "old": r.decision.old, "new": r.decision.new,
	})
}
