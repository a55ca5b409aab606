package claim

import (
	"crypto/rand"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"curranthold.example/curranthold/pkg/verdict"
)

// state is the state of a claim, as it is stored in the rows of the table.
type state string

// The states. A ticket that was issued but never claimed has no record and no
// state.
const (
	// running means that an arrival holds the claim and may be running.
	running state = "running"
	// done means that an arrival ran.
	done state = "done"
	// released means that the arrival that held the claim last did not run.
	released state = "released"
)

const (
	// epochLength is the length of an epoch. Tickets expire when an epoch begins.
	epochLength = 15 * time.Second
	// retainedEpochs is how long the records of expired tickets are kept, in
	// epochs.
	retainedEpochs = 4
)

// issuer issues tickets and decides on their claims from memory.
//
// Time is divided into epochs, and all tickets that expire in the same epoch are
// kept together. The epoch numbers expiredThrough and discardedThrough never decrease,
// so that a ticket does not become valid again when the clock is set back.
type issuer struct {
	config Config
	nonce  uint64

	mu       sync.Mutex
	sequence uint64
	// expiredThrough is the latest epoch whose tickets are no longer granted.
	expiredThrough uint64
	// discardedThrough is the latest epoch whose records are deleted.
	discardedThrough uint64
	epochs           map[uint64]*epoch
	// outstanding is the number of tickets in epochs for each client account. total
	// is the sum of these numbers.
	outstanding map[string]int
	total       int
}

// epoch holds the tickets that expire in one epoch.
type epoch struct {
	// issued is the number of tickets of each client account.
	issued map[string]int
	// records holds the records of tickets by their sequence numbers.
	records map[uint64]*record
}

// record is the state of a ticket that has been claimed, or of which a claim has been
// revoked.
type record struct {
	state state
	// id is the claim that was granted last.
	id ID
	// route is the route of the first claim; claims on other routes are refused.
	route  string
	status int
	// revoked holds the latest claims that were released or revoked. They are not
	// granted again.
	revoked []ID
}

// maxRevoked limits the revoked claims of a record.
const maxRevoked = 8

// release makes the ticket available to any claim but this one.
func (r *record) release(id ID) {
	r.state = released
	r.revoke(id)
}

// revoke records that the claim must not be granted, even if a delayed message
// asks for it.
func (r *record) revoke(id ID) {
	r.revoked = append(r.revoked, id)
	if len(r.revoked) > maxRevoked {
		r.revoked = slices.Delete(r.revoked, 0, 1)
	}
}

func newIssuer(config Config) *issuer {
	var nonce [8]byte
	_, _ = rand.Read(nonce[:]) // crypto/rand.Read never returns an error.
	return &issuer{
		config:      config,
		nonce:       binary.BigEndian.Uint64(nonce[:]),
		epochs:      map[uint64]*epoch{},
		outstanding: map[string]int{},
	}
}

func epochAt(now time.Time) uint64 {
	return uint64(max(now.UnixNano(), 0)) / uint64(epochLength)
}

// advance updates the epoch numbers to the current time and deletes the records of
// tickets that expired retainedEpochs ago or earlier.
func (iss *issuer) advance() {
	iss.mu.Lock()
	defer iss.mu.Unlock()
	iss.advanceLocked()
}

func (iss *issuer) advanceLocked() {
	now := epochAt(iss.config.Now())
	if now <= iss.expiredThrough {
		return
	}
	iss.expiredThrough = now
	iss.discardedThrough = now - min(retainedEpochs, now)
	for number, e := range iss.epochs {
		if number > iss.discardedThrough {
			continue
		}
		for account, n := range e.issued {
			iss.addOutstanding(account, -n)
		}
		delete(iss.epochs, number)
	}
}

func (iss *issuer) addOutstanding(account string, n int) {
	iss.total += n
	iss.outstanding[account] += n
	if iss.outstanding[account] == 0 {
		delete(iss.outstanding, account)
	}
	metricOutstandingTickets.Add(int64(n))
}

// issue returns n new tickets of the client account, or the reason why it can't.
func (iss *issuer) issue(account string, n int) ([]ticket, *verdict.Error) {
	iss.mu.Lock()
	defer iss.mu.Unlock()
	iss.advanceLocked()
	if n <= 0 {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "%d tickets asked for", n)
	}
	if iss.outstanding[account]+n > iss.config.MaxTicketsPerAccount || iss.total+n > iss.config.MaxTickets {
		return nil, verdict.New(verdict.NotRun, verdict.TicketsExhausted,
			"%d tickets asked for; %d of at most %d are unexpired for this client account, %d of at most %d on this host",
			n, iss.outstanding[account], iss.config.MaxTicketsPerAccount, iss.total, iss.config.MaxTickets)
	}
	number := iss.expiredThrough + 1 + uint64(iss.config.TicketLifetime/epochLength)
	e := iss.epochs[number]
	if e == nil {
		e = &epoch{issued: map[string]int{}, records: map[uint64]*record{}}
		iss.epochs[number] = e
	}
	e.issued[account] += n
	iss.addOutstanding(account, n)
	tickets := make([]ticket, n)
	for i := range tickets {
		iss.sequence++
		tickets[i] = ticket{
			Host: iss.config.Host, Address: iss.config.Address,
			Incarnation: iss.config.Incarnation, Nonce: iss.nonce,
			Sequence: iss.sequence, Epoch: number, Account: account,
		}
	}
	return tickets, nil
}

// owns reports whether this process issued the ticket.
func (iss *issuer) owns(t *ticket) bool {
	return t.Host == iss.config.Host && t.Incarnation == iss.config.Incarnation && t.Nonce == iss.nonce
}

// begin decides on a claim of the ticket. A nil result grants the claim.
func (iss *issuer) begin(t *ticket, route string, id ID) *verdict.Error {
	if !iss.owns(t) {
		return errIssuerRestarted()
	}
	iss.mu.Lock()
	defer iss.mu.Unlock()
	iss.advanceLocked()
	e := iss.epochs[t.Epoch]
	if t.Epoch <= iss.discardedThrough || e == nil {
		return verdict.New(verdict.MayHaveRun, verdict.TicketExpired,
			"the ticket expired, and its home has forgotten whether it ran")
	}
	r := e.records[t.Sequence]
	switch {
	case r == nil:
		r = &record{state: released, route: route}
	case r.route != route:
		return verdict.New(verdict.NotRun, verdict.TicketRefused, "the ticket was used on another route")
	case r.state == running && r.id == id:
		return nil // The message was repeated, because the first reply was lost.
	case r.state == running:
		return errHeld()
	case r.state == done:
		return errAlreadyRan(r.status)
	case slices.Contains(r.revoked, id):
		return errHeld() // A delayed message: the claim has been revoked.
	}
	if t.Epoch <= iss.expiredThrough {
		return verdict.New(verdict.NotRun, verdict.TicketExpired, "the ticket expired before it ran")
	}
	r.state, r.id = running, id
	e.records[t.Sequence] = r
	return nil
}

// finish records the end of a claim. It ignores the end of a claim that does not
// hold the ticket, so that late and repeated messages have no effect. If revoke is
// set, the claim is revoked even if it was never granted.
func (iss *issuer) finish(t *ticket, route string, id ID, ended claimEnd) {
	if !iss.owns(t) {
		return
	}
	iss.mu.Lock()
	defer iss.mu.Unlock()
	iss.advanceLocked()
	e := iss.epochs[t.Epoch]
	if e == nil {
		return
	}
	r := e.records[t.Sequence]
	switch {
	case r == nil && ended.revoke:
		r = &record{route: route}
		r.release(id)
		e.records[t.Sequence] = r
	case r == nil:
		return
	case r.state == running && r.id == id && ended.state == done:
		r.state, r.status = done, ended.status
	case r.state == running && r.id == id:
		r.release(id)
	case ended.revoke && !slices.Contains(r.revoked, id):
		r.revoke(id)
	}
}
