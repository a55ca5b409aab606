package claim

import (
	"context"
	"errors"
	"time"

	"curranthold.example/curranthold/pkg/verdict"
)

// errNotClaimRow rejects a message with a row key or request hash that is not
// valid for a claim, so that other rows of the table can't be overwritten.
var errNotClaimRow = errors.New("claim: not the row of a claim")

// RPC serves requests of other hosts. It is registered as the service "Claim".
type RPC struct {
	claimer *Claimer
}

// RPC returns the receiver to register with net/rpc.
func (c *Claimer) RPC() any {
	return &RPC{claimer: c}
}

// BeginArgs asks the issuer of a ticket to grant a claim.
type BeginArgs struct {
	Ticket, Route string
	ID            ID
}

// BeginReply answers BeginArgs. A reply that does not carry the ID of the claim
// must be ignored.
type BeginReply struct {
	ID      ID
	Granted bool
	// Refusal is set if the claim is not granted.
	Refusal verdict.Error
}

func (r *BeginReply) refusal() *verdict.Error {
	if r.Granted {
		return nil
	}
	refusal := r.Refusal
	return &refusal
}

// End is the end of a claim, as it is sent between hosts.
type End struct {
	ID ID
	// Ran is true if the request ran, and false if the claim is released.
	Ran    bool
	Status int
	// Fence is set if the sender does not know whether the claim was granted. The
	// receiver then revokes the claim, so that it is not granted afterwards.
	Fence bool
}

func newEnd(id ID, e claimEnd) End {
	return End{ID: id, Ran: e.state == done, Status: e.status, Fence: e.revoke}
}

func (e End) claimEnd() claimEnd {
	if e.Ran {
		return claimEnd{state: done, status: e.Status}
	}
	return claimEnd{state: released, revoke: e.Fence}
}

// FinishArgs reports the end of a claim to the issuer of its ticket.
type FinishArgs struct {
	Ticket, Route string
	End           End
}

// FinishReply answers FinishArgs and RowFinishArgs. It carries the ID of the claim.
type FinishReply struct {
	ID ID
}

// RowBeginArgs asks an aggregator to write a claim to the table.
type RowBeginArgs struct {
	Account string
	// Key is the request hash.
	Key string
	ID  ID
	// Timeout is how long the sender waits for the claim.
	Timeout time.Duration
}

// RowBeginReply answers RowBeginArgs.
type RowBeginReply struct {
	ID      ID
	Outcome Outcome
	Status  int
	// Row and Version are the key and the version of the row that holds a granted
	// claim.
	Row     string
	Version uint64
	// Unknown is set if a delayed write may still grant the claim.
	Unknown bool
}

// RowFinishArgs asks an aggregator to write the end of a claim to the table.
// Key is the request hash. Row and Version are those of the reply that
// granted the claim, or zero if there was none.
type RowFinishArgs struct {
	Account string
	Key     string
	End     End
	Row     string
	Version uint64
}

// Begin decides on a claim of a ticket that this host issued.
func (r *RPC) Begin(args *BeginArgs, reply *BeginReply) error {
	t, err := r.claimer.ticketCodec.decode(args.Ticket)
	if err != nil {
		return err
	}
	reply.ID = args.ID
	refusal := r.claimer.issuer.begin(t, args.Route, args.ID)
	if refusal != nil {
		reply.Refusal = *refusal
		return nil
	}
	reply.Granted = true
	return nil
}

// Finish records the end of a claim of a ticket that this host issued.
func (r *RPC) Finish(args *FinishArgs, reply *FinishReply) error {
	t, err := r.claimer.ticketCodec.decode(args.Ticket)
	if err != nil {
		return err
	}
	r.claimer.issuer.finish(t, args.Route, args.End.ID, args.End.claimEnd())
	reply.ID = args.End.ID
	return nil
}

// BeginRow writes a claim to the table, in one batch with the claims of other
// hosts. It returns an error if this host is shutting down, so that the sender
// writes the claim itself.
func (r *RPC) BeginRow(args *RowBeginArgs, reply *RowBeginReply) error {
	if !isRequestHash(args.Key) {
		return errNotClaimRow
	}
	if r.claimer.isClosing() {
		return errClosed
	}
	ctx, cancel := context.WithTimeout(r.claimer.ctx, min(args.Timeout, rpcTimeout))
	defer cancel()
	res := r.claimer.batcher.claim(ctx, hashedRequest{args.Account, args.Key}, args.ID)
	*reply = RowBeginReply{
		ID: args.ID, Outcome: res.outcome, Status: res.status,
		Row: res.rowRef.row, Version: res.rowRef.version, Unknown: res.unknown,
	}
	return nil
}

// FinishRow writes the end of a claim to the table.
func (r *RPC) FinishRow(args *RowFinishArgs, reply *FinishReply) error {
	if !isRequestHash(args.Key) || !isRowOf(args.Row, args.Key) {
		return errNotClaimRow
	}
	ctx, cancel := context.WithTimeout(r.claimer.ctx, rpcTimeout)
	defer cancel()
	request := hashedRequest{args.Account, args.Key}
	rowRef := rowRef{row: args.Row, version: args.Version}
	if err := r.claimer.batcher.finish(ctx, request, args.End.ID, args.End.claimEnd(), rowRef); err != nil {
		return err
	}
	reply.ID = args.End.ID
	return nil
}
