package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// rpcTimeout limits one call to another host, and one attempt to deliver the end
	// of a claim.
	rpcTimeout = time.Second
	// beginAttempts is the maximum number of times that the issuer of a ticket is
	// asked to grant one claim.
	beginAttempts = 3
	// beginBackoff is the wait before the second attempt. It doubles with each
	// further attempt.
	beginBackoff = 10 * time.Millisecond
)

// errMismatch means that a reply belongs to another claim.
var errMismatch = errors.New("claim: the reply carries the ID of another claim")

// beginTicket asks the issuer of the request's ticket to grant a claim.
func (c *Claimer) beginTicket(ctx context.Context, r Request) (*Claim, *verdict.Error) {
	t, err := c.ticketCodec.decode(r.Ticket)
	if err != nil {
		// The ticket may have been issued under a secret or by a software version
		// that this host doesn't know, so the request may have run.
		return nil, verdict.New(verdict.MayHaveRun, verdict.TicketRefused,
			"the ticket is not one that this fleet issued")
	}
	if t.Account != r.Account {
		return nil, verdict.New(verdict.NotRun, verdict.TicketRefused,
			"the ticket was issued to another client account")
	}
	id := newID()
	a := &ticketArbiter{claimer: c, ticket: t, text: r.Ticket, route: r.Route}
	if refusal := a.begin(ctx, id); refusal != nil {
		return nil, refusal
	}
	return &Claim{id: id, arbiter: a, claimer: c}, nil
}

// ticketArbiter reaches the issuer of one ticket, which decides on its claims.
type ticketArbiter struct {
	claimer *Claimer
	ticket  *ticket
	text    string
	route   string
}

func (a *ticketArbiter) local() bool {
	return a.ticket.Host == a.claimer.config.Host
}

// begin asks the issuer to grant the claim. It makes up to beginAttempts attempts, all
// with the same ID. If none is answered but one of them may have been received, the
// claim is revoked in the background, in case it was granted or still will be.
func (a *ticketArbiter) begin(ctx context.Context, id ID) *verdict.Error {
	if a.local() {
		return a.claimer.issuer.begin(a.ticket, a.route, id)
	}
	args := &BeginArgs{Ticket: a.text, Route: a.route, ID: id}
	sent := false
	for attempt := range beginAttempts {
		if attempt > 0 && !sleep(ctx, beginBackoff<<(attempt-1)) {
			break
		}
		var reply BeginReply
		err := a.claimer.call(ctx, a.ticket.Address, "Claim.Begin", args, &reply)
		if err == nil && reply.ID != id {
			err = errMismatch
		}
		if err == nil {
			return reply.refusal()
		}
		sent = sent || !errors.Is(err, peer.ErrNotSent)
	}
	if sent {
		_ = a.claimer.deliver(a, id, claimEnd{state: released, revoke: true}) // If this fails, the claim may stay held.
	}
	return errArbiterUnreachable(fmt.Errorf("host %s does not answer", a.ticket.Host))
}

// finish reports the end of the claim to the issuer.
func (a *ticketArbiter) finish(ctx context.Context, id ID, e claimEnd) error {
	if a.local() {
		a.claimer.issuer.finish(a.ticket, a.route, id, e)
		return nil
	}
	args := &FinishArgs{Ticket: a.text, Route: a.route, End: newEnd(id, e)}
	var reply FinishReply
	err := a.claimer.call(ctx, a.ticket.Address, "Claim.Finish", args, &reply)
	if err == nil && reply.ID != id {
		return errMismatch
	}
	return err
}

// call makes one call to another host, for at most rpcTimeout.
func (c *Claimer) call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	return c.config.Peers.Call(ctx, address, method, args, reply)
}

// sleep waits for d, and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
