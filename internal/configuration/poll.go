package configuration

import (
	"math/rand/v2"
	"time"

	"curranthold.example/curranthold/internal/event"
)

const (
	// pollInterval is the mean time between reads of the head row.
	pollInterval = 500 * time.Millisecond
	// gossipInterval is the mean time between exchanges of generations with the
	// host above in the zone's tree.
	gossipInterval = 2 * time.Second
)

// jittered returns a time around the mean, so that hosts do not act in step.
func jittered(mean time.Duration) time.Duration {
	return mean*3/4 + rand.N(mean/2)
}

// polls reports whether this host is one of those that poll the head for their
// zone. A host that is not in the list of live hosts polls for itself.
func (r *Replica) polls() bool {
	if r.config.Source != nil {
		return r.watchWait() > 0
	}
	position := r.view.Load().zone(r.config.Zone).position(r.config.Host)
	return position < pollersPerZone
}

func (r *Replica) poll() {
	for r.wait(jittered(pollInterval)) {
		if r.polls() {
			r.pollOnce()
		}
	}
}

// pollOnce reads the head row and pushes what is new to the zone. While the
// table is out of reach it asks the other zones in its place.
func (r *Replica) pollOnce() {
	countPolls.Add(1)
	generation, err := r.readHead(r.ctx)
	if err != nil {
		r.tableFailed(err)
		r.askOtherZones()
		return
	}
	if !r.tableOK.Swap(true) {
		eventTableUp.Log(event.Fields{"generation": generation})
	}
	before := r.Snapshot().generation
	if generation <= before {
		return
	}
	if err := r.catchUpFromTable(r.ctx, generation); err != nil {
		r.tableFailed(err)
	}
	if r.Snapshot().generation > before {
		r.passOn(before)
	}
}

func (r *Replica) tableFailed(err error) {
	if r.ctx.Err() != nil {
		return
	}
	countPollFailures.Add(1)
	if r.tableOK.Swap(false) {
		eventTableDown.Log(event.Fields{"error": err.Error(), "generation": r.Snapshot().generation})
	}
}

// askOtherZones exchanges generations with one polling host of each other zone.
func (r *Replica) askOtherZones() {
	for name, zone := range r.view.Load().zones {
		if name == r.config.Zone || len(zone.hosts) == 0 {
			continue
		}
		h := zone.hosts[rand.N(min(pollersPerZone, len(zone.hosts)))]
		_, _ = r.head(r.ctx, h.Address) // The next round asks again.
	}
}

// gossip exchanges generations with the host above in the zone's tree, so that
// a host that a push did not reach learns of it, and that all hosts know when
// their zone last heard the platform.
func (r *Replica) gossip() {
	for r.wait(jittered(gossipInterval)) {
		r.gossipOnce()
	}
}

func (r *Replica) gossipOnce() {
	zone := r.view.Load().zone(r.config.Zone)
	hosts := zone.hosts
	position := zone.position(r.config.Host)
	if position <= 0 {
		return
	}
	above := hosts[parent(position, len(hosts))]
	if _, err := r.head(r.ctx, above.Address); err == nil {
		return
	}
	other := hosts[rand.N(len(hosts))]
	if other.ID != r.config.Host && other.ID != above.ID {
		_, _ = r.head(r.ctx, other.Address) // The next round asks again.
	}
}
