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
	// waitingLogAttempts is the number of attempts after which the node logs that
	// it is still waiting.
	waitingLogAttempts = 4
	// samplePerZone is the number of hosts of each zone that a starting node asks:
	// the pollers and as many random ones.
	samplePerZone = 2 * pollersPerZone
)

// runStartup repeats attempts until the node is ready.
func (r *Replica) runStartup() {
	for attempt := 1; ; attempt++ {
		if r.becomeReady(r.ctx, attempt) {
			r.isReady.Store(true)
			eventReady.Log(event.Fields{"generation": r.Snapshot().generation})
			close(r.ready)
			return
		}
		if attempt == waitingLogAttempts {
			eventWaiting.Log(event.Fields{"generation": r.Snapshot().generation})
		}
		if !r.wait(jittered(startRetry)) {
			return
		}
	}
}

// becomeReady catches up and reports whether the node has the highest generation
// that it can learn of. If the table responds, its head row is sufficient, since
// the table has every accepted generation. Otherwise the node asks the ready hosts
// among a sample of all zones.
func (r *Replica) becomeReady(ctx context.Context, attempt int) bool {
	if r.config.Source != nil {
		return r.readyFromSource(attempt)
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

// readyFromPeers catches up and reports whether the node has the highest generation
// of the ready hosts among a sample.
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

// peerGeneration is the generation reported by the host at address.
type peerGeneration struct {
	generation uint64
	address    string
}

// highestPeer returns the ready host with the highest generation among a sample.
// Hosts that are not ready are ignored, since their generation may be out of date.
func (r *Replica) highestPeer(ctx context.Context) (best peerGeneration, found bool) {
	var mu sync.Mutex
	var calls conc.WaitGroup
	for _, h := range r.sample() {
		calls.Go(func() {
			reply, err := r.callHead(ctx, h.Address)
			if err != nil || !reply.Ready {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if !found || reply.Sender.Generation > best.generation {
				best = peerGeneration{generation: reply.Sender.Generation, address: h.Address}
			}
			found = true
		})
	}
	calls.Wait()
	return best, found
}

// sample returns a few hosts of each zone, without this one.
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
