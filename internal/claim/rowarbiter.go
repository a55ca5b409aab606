package claim

import (
	"context"
	"errors"
	"time"

	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/pkg/verdict"
)

// beginRow claims a request that has an idempotency key. The table decides on the
// claim.
func (c *Claimer) beginRow(ctx context.Context, r Request) (*Claim, *verdict.Error) {
	a := &rowArbiter{claimer: c, request: hashedRequest{r.Account, hashRequest(r)}}
	id := newID()
	res := a.claim(ctx, id)
	switch res.outcome {
	case Granted:
		a.rowRef = res.rowRef
		return &Claim{id: id, arbiter: a, claimer: c}, nil
	case Held:
		return nil, errHeld()
	case AlreadyRan:
		return nil, errAlreadyRan(res.status)
	default:
		if res.unknown {
			_ = c.deliver(a, id, claimEnd{state: released, revoke: true}) // If this fails, the claim may stay held.
		}
		return nil, errArbiterUnreachable(errNoDecision)
	}
}

// errNoDecision means that the table made no decision on a claim: it did not respond
// in time, all commits conflicted, the queue was full, or the batcher was closed.
var errNoDecision = errors.New("the table does not answer in time")

// rowArbiter reaches the table, which decides on the claims of one request.
type rowArbiter struct {
	claimer *Claimer
	request hashedRequest
	// rowRef is the row that holds the granted claim, zero if none was granted.
	rowRef rowRef
}

func (a *rowArbiter) local() bool { return false }

// claim asks the aggregator to write the claim. If that fails, this host
// writes it itself, with the same ID.
func (a *rowArbiter) claim(ctx context.Context, id ID) result {
	unknown := false
	if host, other := a.claimer.aggregator(a.request.hash); other {
		res, err := a.claimVia(ctx, host, id)
		if err == nil {
			return res
		}
		unknown = !errors.Is(err, peer.ErrNotSent)
	}
	res := a.claimer.batcher.claim(ctx, a.request, id)
	res.unknown = res.unknown || unknown
	return res
}

func (a *rowArbiter) claimVia(ctx context.Context, host Host, id ID) (result, error) {
	args := &RowBeginArgs{Account: a.request.account, Key: a.request.hash, ID: id, Timeout: rpcTimeout}
	if deadline, ok := ctx.Deadline(); ok {
		args.Timeout = max(0, time.Until(deadline))
	}
	var reply RowBeginReply
	if err := a.claimer.call(ctx, host.Address, "Claim.BeginRow", args, &reply); err != nil {
		return result{}, err
	}
	if reply.ID != id {
		return result{}, errMismatch
	}
	return result{
		outcome: reply.Outcome, status: reply.Status, unknown: reply.Unknown,
		rowRef: rowRef{row: reply.Row, version: reply.Version},
	}, nil
}

// finish asks the aggregator to write the end of the claim. If that fails, this host
// writes it itself.
func (a *rowArbiter) finish(ctx context.Context, id ID, e claimEnd) error {
	if host, other := a.claimer.aggregator(a.request.hash); other {
		args := &RowFinishArgs{
			Account: a.request.account, Key: a.request.hash, End: newEnd(id, e),
			Row: a.rowRef.row, Version: a.rowRef.version,
		}
		var reply FinishReply
		err := a.claimer.call(ctx, host.Address, "Claim.FinishRow", args, &reply)
		if err == nil && reply.ID == id {
			return nil
		}
	}
	return a.claimer.batcher.finish(ctx, a.request, id, e, a.rowRef)
}
