package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// homeWithDelegation returns a home at epoch, to which h1 has delegated fraction
// 1 and 8 tokens of an account with rate 10 and burst 20, and the account's
// partition.
func homeWithDelegation() (*home, int) {
	h := newHome(5, epoch, shortTiming)
	h.setAccounts(epoch, map[string]Limit{"a": {Rate: 10, Burst: 20}})
	p := partitionOf("a")
	h.delegate(epoch, delegateArgs(1, 0, p))
	return h, p
}

func delegateArgs(sequence uint64, stamp time.Duration, partitions ...int) *DelegateArgs {
	args := &DelegateArgs{
		Host: "h1", Incarnation: 1, Sequence: sequence, HomeIncarnation: 5, Stamp: stamp, Fraction: 1,
		Tokens: map[string]float64{"a": 8},
	}
	for _, p := range partitions {
		args.Partitions = uint16(partitionMask(args.Partitions).with(p))
	}
	return args
}

func borrow(h *home, now time.Time, need int, reports ...LoanReport) []Loan {
	reply := h.borrow(now, &BorrowArgs{
		Host: "h2", HomeIncarnation: h.incarnation,
		Items: []BorrowItem{{Account: "a", Need: need, Reports: reports}},
	})
	return reply.Results[0].Loans
}

// TestHome guards against cases in which a home would lend too many tokens.
func TestHome(t *testing.T) {
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	tests := map[string]func(t *testing.T, h *home, p int){
		"the tokens of a delegation are added once": func(t *testing.T, h *home, p int) {
			h.delegate(epoch, delegateArgs(1, 0, p))
			h.delegate(epoch, delegateArgs(2, 0, p))
			qt.Assert(t, borrow(h, epoch, 20)[0].Count, qt.Equals, 8)
		},
		"an older message changes nothing": func(t *testing.T, h *home, p int) {
			h.delegate(epoch, delegateArgs(3, 0))
			h.delegate(epoch, delegateArgs(2, 0, p))
			qt.Assert(t, borrow(h, at(time.Second/2), 1), qt.HasLen, 0)
		},
		"a lease starts at its stamp": func(t *testing.T, h *home, p int) {
			late := at(shortTiming.Lease * 3)
			h.delegate(late, delegateArgs(2, 0, p))
			qt.Assert(t, borrow(h, late.Add(time.Millisecond), 1), qt.HasLen, 0)
		},
		"a loan ends before the delegation that covers it": func(t *testing.T, h *home, p int) {
			last := at(shortTiming.Lease - shortTiming.PrefetchLoanLife)
			qt.Assert(t, borrow(h, last.Add(-time.Millisecond), 1), qt.HasLen, 1)
			qt.Assert(t, borrow(h, last, 1), qt.HasLen, 0)
		},
		"a delegation is retained while loans need it": func(t *testing.T, h *home, p int) {
			loans := borrow(h, epoch, 1)
			reply := h.delegate(epoch, delegateArgs(2, 0))
			qt.Assert(t, partitionMask(reply.Partitions).has(p), qt.IsTrue)
			borrow(h, epoch, 0, LoanReport{Loan: loans[0].ID, Returned: true})
			reply = h.delegate(epoch, delegateArgs(3, 0))
			qt.Assert(t, partitionMask(reply.Partitions).has(p), qt.IsFalse)
		},
		"an expired delegation is retained while loans need it": func(t *testing.T, h *home, p int) {
			expired := at(shortTiming.Lease - shortTiming.PrefetchLoanLife)
			borrow(h, expired.Add(-time.Millisecond), 1)
			reply := h.delegate(expired, delegateArgs(2, time.Second))
			qt.Assert(t, partitionMask(reply.Partitions).has(p), qt.IsTrue)
		},
		"a loan is returned once": func(t *testing.T, h *home, p int) {
			loans := borrow(h, epoch, 3)
			borrow(h, epoch, 0, LoanReport{Loan: loans[0].ID, Spent: 1, Returned: true})
			borrow(h, epoch, 0, LoanReport{Loan: loans[0].ID, Spent: 1, Returned: true})
			qt.Assert(t, borrow(h, epoch, 20)[0].Count, qt.Equals, 7)
		},
		"a message for another incarnation is ignored": func(t *testing.T, h *home, p int) {
			args := delegateArgs(2, time.Hour, p)
			args.HomeIncarnation = 4
			h.delegate(at(shortTiming.Lease), args)
			qt.Assert(t, borrow(h, at(shortTiming.Lease+time.Second), 1), qt.HasLen, 0)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, p := homeWithDelegation()
			test(t, h, p)
		})
	}
}

// TestHost guards against cases in which a host would spend too many tokens or
// add too many to its own bucket.
func TestHost(t *testing.T) {
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	refilling := func() (*delegations, *account, int) {
		d := newDelegations("h1", 1, epoch, shortTiming)
		a := &account{name: "a", partition: partitionOf("a"), limit: Limit{Rate: 10, Burst: 20}}
		d.addAccount(epoch, a)
		d.setFraction(at(3*time.Second), 1, at(3*time.Second))
		d.reclaimExpired(at(3 * time.Second))
		return d, a, a.partition
	}
	tests := map[string]func(t *testing.T){
		"a loan isn't spent after its end": func(t *testing.T) {
			a := &account{}
			a.applyBorrowResult(epoch, epoch, homeID{}, &BorrowResult{Loans: []Loan{{Count: 2, Life: time.Second}}})
			qt.Assert(t, a.take(at(979*time.Millisecond), epoch), qt.IsTrue)
			qt.Assert(t, a.take(at(981*time.Millisecond), epoch), qt.IsFalse)
		},
		"a token is returned to its own loan, and only before it is reported": func(t *testing.T) {
			a := &account{}
			a.applyBorrowResult(epoch, epoch, homeID{}, &BorrowResult{Loans: []Loan{{ID: 1, Count: 2, Life: time.Second}}})
			a.take(epoch, epoch)
			a.returnToken(epoch, 2)
			qt.Assert(t, a.heldLoans[0].remaining, qt.Equals, 1)
			a.returnToken(epoch, 1)
			qt.Assert(t, a.heldLoans[0].remaining, qt.Equals, 2)
			a.take(epoch, epoch)
			a.prepareBorrow(epoch, homeID{}, 0, shortTiming)
			a.returnToken(epoch, 1)
			qt.Assert(t, a.heldLoans[0].remaining, qt.Equals, 1)
			qt.Assert(t, a.returnAll(homeID{}), qt.HasLen, 1)
			qt.Assert(t, a.take(epoch, epoch), qt.IsFalse)
		},
		"a loan's life starts with the request": func(t *testing.T) {
			a := &account{}
			a.applyBorrowResult(at(time.Second), epoch, homeID{}, &BorrowResult{Loans: []Loan{{Count: 2, Life: time.Second}}})
			qt.Assert(t, a.take(at(time.Second), epoch), qt.IsFalse)
		},
		"an expired confirmation empties the host's own bucket, and a new one starts with an empty bucket": func(t *testing.T) {
			d, a, _ := refilling()
			qt.Assert(t, a.take(at(6*time.Second), d.usableUntil), qt.IsTrue)
			qt.Assert(t, a.take(at(8*time.Second), d.usableUntil), qt.IsFalse)
			d.setFraction(at(20*time.Second), 1, at(20*time.Second))
			qt.Assert(t, a.take(at(20*time.Second), d.usableUntil), qt.IsFalse)
		},
		"an idle bucket isn't kept over a gap in the confirmations": func(t *testing.T) {
			d, a, _ := refilling()
			d.setFraction(at(20*time.Second), 1, at(20*time.Second))
			qt.Assert(t, a.take(at(20*time.Second), d.usableUntil), qt.IsFalse)
		},
		"the host waits longer than its delegation by the clock drift": func(t *testing.T) {
			d, _, p := refilling()
			var homes [partitionCount]Host
			homes[p] = Host{ID: "h2"}
			d.tick(at(3*time.Second), &homes, &homes)
			d.handleReply(at(3*time.Second), "h2", &DelegateReply{HomeIncarnation: 5, Stamp: 1})
			d.tick(at(3500*time.Millisecond), &homes, &homes)
			qt.Assert(t, d.partitions[p].refilling, qt.IsFalse)
			d.reclaimExpired(at(3*time.Second + shortTiming.Lease + 39*time.Millisecond))
			qt.Assert(t, d.partitions[p].refilling, qt.IsFalse)
			d.reclaimExpired(at(3*time.Second + shortTiming.Lease + 40*time.Millisecond))
			qt.Assert(t, d.partitions[p].refilling, qt.IsTrue)
		},
		"a started host uses its fraction only after a lease": func(t *testing.T) {
			d := newDelegations("h1", 2, epoch, shortTiming)
			d.setFraction(at(time.Second), 1, at(time.Second))
			d.reclaimExpired(at(shortTiming.Lease))
			qt.Assert(t, d.partitions[0].refilling, qt.IsFalse)
			d.reclaimExpired(at(addDriftMargin(shortTiming.Lease)))
			qt.Assert(t, d.partitions[0].refilling, qt.IsTrue)
		},
		"a restarted home counts as another home": func(t *testing.T) {
			d, _, p := refilling()
			var homes [partitionCount]Host
			homes[p] = Host{ID: "h2"}
			d.tick(at(3*time.Second), &homes, &homes)
			d.handleReply(at(3*time.Second), "h2", &DelegateReply{HomeIncarnation: 5, Stamp: 1})
			calls := d.tick(at(3500*time.Millisecond), &homes, &homes)
			qt.Assert(t, calls[0].args.(*DelegateArgs).Partitions, qt.Not(qt.Equals), uint16(0))
			d.handleReply(at(3600*time.Millisecond), "h2", &DelegateReply{HomeIncarnation: 6, Stamp: 1})
			calls = d.tick(at(4*time.Second), &homes, &homes)
			qt.Assert(t, calls[0].args.(*DelegateArgs).Partitions, qt.Equals, uint16(0))
		},
	}
	for name, test := range tests {
		t.Run(name, test)
	}
}

// TestWithdrawalAcked checks that a withdrawal counts as acknowledged only once
// the host itself knows of it, or so many voters know of it that no majority can
// confirm the host's older fraction.
func TestWithdrawalAcked(t *testing.T) {
	tests := map[string]struct {
		voters  []string
		settled bool
		known   map[string]uint64
		want    bool
	}{
		"the host itself":               {voters: []string{"a", "b", "c"}, known: map[string]uint64{"h": 7}, want: true},
		"the host has an older version": {voters: []string{"h"}, settled: true, known: map[string]uint64{"h": 6}},
		"half of the others":            {voters: []string{"h", "a", "b", "c"}, settled: true, known: map[string]uint64{"a": 7, "b": 8}, want: true},
		"less than half":                {voters: []string{"h", "a", "b", "c"}, settled: true, known: map[string]uint64{"a": 7, "b": 6}},
		"one of three":                  {voters: []string{"a", "b", "c"}, settled: true, known: map[string]uint64{"a": 7}},
		"two of three":                  {voters: []string{"a", "b", "c"}, settled: true, known: map[string]uint64{"a": 7, "b": 7}, want: true},
		"voters are not settled":        {voters: []string{"a", "b", "c"}, known: map[string]uint64{"a": 7, "b": 7, "c": 7}},
		"the other of two":              {voters: []string{"h", "a"}, settled: true, known: map[string]uint64{"a": 7}, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &roster{
				Hosts:   map[string]rosterEntry{"h": {Held: 0.5, Changed: 7}},
				Voters:  test.voters,
				Settled: test.settled,
			}
			qt.Assert(t, r.withdrawalAcked("h", test.known), qt.Equals, test.want)
		})
	}
}

// TestRosterReplica checks what a host accepts as confirmation of its fraction,
// and when a withdrawn fraction may be granted again.
func TestRosterReplica(t *testing.T) {
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	row := mustJSON(&roster{Hosts: map[string]rosterEntry{"h": {Fraction: 1, Held: 1}}, Voters: []string{"a", "b", "c"}})
	replica := newRosterReplica(Host{ID: "h", Zone: "z"}, epoch, shortTiming)

	replica.handleQuery(at(time.Second), &RosterArgs{Version: 3, Row: row})
	qt.Assert(t, replica.handleQuery(at(time.Second), &RosterArgs{}), qt.DeepEquals, RosterReply{})

	replica.handleReply(at(10*time.Second), "a", &RosterReply{Version: 3, Age: 10 * time.Second})
	replica.handleReply(at(11*time.Second), "b", &RosterReply{Version: 2, Age: time.Hour})
	qt.Assert(t, replica.confirmedAt(at(11*time.Second)).IsZero(), qt.IsTrue)
	replica.handleReply(at(10*time.Second), "a", &RosterReply{Version: 3, Age: 8 * time.Second})
	qt.Assert(t, replica.confirmedAt(at(12*time.Second)).Equal(at(10*time.Second)), qt.IsTrue)

	qt.Assert(t, replica.reclaimed(at(12*time.Second), "x", 0), qt.IsFalse)
	replica.roster.Hosts["x"] = rosterEntry{Held: 1, Changed: 9}
	qt.Assert(t, replica.reclaimed(at(13*time.Second), "x", 9), qt.IsFalse)
	qt.Assert(t, replica.reclaimed(at(time.Hour), "x", 9), qt.IsFalse)
	replica.knownVersions["x"] = 9
	qt.Assert(t, replica.reclaimed(at(2*time.Hour), "x", 9), qt.IsFalse)
	qt.Assert(t, replica.reclaimed(at(2*time.Hour+shortTiming.Lease), "x", 9), qt.IsFalse)
	qt.Assert(t, replica.reclaimed(at(2*time.Hour+addDriftMargin(shortTiming.Lease)), "x", 9), qt.IsTrue)
	replica.roster.Hosts["y"] = rosterEntry{Held: 1, Changed: 9}
	replica.roster.Settled, replica.knownVersions["a"], replica.knownVersions["b"] = true, 9, 9
	qt.Assert(t, replica.reclaimed(at(0), "y", 9), qt.IsFalse)
	qt.Assert(t, replica.reclaimed(at(shortTiming.ConfirmationValidity+shortTiming.Lease), "y", 9), qt.IsFalse)
	qt.Assert(t, replica.reclaimed(at(shortTiming.reclaimDelay()), "y", 9), qt.IsTrue)
}
