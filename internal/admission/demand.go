package admission

import (
	"math"
	"time"

	"curranthold.example/curranthold/pkg/object"
)

const (
	// MinAdmitProbability is the smallest probability with which a root request is
	// admitted, so that the demand of every urgency stays known.
	MinAdmitProbability = 0.02
	// demandWindow is the time constant with which the estimate of the demand decays.
	demandWindow = 300 * time.Millisecond
	// demandInterval is the minimum time between two updates of the estimate.
	demandInterval = 10 * time.Millisecond
	// backlogTime is the time in which the queue is to be worked off. The queue thus
	// keeps the utilization below 1 as far as random arrivals require.
	backlogTime = time.Second
	// maxBacklogShare is the largest share of the capacity that is set aside for it.
	maxBacklogShare = 0.5
	// openingRate is the number of urgencies a second by which the level may open.
	// Few requests of a refused urgency arrive, so the estimate of its demand may be
	// far too low for a moment.
	openingRate = 15
)

// demand estimates the load that the callers of a backend server would cause if all of
// their root requests were admitted, and the admission level that fits its capacity. The
// zero value does nothing until it is enabled.
type demand struct {
	enabled bool
	// arrived counts the requests since updated, and rates holds the requests a second.
	arrived, rates [object.UrgencyCount]arrivals
	updated        time.Time
	// slotTime is the mean time for which a request that the backend server has
	// answered held its slot.
	slotTime time.Duration
	// closed is the level; see Load.Closed.
	closed float64
}

// arrivals counts requests of one urgency: those that arrive, and those that would arrive
// if all root requests were admitted.
type arrivals struct{ actual, demanded float64 }

// observe counts a request that arrives, unless another host has counted it.
func (d *demand) observe(r *Request) {
	if !d.enabled || r.DemandCounted {
		return
	}
	probability := r.AdmitProbability
	if !(probability > 0 && probability < 1) {
		probability = 1
	}
	arrived := &d.arrived[r.Urgency]
	arrived.actual++
	arrived.demanded += 1 / max(probability, MinAdmitProbability)
}

// observeEnd updates the mean slot time with a request that has ended.
func (d *demand) observeEnd(outcome Outcome, took time.Duration) {
	if !d.enabled || outcome > FailedNested {
		return
	}
	d.slotTime = smoothSlotTime(d.slotTime, took)
}

// level returns the level for a backend server with the given limit on running requests
// and the given queue.
func (d *demand) level(limit, queued int, now time.Time) float64 {
	elapsed := now.Sub(d.updated)
	if !d.enabled || elapsed < demandInterval {
		return d.closed
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(demandWindow))
	for u := range d.rates {
		rate, arrived := &d.rates[u], &d.arrived[u]
		rate.actual += weight * (arrived.actual/elapsed.Seconds() - rate.actual)
		rate.demanded += weight * (arrived.demanded/elapsed.Seconds() - rate.demanded)
		*arrived = arrivals{}
	}
	d.updated = now
	opened := openingRate * min(elapsed, demandWindow).Seconds()
	d.closed = max(d.fit(limit, queued), d.closed-opened)
	return d.closed
}

// fit returns the level at which the admitted demand equals the capacity. Requests of
// less urgent urgencies that arrive all the same, from entries that know the level late,
// take a part of the capacity.
func (d *demand) fit(limit, queued int) float64 {
	capacity := float64(limit)
	backlog := float64(queued) * d.slotTime.Seconds() / backlogTime.Seconds()
	capacity -= min(backlog, maxBacklogShare*capacity)
	for u, rate := range d.rates {
		needed := rate.demanded * d.slotTime.Seconds()
		if needed > capacity {
			for _, lower := range d.rates[u+1:] {
				capacity -= lower.actual * d.slotTime.Seconds()
			}
			return float64(object.UrgencyCount-u) - max(capacity, 0)/needed
		}
		capacity -= needed
	}
	return 0
}
