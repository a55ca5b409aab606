package configuration

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// maxPushBytes is the maximum size of the changes in a push. A push of larger
// changes omits them, and its receivers pull them from the sender.
const maxPushBytes = 64 << 10

// pushTimeout bounds the time for which a host forwards a push.
const pushTimeout = 3 * time.Second

// PushArgs carries changes to a host, which forwards them to the rest of the range.
type PushArgs struct {
	Sender Sender
	// Address is the address of the host to pull the changes from if they are not
	// included.
	Address string
	Changes []Change
	// Generation is the generation after the changes.
	Generation uint64
	Range      Range
	// WholeZone replaces Range: the receiver forwards the push to all hosts that
	// it knows in its own zone.
	WholeZone bool
}

// PushReply acknowledges a push.
type PushReply struct {
	Sender Sender
	// Mismatch means that the receiver could not resolve the range because it has
	// a different host list. The sender repeats the push with an explicit list.
	Mismatch bool
}

// Push applies the changes. It forwards them in a separate goroutine, so that the
// sender does not wait for the rest of the range.
func (p *RPC) Push(args *PushArgs, reply *PushReply) error {
	r := p.replica
	metricPushesReceived.Add(1)
	forwardSpan, ok := r.forwardSpan(args)
	err := r.submitChanges(r.ctx, args.Changes)
	if r.Snapshot().generation < args.Generation {
		r.requestPull(args.Generation, args.Address)
	}
	if err == nil {
		r.observeSender(args.Sender)
	}
	reply.Sender = r.sender()
	reply.Mismatch = !ok
	if ok && len(forwardSpan.hosts) > 0 {
		r.goTracked(func() { r.forwardPush(args, forwardSpan) })
	}
	return nil
}

// forwardSpan returns the hosts that this host must forward a push to; ok is false
// if the range cannot be resolved.
func (r *Replica) forwardSpan(args *PushArgs) (span, bool) {
	zone := r.view.Load().zone(r.config.Zone)
	if args.WholeZone {
		return zone.span(), true
	}
	s, ok := zone.resolve(args.Range)
	if !ok || len(s.hosts) == 0 {
		return span{}, ok
	}
	return s.rest(), true
}

// forwardPush forwards a push after this node has reached its generation, so that
// the receivers can pull from this node.
func (r *Replica) forwardPush(args *PushArgs, s span) {
	ctx, cancel := context.WithTimeout(r.ctx, pushTimeout)
	defer cancel()
	if r.Snapshot().generation < args.Generation {
		_ = r.AwaitAfter(ctx, args.Generation-1) // After a timeout the push still announces the generation.
	}
	r.pushToSpan(ctx, s, r.newPushArgs(args.Changes, args.Generation))
}

// pushIfPoller pushes the changes after a generation to the zone if this host is
// one of its pollers.
func (r *Replica) pushIfPoller(after uint64) {
	if r.isPoller() {
		r.goTracked(func() { r.pushZone(r.ctx, after) })
	}
}

func (r *Replica) pushZone(ctx context.Context, after uint64) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	zone := r.view.Load().zone(r.config.Zone)
	r.pushToSpan(ctx, zone.span(), r.newPushArgsSince(after))
}

// newPushArgsSince returns a push of the changes after a generation, without a
// range.
func (r *Replica) newPushArgsSince(after uint64) PushArgs {
	s := r.state.Load()
	changes, _ := s.changesAfter(after)
	return r.newPushArgs(changes, s.snapshot.generation)
}

func (r *Replica) newPushArgs(changes []Change, generation uint64) PushArgs {
	size := 0
	for _, change := range changes {
		size += change.size()
	}
	if size > maxPushBytes {
		changes = nil
	}
	own := r.view.Load().byID[r.config.Host]
	return PushArgs{Sender: r.sender(), Address: own.Address, Changes: changes, Generation: generation}
}

// pushToSpan pushes to all hosts of a span: it splits the span into parts and
// sends the push to the first host of each, which forwards it to the rest of the
// part. If a first host is unreachable, this host pushes to the rest itself.
func (r *Replica) pushToSpan(ctx context.Context, s span, args PushArgs) {
	if ctx.Err() != nil {
		return
	}
	var parts conc.WaitGroup
	defer parts.Wait()
	for _, part := range s.split() {
		parts.Go(func() {
			first := part.hosts[0]
			if first.ID == r.config.Host || r.pushToPart(ctx, first, part, args) != nil {
				r.pushToSpan(ctx, part.rest(), args)
			}
		})
	}
}

// pushToPart sends a push to the first host of a part. If that host has a different
// host list, it sends the push again with the hosts of the part.
func (r *Replica) pushToPart(ctx context.Context, first Host, part span, args PushArgs) error {
	args.Range = part.toRange()
	reply, err := r.sendPush(ctx, first.Address, &args)
	if err == nil && reply.Mismatch {
		args.Range = part.explicitRange()
		_, err = r.sendPush(ctx, first.Address, &args)
	}
	return err
}

func (r *Replica) sendPush(ctx context.Context, address string, args *PushArgs) (PushReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	metricPushesSent.Add(1)
	started := r.config.Now()
	var reply PushReply
	err := r.config.Peers.Call(ctx, address, ServiceName+".Push", args, &reply)
	if err != nil {
		metricPushFailures.Add(1)
		return reply, err
	}
	r.observeReply(reply.Sender, started)
	return reply, nil
}

// announce pushes the changes after a generation to this zone and to the first
// reachable poller of each other zone. It returns once the push to this zone is
// done and, for each other zone, a poller has acknowledged it or all have failed.
func (r *Replica) announce(ctx context.Context, after uint64) {
	var zones conc.WaitGroup
	defer zones.Wait()
	zones.Go(func() { r.pushZone(ctx, after) })
	for name, zone := range r.view.Load().zones {
		if name != r.config.Zone {
			zones.Go(func() { r.announceToZone(ctx, zone, after) })
		}
	}
}

func (r *Replica) announceToZone(ctx context.Context, zone *zoneView, after uint64) {
	args := r.newPushArgsSince(after)
	args.WholeZone = true
	for i, h := range zone.hosts {
		if i == pollersPerZone {
			return
		}
		if _, err := r.sendPush(ctx, h.Address, &args); err == nil {
			return
		}
	}
}
