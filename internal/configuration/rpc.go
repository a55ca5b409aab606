package configuration

import (
	"context"
	"slices"
	"time"

	"curranthold.example/curranthold/pkg/object"
)

// ServiceName is the name under which the receiver of [Replica.RPC] is
// registered with net/rpc.
const ServiceName = "Configuration"

const (
	// callTimeout bounds one call to a peer that replies from memory.
	callTimeout = 500 * time.Millisecond
	// maxPullBytes bounds the size of a reply to Pull or Fetch. A single larger
	// change or object is sent alone.
	maxPullBytes = 256 << 10
)

// RPC is the net/rpc receiver for calls from other nodes.
type RPC struct{ replica *Replica }

// RPC returns the net/rpc receiver to register under [ServiceName].
func (r *Replica) RPC() any { return &RPC{replica: r} }

// Sender describes the node that sent a message.
type Sender struct {
	Host       string
	Generation uint64
	// HeardAgo is the time since the sender was last known to be up to date with
	// the platform or with another zone, as returned by [Replica.IsolatedFor].
	HeardAgo time.Duration
}

func (r *Replica) sender() Sender {
	return Sender{Host: r.config.Host, Generation: r.inForce.Load(), HeardAgo: r.IsolatedFor()}
}

// observeSender processes the sender information of a request.
func (r *Replica) observeSender(s Sender) {
	h, ok := r.view.Load().byID[s.Host]
	if !ok {
		return
	}
	r.ObserveGeneration(s.Generation, h.Address)
}

// observeReply processes the sender information of a reply. If the sender is in
// this node's zone and has no later generation, this node was up to date with the
// platform or another zone when the sender was. HeardAgo is subtracted from
// the time at which the call started, not from the present time: the reply may
// have been delayed while a process was paused.
func (r *Replica) observeReply(s Sender, started time.Time) {
	r.observeSender(s)
	if s.HeardAgo != neverUpToDate && s.Generation <= r.inForce.Load() && r.view.Load().byID[s.Host].Zone == r.config.Zone {
		r.recordUpToDate(started.Add(-s.HeardAgo))
	}
}

// HeadArgs asks a node for its generation.
type HeadArgs struct{ Sender Sender }

// HeadReply gives a node's generation, and whether the node is ready to serve.
type HeadReply struct {
	Sender Sender
	Ready  bool
}

// Head returns the node's generation.
func (p *RPC) Head(args *HeadArgs, reply *HeadReply) error {
	p.replica.observeSender(args.Sender)
	reply.Sender = p.replica.sender()
	reply.Ready = p.replica.isReady.Load()
	return nil
}

// callHead asks the host at address for its generation.
func (r *Replica) callHead(ctx context.Context, address string) (HeadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := r.config.Now()
	var reply HeadReply
	err := r.config.Peers.Call(ctx, address, ServiceName+".Head", &HeadArgs{Sender: r.sender()}, &reply)
	if err == nil {
		r.observeReply(reply.Sender, started)
	}
	return reply, err
}

// PullArgs asks a node for the changes after a generation.
type PullArgs struct{ After uint64 }

// PullReply holds consecutive changes. TooOld means that the node no longer has
// all changes after the requested generation, so that the caller must fetch the full
// snapshot.
type PullReply struct {
	Generation uint64
	Changes    []Change
	TooOld     bool
}

// Pull returns the changes after a generation, as many as fit in maxPullBytes.
func (p *RPC) Pull(args *PullArgs, reply *PullReply) error {
	s := p.replica.state.Load()
	reply.Generation = s.snapshot.generation
	changes, ok := s.changesAfter(args.After)
	reply.TooOld = !ok
	size := 0
	for _, change := range changes {
		size += change.size()
		if size > maxPullBytes && len(reply.Changes) > 0 {
			break
		}
		reply.Changes = append(reply.Changes, change)
	}
	return nil
}

// FetchArgs asks for one page of the full snapshot: the objects whose IDs follow
// After. The zero ID asks for the first page.
type FetchArgs struct{ After object.ID }

// FetchReply holds one page of the objects of a generation, in order of ID.
type FetchReply struct {
	Generation uint64
	// Revision is the operators' own number of the configuration, 0 if unknown.
	Revision uint64
	Entries  []Entry
	More     bool
}

// Fetch returns one page of the full snapshot.
func (p *RPC) Fetch(args *FetchArgs, reply *FetchReply) error {
	snapshot := p.replica.Snapshot()
	reply.Generation = snapshot.generation
	reply.Revision = snapshot.revision
	ids := snapshot.ids()
	from, found := slices.BinarySearchFunc(ids, args.After, compareIDs)
	if found {
		from++
	}
	size := 0
	for _, id := range ids[from:] {
		data, err := object.Encode(snapshot.objects[id])
		if err != nil {
			return err
		}
		size += len(data)
		if size > maxPullBytes && len(reply.Entries) > 0 {
			reply.More = true
			break
		}
		reply.Entries = append(reply.Entries, Entry{ID: id, Data: data})
	}
	return nil
}
