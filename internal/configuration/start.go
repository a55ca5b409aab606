package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/event"
)

const (
	// startRetry is the mean time between attempts to become ready.
	startRetry = 250 * time.Millisecond
	// waitingAfter is the number of attempts after which the wait is logged.
	waitingAfter = 4
	// samplePerZone is the number of hosts of each zone that are asked at the
	// start: those that poll and random ones.
	samplePerZone = 2 * pollersPerZone
)

// start makes the node ready.
func (r *Replica) start() {
	for attempt := 1; ; attempt++ {
		if r.becomeReady(r.ctx) {
			r.readyNow.Store(true)
			eventReady.Log(event.Fields{"generation": r.Snapshot().generation})
			close(r.ready)
			return
		}
		if attempt == waitingAfter {
			eventWaiting.Log(event.Fields{"generation": r.Snapshot().generation})
		}
		if !r.wait(jittered(startRetry)) {
			return
		}
	}
}

// becomeReady reports whether the node holds the highest generation that it can
// learn of. The table's word is enough, since each accepted generation is in
// it; without it, that of the ready hosts among a sample of all zones.
func (r *Replica) becomeReady(ctx context.Context) bool {
	if r.config.Source != nil {
		return r.readyFromSource()
	}
	generation, err := r.readHead(ctx)
	if err == nil {
		if r.Snapshot().generation < generation {
			err = r.catchUpFromTable(ctx, generation)
		}
		return err == nil && r.inForce.Load() >= generation
	}
	return r.readyFromPeers(ctx)
}

// readyFromPeers reports whether the node holds the highest generation of the
// ready hosts among a sample.
func (r *Replica) readyFromPeers(ctx context.Context) bool {
	best, found := r.highestPeer(ctx)
	if !found {
		return false
	}
	if r.Snapshot().generation < best.generation {
		if r.catchUpFromPeer(ctx, best.address) != nil {
			return false
		}
	}
	return r.inForce.Load() >= best.generation
}

type peerHead struct {
	generation uint64
	address    string
}

// highestPeer returns the ready host with the highest generation among a
// sample. A host that is not ready itself vouches for nothing.
func (r *Replica) highestPeer(ctx context.Context) (best peerHead, found bool) {
	var mu sync.Mutex
	var asked conc.WaitGroup
	for _, h := range r.sample() {
		asked.Go(func() {
			reply, err := r.head(ctx, h.Address)
			if err != nil || !reply.Ready {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if !found || reply.Sender.Generation > best.generation {
				best = peerHead{generation: reply.Sender.Generation, address: h.Address}
			}
			found = true
		})
	}
	asked.Wait()
	return best, found
}

// sample returns a few hosts of each zone, this one left out.
func (r *Replica) sample() []Host {
	var hosts []Host
	for _, zone := range r.view.Load().zones {
		for i := range min(samplePerZone, len(zone.hosts)) {
			h := zone.hosts[i]
			if i >= pollersPerZone {
				h = zone.hosts[rand.N(len(zone.hosts))]
			}
			if h.ID != r.config.Host {
				hosts = append(hosts, h)
			}
		}
	}
	return hosts
}
