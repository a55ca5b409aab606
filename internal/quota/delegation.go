package quota

import (
	"time"

	"curranthold.example/curranthold/internal/event"
)

const (
	// maxStampAgeRenewals is the age, in renewal intervals, of the oldest stamp
	// with which a delegation may start.
	maxStampAgeRenewals = 2
	// unresponsiveRenewals is the time, in renewal intervals, without an answer
	// after which a home is replaced by another.
	unresponsiveRenewals = 2
)

// delegations tracks and renews the delegation of the host's fraction of each
// partition to its home. The host itself uses the fraction, to refill its own
// buckets, only while no home can be using it.
type delegations struct {
	self           string
	ownIncarnation uint64
	timing         Timing
	// readyAt is when all delegations made by earlier incarnations of the host
	// have expired.
	readyAt  time.Time
	sequence uint64
	fraction float64
	// usableUntil is until when the fraction may be used without another
	// confirmation of it.
	usableUntil time.Time
	partitions  [partitionCount]delegation
	// contacts are the homes that messages are sent to, by host ID.
	contacts map[string]*homeContact
	accounts [partitionCount]map[string]*account
	nextSend time.Time
	stopped  bool
}

// delegation records who uses the host's fraction of one partition.
type delegation struct {
	// home is empty while the host uses the fraction itself, and while it may
	// not use it yet.
	home homeID
	// expiresAt is when the delegation has expired at the home in any case, clock
	// drift included.
	expiresAt time.Time
	// sequence is that of the last message that started or extended the
	// delegation.
	sequence uint64
	// refilling is set while the host uses the fraction itself, to refill its
	// own buckets.
	refilling bool
}

// homeContact is the state of the exchange of messages with one home.
type homeContact struct {
	address     string
	incarnation uint64
	// stamp is the latest known reading of the home's clock, since the home
	// started.
	stamp time.Duration
	// stampReceivedAt is when the host received the stamp, which is later than
	// the home's clock reading.
	stampReceivedAt time.Time
	// unansweredSince is when the host sent the first message since the home's
	// last answer; zero if there is none.
	unansweredSince time.Time
}

func newDelegations(self string, ownIncarnation uint64, start time.Time, timing Timing) *delegations {
	return &delegations{
		self:           self,
		ownIncarnation: ownIncarnation,
		timing:         timing,
		readyAt:        start.Add(addDriftMargin(timing.Lease)),
		contacts:       make(map[string]*homeContact),
	}
}

// setFraction sets the fraction that the roster grants, and extends the time for
// which it may be used. confirmedAt is when the latest confirmation of the
// fraction was requested.
func (d *delegations) setFraction(now time.Time, fraction float64, confirmedAt time.Time) {
	gap := confirmedAt.After(d.usableUntil)
	d.usableUntil = later(d.usableUntil, confirmedAt.Add(d.timing.ConfirmationValidity))
	if fraction == d.fraction && !gap {
		return
	}
	d.fraction = fraction
	for p := range d.partitions {
		if !d.partitions[p].refilling {
			continue
		}
		if gap {
			d.startRefilling(now, p)
			continue
		}
		d.eachAccount(p, func(a *account) { a.updateFraction(now, fraction) })
	}
}

func (d *delegations) eachAccount(p int, do func(*account)) {
	for _, a := range d.accounts[p] {
		a.mu.Lock()
		do(a)
		a.mu.Unlock()
	}
}

// startRefilling lets the host refill its own buckets of a partition's accounts,
// starting with empty ones.
func (d *delegations) startRefilling(now time.Time, p int) {
	d.partitions[p] = delegation{refilling: true, sequence: d.partitions[p].sequence}
	d.eachAccount(p, func(a *account) { a.startRefilling(now, d.fraction) })
}

// addAccount adds an account. The host refills its bucket if it does so for the
// partition's other accounts.
func (d *delegations) addAccount(now time.Time, a *account) {
	if d.accounts[a.partition] == nil {
		d.accounts[a.partition] = make(map[string]*account)
	}
	d.accounts[a.partition][a.name] = a
	if d.partitions[a.partition].refilling {
		a.mu.Lock()
		a.startRefilling(now, d.fraction)
		a.mu.Unlock()
	}
}

func (d *delegations) removeAccount(now time.Time, a *account) {
	delete(d.accounts[a.partition], a.name)
	a.mu.Lock()
	a.clear(now)
	a.mu.Unlock()
}

// stopRefilling stops the refill of all of the host's own buckets permanently.
func (d *delegations) stopRefilling(now time.Time) {
	d.stopped = true
	for p := range d.partitions {
		if d.partitions[p].refilling {
			d.partitions[p].refilling = false
			d.eachAccount(p, func(a *account) { a.stopRefilling(now, d.usableUntil) })
		}
	}
}

// allReleased reports whether neither the host nor any home can still be using
// the fraction.
func (d *delegations) allReleased(now time.Time) bool {
	for p := range d.partitions {
		part := &d.partitions[p]
		if part.refilling || part.home.host != "" && now.Before(part.expiresAt) {
			return false
		}
	}
	return true
}

// reclaimExpired lets the host use its fraction itself in the partitions whose
// delegation has expired.
func (d *delegations) reclaimExpired(now time.Time) {
	if now.Before(d.readyAt) || d.stopped {
		return
	}
	expired := 0
	for p := range d.partitions {
		part := &d.partitions[p]
		if part.refilling || now.Before(part.expiresAt) {
			continue
		}
		if part.home.host != "" {
			expired++
		}
		d.startRefilling(now, p)
		d.nextSend = now
	}
	if expired > 0 {
		eventOwnRefill.Log(event.Fields{"partitions": expired})
	}
}

// unresponsive reports whether a home has left messages unanswered for too long.
func (d *delegations) unresponsive(now time.Time, id string) bool {
	contact := d.contacts[id]
	return contact != nil && !contact.unansweredSince.IsZero() && now.Sub(contact.unansweredSince) >= unresponsiveRenewals*d.timing.RenewInterval
}

// answeredRecently reports whether the host has a recent stamp of a home.
func (d *delegations) answeredRecently(now time.Time, id string) bool {
	contact := d.contacts[id]
	return contact != nil && contact.incarnation != 0 && now.Sub(contact.stampReceivedAt) <= unresponsiveRenewals*d.timing.RenewInterval
}

// tick returns the messages that are due. They go to each home that is to
// receive a partition or still has one, and to the primary homes, so that the
// host notices when one of those answers again.
func (d *delegations) tick(now time.Time, homes, primaryHomes *[partitionCount]Host) []*call {
	d.reclaimExpired(now)
	if now.Before(d.nextSend) {
		return nil
	}
	d.nextSend = now.Add(d.timing.RenewInterval)
	var calls []*call
	for _, to := range d.targets(homes, primaryHomes) {
		calls = append(calls, d.delegateCall(now, to, homes))
	}
	return calls
}

// targets returns the homes to send to, in the order of the partitions.
func (d *delegations) targets(homes, primaryHomes *[partitionCount]Host) []Host {
	var recipients []Host
	seen := make(map[string]bool)
	add := func(h Host) {
		if h.ID != "" && !seen[h.ID] {
			seen[h.ID] = true
			recipients = append(recipients, h)
		}
	}
	for p := range homes {
		if len(d.accounts[p]) > 0 {
			add(homes[p])
			add(primaryHomes[p])
		}
	}
	for p := range d.partitions {
		if id := d.partitions[p].home.host; id != "" {
			add(Host{ID: id, Address: d.contacts[id].address})
		}
	}
	for id := range d.contacts {
		if !seen[id] {
			delete(d.contacts, id)
		}
	}
	return recipients
}

// delegateCall builds the message that tells a home which partitions are
// delegated to it from now on. Tokens are removed from the host's buckets before
// they are put into the message.
func (d *delegations) delegateCall(now time.Time, to Host, homes *[partitionCount]Host) *call {
	contact := d.contacts[to.ID]
	if contact == nil {
		contact = &homeContact{}
		d.contacts[to.ID] = contact
	}
	contact.address = to.Address
	if contact.unansweredSince.IsZero() {
		contact.unansweredSince = now
	}
	d.sequence++
	args := &DelegateArgs{
		Host:            d.self,
		Incarnation:     d.ownIncarnation,
		Sequence:        d.sequence,
		HomeIncarnation: contact.incarnation,
		Stamp:           contact.stamp,
		Fraction:        d.fraction,
	}
	var mask partitionMask
	for p := range d.partitions {
		if homes[p].ID == to.ID && len(d.accounts[p]) > 0 && d.delegate(now, p, to.ID, contact, args) {
			mask = mask.with(p)
		}
	}
	args.Partitions = uint16(mask)
	reply := &DelegateReply{}
	return &call{
		to:     to,
		method: methodDelegate,
		args:   args,
		reply:  reply,
		done: func(now time.Time, err error) []*call {
			if err == nil {
				d.handleReply(now, to.ID, reply)
			}
			return nil
		},
	}
}

// delegate starts or extends the delegation of a partition, if that is safe.
func (d *delegations) delegate(now time.Time, p int, to string, contact *homeContact, args *DelegateArgs) bool {
	part := &d.partitions[p]
	if !now.Before(d.usableUntil) || contact.incarnation == 0 || d.stopped {
		return false
	}
	id := homeID{host: to, incarnation: contact.incarnation}
	switch {
	case part.home == id:
	case part.refilling && now.Sub(contact.stampReceivedAt) <= maxStampAgeRenewals*d.timing.RenewInterval:
		d.takeTokens(now, p, args)
		part.home = id
		part.refilling = false
	default:
		return false
	}
	part.expiresAt = contact.stampReceivedAt.Add(addDriftMargin(d.timing.Lease))
	part.sequence = args.Sequence
	return true
}

// takeTokens moves the tokens of a partition from the host's buckets into the
// message.
func (d *delegations) takeTokens(now time.Time, p int, args *DelegateArgs) {
	d.eachAccount(p, func(a *account) {
		tokens := a.stopRefilling(now, d.usableUntil)
		if tokens <= 0 {
			return
		}
		if args.Tokens == nil {
			args.Tokens = make(map[string]float64)
		}
		args.Tokens[a.name] = tokens
	})
}

// handleReply records the home's stamp, and ends the delegations that the home
// no longer retains.
func (d *delegations) handleReply(now time.Time, from string, reply *DelegateReply) {
	contact := d.contacts[from]
	if contact == nil {
		return
	}
	contact.unansweredSince = time.Time{}
	if reply.HomeIncarnation > contact.incarnation {
		// Partitions that wait for a stamp of this home can be delegated at once.
		d.nextSend = now
	}
	if reply.HomeIncarnation > contact.incarnation || reply.HomeIncarnation == contact.incarnation && reply.Stamp > contact.stamp {
		contact.incarnation, contact.stamp, contact.stampReceivedAt = reply.HomeIncarnation, reply.Stamp, now
	}
	retained := partitionMask(reply.Partitions)
	for p := range d.partitions {
		part := &d.partitions[p]
		id := homeID{host: from, incarnation: reply.HomeIncarnation}
		if part.home == id && reply.Sequence > part.sequence && !retained.has(p) {
			part.home = homeID{}
			part.expiresAt = time.Time{}
			d.nextSend = now
		}
	}
}
