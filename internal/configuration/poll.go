package configuration

import (
	"math/rand/v2"
	"time"

	"curranthold.example/curranthold/internal/event"
)

const (
	// pollInterval is the mean time between reads of the head row.
	pollInterval = 500 * time.Millisecond
	// antiEntropyInterval is the mean time between exchanges of generations with
	// the parent host in the zone's survey tree.
	antiEntropyInterval = 2 * time.Second
)

// jittered returns a random duration within 25 % of the mean, so that hosts do not
// act at the same time.
func jittered(mean time.Duration) time.Duration {
	return mean*3/4 + rand.N(mean/2)
}

// isPoller reports whether this host is one of the hosts that poll the head row,
// or watch the source, on behalf of their zone. A host that is missing from the
// list of live hosts is one too.
func (r *Replica) isPoller() bool {
	if r.config.Source != nil {
		return r.watchTimeout() > 0
	}
	position := r.view.Load().zone(r.config.Zone).position(r.config.Host)
	return position < pollersPerZone
}

func (r *Replica) pollLoop() {
	for r.wait(jittered(pollInterval)) {
		if r.isPoller() {
			r.pollOnce()
		}
	}
}

// pollOnce reads the head row and pushes new changes to the zone. If the table is
// unreachable, it queries the other zones instead.
func (r *Replica) pollOnce() {
	metricPolls.Add(1)
	generation, err := r.readHead(r.ctx)
	if err != nil {
		r.recordUpstreamFailure(err)
		r.queryOtherZones()
		return
	}
	if !r.upstreamReachable.Swap(true) {
		eventTableReachable.Log(event.Fields{"generation": generation})
	}
	before := r.Snapshot().generation
	if generation <= before {
		return
	}
	if err := r.catchUpFromTable(r.ctx, generation); err != nil {
		r.recordUpstreamFailure(err)
	}
	if r.Snapshot().generation > before {
		r.pushIfPoller(before)
	}
}

// recordUpstreamFailure records that the table, or the source, could not be read.
func (r *Replica) recordUpstreamFailure(err error) {
	if r.ctx.Err() != nil {
		return
	}
	metricPollFailures.Add(1)
	if r.upstreamReachable.Swap(false) {
		eventTableUnreachable.Log(event.Fields{"error": err.Error(), "generation": r.Snapshot().generation})
	}
}

// queryOtherZones exchanges generations with one polling host of each other zone.
func (r *Replica) queryOtherZones() {
	for name, zone := range r.view.Load().zones {
		if name == r.config.Zone || len(zone.hosts) == 0 {
			continue
		}
		h := zone.hosts[rand.N(min(pollersPerZone, len(zone.hosts)))]
		_, _ = r.callHead(r.ctx, h.Address) // The next round queries again.
	}
}

// antiEntropyLoop periodically exchanges generations with the parent host in the
// zone's survey tree (see parent). A host that missed a push learns of it this way,
// and all hosts learn when a host of their zone was last up to date with the platform
// or another zone.
func (r *Replica) antiEntropyLoop() {
	for r.wait(jittered(antiEntropyInterval)) {
		r.antiEntropyOnce()
	}
}

// antiEntropyOnce exchanges generations with the parent host, or with a random host of
// the zone if the parent is unreachable.
func (r *Replica) antiEntropyOnce() {
	zone := r.view.Load().zone(r.config.Zone)
	hosts := zone.hosts
	position := zone.position(r.config.Host)
	if position <= 0 {
		return
	}
	parentHost := hosts[parent(position, len(hosts))]
	if _, err := r.callHead(r.ctx, parentHost.Address); err == nil {
		return
	}
	fallback := hosts[rand.N(len(hosts))]
	if fallback.ID != r.config.Host && fallback.ID != parentHost.ID {
		_, _ = r.callHead(r.ctx, fallback.Address) // The next round queries again.
	}
}
