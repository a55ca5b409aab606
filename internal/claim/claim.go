// Package claim decides which arrival of a non-repeatable request may run.
//
// A request can reach the hosts several times, because its caller or the network
// repeats it; each time is an arrival of the request. Callers identify a request
// by a ticket or by an idempotency key that they choose. A ticket is issued in
// advance by a host, its issuer, which decides on the ticket's claims from memory,
// without the platform. Claims of an idempotency key are decided by a row in the
// platform's table; a batcher writes many claims in one transaction.
//
// At most one arrival holds the claim of a request at a time. Unless the holder
// reports the claim as released, no later arrival gets it: with a ticket never, because
// the ticket expires, and with an idempotency key for at least Config.Retention. The
// verdict of a refusal covers every earlier arrival with the same ticket or idempotency
// key on this route and of this client account: where this package can't know what
// became of them, the verdict is may-have-run.
package claim

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/pkg/verdict"
)

// ID identifies one arrival's claim of its request. All messages about the claim
// carry it, so that a repeated message is recognised.
type ID [16]byte

// newID returns a random ID.
func newID() ID {
	var id ID
	_, _ = rand.Read(id[:]) // crypto/rand.Read never returns an error.
	return id
}

// String returns the ID in hexadecimal.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// Claimer claims the requests that arrive at this host, and decides on the claims
// of the tickets that this host has issued. Its methods are safe for concurrent
// use.
type Claimer struct {
	config      Config
	ticketCodec *ticketCodec
	issuer      *issuer
	batcher     *batcher
	hostRoles   atomic.Pointer[hostRoles]

	// sweepFailing is set when the last sweep failed. Only Run uses it.
	sweepFailing bool

	// ctx is cancelled when Close stops waiting for the ends of claims to be
	// delivered. pending is the number of these deliveries; drained is closed when
	// closing is set and there are none.
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	closing bool
	pending int
	drained chan struct{}
	workers conc.WaitGroup
}

// New returns a Claimer. It works before Run is called, but does not delete old
// rows.
func New(config Config) *Claimer {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Claimer{
		config:      config,
		ticketCodec: newTicketCodec(config.Secret, config.OldSecrets),
		issuer:      newIssuer(config),
		batcher:     newBatcher(ctx, config),
		ctx:         ctx,
		cancel:      cancel,
		drained:     make(chan struct{}),
	}
}

// Request identifies a request. Exactly one of IdempotencyKey and Ticket must be
// set. The same idempotency key on another route or of another client account
// identifies another request.
type Request struct {
	Account, Route, IdempotencyKey, Ticket string
}

// maxKeyLength limits an idempotency key, in bytes.
const maxKeyLength = 256

// Begin claims the request for this arrival. If the error is nil, the arrival may
// run, and its end must be reported with [Claim.Finish]. Otherwise the error is a
// *verdict.Error, and this arrival must not run:
//
//   - Ran, AlreadyRan: an earlier arrival ran; its HTTP status is in the error.
//   - MayHaveRun, ClaimHeld: an earlier arrival is running, or its end is not
//     known.
//   - MayHaveRun, ClaimUnavailable: the ticket's issuer or the table did not decide
//     in time, or the issuer restarted and lost its records.
//   - TicketExpired, TicketRefused, BadRequest: the verdict is NotRun if no
//     arrival with this ticket or idempotency key, on this route and of this client
//     account, has run or ever will, and MayHaveRun otherwise.
func (c *Claimer) Begin(ctx context.Context, r Request) (*Claim, error) {
	claim, err := c.begin(ctx, r)
	if err != nil {
		countRefusal(err)
		return nil, err
	}
	metricGranted.Add(1)
	return claim, nil
}

func (c *Claimer) begin(ctx context.Context, r Request) (*Claim, *verdict.Error) {
	switch {
	case r.Ticket != "" && r.IdempotencyKey != "":
		return nil, verdict.New(verdict.MayHaveRun, verdict.BadRequest,
			"the request has both a ticket and an idempotency key")
	case r.Ticket != "":
		return c.beginTicket(ctx, r)
	case r.IdempotencyKey == "":
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest,
			"the request has neither a ticket nor an idempotency key")
	case len(r.IdempotencyKey) > maxKeyLength:
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest,
			"the idempotency key is longer than %d bytes", maxKeyLength)
	default:
		return c.beginRow(ctx, r)
	}
}

// Issue returns n new tickets of the client account, whose issuer is this host.
// If they would exceed Config.MaxTickets or Config.MaxTicketsPerAccount, or if the host can't issue
// tickets now, it returns a *verdict.Error.
func (c *Claimer) Issue(account string, n int) ([]string, error) {
	if c.isClosing() {
		return nil, verdict.New(verdict.NotRun, verdict.Leaving, "the host is leaving and issues no tickets")
	}
	if !c.ticketCodec.hasSecret() {
		return nil, verdict.New(verdict.NotRun, verdict.NotReady, "the settings have no secret for tickets")
	}
	tickets, refusal := c.issuer.issue(account, n)
	if refusal != nil {
		return nil, refusal
	}
	encoded := make([]string, 0, n)
	for i := range tickets {
		encoded = append(encoded, c.ticketCodec.encode(&tickets[i]))
	}
	metricIssued.Add(int64(n))
	return encoded, nil
}
