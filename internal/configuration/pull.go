package configuration

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"curranthold.example/curranthold/pkg/object"
)

const (
	// pullRetry is the mean time between attempts of a node that is behind.
	pullRetry = 200 * time.Millisecond
	// tableShare is the share, one in so many, of attempts in which a node that
	// does not poll turns to the table when a peer could not help.
	tableShare = 16
)

var (
	errPeerBehind = errors.New("configuration: the peer has nothing later")
	errMoved      = errors.New("configuration: the peer's generation changed between two pages")
)

// pull brings the node up to the highest generation it heard of, first from the
// host that it heard it from.
func (r *Replica) pull() {
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
	for r.Snapshot().generation < r.known.Load() {
		if r.catchUp(r.ctx, address) == nil {
			continue
		}
		countPullFailures.Add(1)
		if !r.wait(jittered(pullRetry)) {
			return
		}
		address = r.otherAddress()
	}
}

// otherAddress returns the address of some other host, mostly of this zone.
func (r *Replica) otherAddress() string {
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

// catchUp brings the node to what the host at address has; without an address,
// or where that host has nothing later, to what the table has. Nodes that do not
// poll seldom turn to the table, so that a zone that is behind does not flood it.
func (r *Replica) catchUp(ctx context.Context, address string) error {
	before := r.Snapshot().generation
	err := errPeerBehind
	if address != "" {
		err = r.catchUpFromPeer(ctx, address)
	}
	if err == nil && r.Snapshot().generation > before {
		r.passOn(before)
		return nil
	}
	if !r.polls() && rand.N(tableShare) != 0 {
		return errPeerBehind
	}
	if r.config.Source != nil {
		return r.catchUpFromSource(before)
	}
	generation, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	if generation <= before {
		return errPeerBehind
	}
	if err := r.catchUpFromTable(ctx, generation); err != nil {
		return err
	}
	r.passOn(before)
	return nil
}

// catchUpFromSource reads the source in place of a peer that had nothing later.
func (r *Replica) catchUpFromSource(before uint64) error {
	r.readSource(0)
	if r.Snapshot().generation <= before {
		return errPeerBehind
	}
	return nil
}

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
			return r.fetchWhole(ctx, address)
		}
		if err := r.offerChanges(ctx, reply.Changes); err != nil {
			return err
		}
	}
}

func (r *Replica) pullFrom(ctx context.Context, address string) (PullReply, error) {
	countPulls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var reply PullReply
	args := &PullArgs{After: r.Snapshot().generation}
	err := r.config.Peers.Call(ctx, address, ServiceName+".Pull", args, &reply)
	return reply, err
}

// fetchWhole fetches all objects from a peer, page by page.
func (r *Replica) fetchWhole(ctx context.Context, address string) error {
	countWholes.Add(1)
	objects := map[object.ID]object.Object{}
	var generation uint64
	for args := (FetchArgs{}); ; {
		reply, err := r.fetchPage(ctx, address, args)
		if err != nil {
			return err
		}
		if generation != 0 && reply.Generation != generation {
			return errMoved
		}
		generation = reply.Generation
		page := Change{Generation: generation, Entries: reply.Entries}
		if err := page.applyTo(objects); err != nil {
			return err
		}
		if !reply.More || len(reply.Entries) == 0 {
			return r.offerWhole(ctx, generation, objects)
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
