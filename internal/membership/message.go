package membership

import (
	"context"
	"fmt"
)

// Ping is a probe. Its updates are changes that the sender forwards.
type Ping struct {
	From    string
	Updates []Member
}

// Pong is the response to a Ping. Its updates are changes that the receiver of the
// Ping forwards.
type Pong struct {
	Updates []Member
}

// PingRequest asks a node to probe the target on behalf of the sender.
type PingRequest struct {
	Target string
}

// Digest is the request of [RPC.Compare]: the digests of the sender's buckets.
type Digest struct {
	Buckets [bucketCount]uint64
}

// Difference is the response of [RPC.Compare]: the receiver's bucket digests and its
// members in the buckets that differ.
type Difference struct {
	Buckets [bucketCount]uint64
	Members []Member
}

// RPC serves the calls of other nodes.
type RPC struct{ list *List }

// Ping merges the sender's updates and responds with this node's.
func (r *RPC) Ping(args *Ping, reply *Pong) error {
	return r.list.do(func() {
		r.list.mergeAll(args.Updates)
		reply.Updates = r.list.roster.takeUpdatesFor(args.From)
	})
}

// PingRequest probes another node for the sender.
func (r *RPC) PingRequest(args *PingRequest, _ *Pong) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if err := r.list.ping(ctx, args.Target); err != nil {
		return fmt.Errorf("membership: probe of %s: %w", args.Target, err)
	}
	return nil
}

// Compare returns this node's bucket digests and its members in the buckets that
// differ from the sender's.
func (r *RPC) Compare(args *Digest, reply *Difference) error {
	return r.list.do(func() {
		reply.Buckets = r.list.roster.digests
		reply.Members = r.list.roster.differingMembers(args.Buckets)
	})
}

// Merge merges members that the sender knows into the roster.
func (r *RPC) Merge(args *Ping, _ *Pong) error {
	return r.list.do(func() { r.list.mergeAll(args.Updates) })
}
