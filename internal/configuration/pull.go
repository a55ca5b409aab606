package configuration

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"curranthold.example/curranthold/pkg/object"
)

const (
	// pullRetry is the mean time between attempts to catch up.
	pullRetry = 200 * time.Millisecond
	// After a pull from a peer failed or returned no later generation, a host that
	// does not poll reads the table or source with probability 1/tableFallbackOdds.
	tableFallbackOdds = 16
)

var (
	errNothingLater      = errors.New("configuration: the peer has no later generation")
	errGenerationChanged = errors.New("configuration: the peer's generation changed between two pages")
)

// pullLoop catches up with the highest generation seen, first from the host that
// reported it.
func (r *Replica) pullLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case address := <-r.pulls:
			r.pullUntilCurrent(address)
		}
	}
}

func (r *Replica) pullUntilCurrent(address string) {
	for r.Snapshot().generation < r.highestSeen.Load() {
		if r.catchUp(r.ctx, address) == nil {
			continue
		}
		metricPullFailures.Add(1)
		if !r.wait(jittered(pullRetry)) {
			return
		}
		address = r.randomAddress()
	}
}

// randomAddress returns the address of a random host, usually of this zone, or ""
// if no host is known.
func (r *Replica) randomAddress() string {
	v := r.view.Load()
	hosts := v.zone(r.config.Zone).hosts
	if len(hosts) < 2 || rand.N(4) == 0 {
		for _, zone := range v.zones {
			hosts = zone.hosts
			break
		}
	}
	if len(hosts) == 0 {
		return ""
	}
	return hosts[rand.N(len(hosts))].Address
}

// catchUp fetches later changes from the host at address. If the address is empty,
// or that host fails or has no later generation, it fetches them from the table or
// source. Hosts that do not poll do so only with probability 1/tableFallbackOdds, so
// that a whole zone that is behind does not overload the table or source.
func (r *Replica) catchUp(ctx context.Context, address string) error {
	before := r.Snapshot().generation
	err := errNothingLater
	if address != "" {
		err = r.catchUpFromPeer(ctx, address)
	}
	if err == nil && r.Snapshot().generation > before {
		r.pushIfPoller(before)
		return nil
	}
	if !r.isPoller() && rand.N(tableFallbackOdds) != 0 {
		return errNothingLater
	}
	if r.config.Source != nil {
		return r.catchUpFromSource(before)
	}
	generation, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	if generation <= before {
		return errNothingLater
	}
	if err := r.catchUpFromTable(ctx, generation); err != nil {
		return err
	}
	r.pushIfPoller(before)
	return nil
}

// catchUpFromSource reads the source and returns errNothingLater if it has no
// generation later than before.
func (r *Replica) catchUpFromSource(before uint64) error {
	r.readSource(0)
	if r.Snapshot().generation <= before {
		return errNothingLater
	}
	return nil
}

// catchUpFromPeer pulls changes until the node has the peer's generation.
func (r *Replica) catchUpFromPeer(ctx context.Context, address string) error {
	for {
		reply, err := r.pullFrom(ctx, address)
		if err != nil {
			return err
		}
		if reply.Generation <= r.Snapshot().generation {
			return nil
		}
		if reply.TooOld {
			return r.fetchAllObjects(ctx, address)
		}
		if err := r.submitChanges(ctx, reply.Changes); err != nil {
			return err
		}
	}
}

func (r *Replica) pullFrom(ctx context.Context, address string) (PullReply, error) {
	metricPulls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var reply PullReply
	args := &PullArgs{After: r.Snapshot().generation}
	err := r.config.Peers.Call(ctx, address, ServiceName+".Pull", args, &reply)
	return reply, err
}

// fetchAllObjects fetches all objects from a peer, page by page.
func (r *Replica) fetchAllObjects(ctx context.Context, address string) error {
	metricSnapshotsFetched.Add(1)
	objects := map[object.ID]object.Object{}
	var generation, revision uint64
	for args := (FetchArgs{}); ; {
		reply, err := r.fetchPage(ctx, address, args)
		if err != nil {
			return err
		}
		if generation != 0 && reply.Generation != generation {
			return errGenerationChanged
		}
		generation, revision = reply.Generation, reply.Revision
		page := Change{Generation: generation, Entries: reply.Entries}
		if err := page.applyTo(objects); err != nil {
			return err
		}
		if !reply.More || len(reply.Entries) == 0 {
			return r.submitSnapshot(ctx, generation, revision, objects)
		}
		args.After = reply.Entries[len(reply.Entries)-1].ID
	}
}

func (r *Replica) fetchPage(ctx context.Context, address string, args FetchArgs) (FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var reply FetchReply
	err := r.config.Peers.Call(ctx, address, ServiceName+".Fetch", &args, &reply)
	return reply, err
}
