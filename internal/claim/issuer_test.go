package claim

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/verdict"
)

func TestTicketBoundsAndExpiry(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		a := f.on("a")
		used, unused := mustIssue(t, a, "acc"), mustIssue(t, a, "acc")
		cl, err := begin(f, "b", used)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, cl.Finish(context.Background(), verdict.Ran, 200), qt.IsNil)
		_, issueErr := a.Issue("acc", defaultMaxTicketsPerAccount-1)
		qt.Assert(t, verdict.From(issueErr).Code, qt.Equals, verdict.TicketsExhausted)

		time.Sleep(defaultTicketLifetime + 2*epochLength)
		wantRefusal(t, f, "b", unused, verdict.NotRun, verdict.TicketExpired)
		wantRefusal(t, f, "b", used, verdict.Ran, verdict.AlreadyRan)
		time.Sleep(retainedEpochs * epochLength)
		wantRefusal(t, f, "b", unused, verdict.MayHaveRun, verdict.TicketExpired)
		wantRefusal(t, f, "b", used, verdict.MayHaveRun, verdict.TicketExpired)
		qt.Assert(t, a.issuer.epochs, qt.HasLen, 0)
		_, issueErr = a.Issue("acc", defaultMaxTicketsPerAccount)
		qt.Assert(t, issueErr, qt.IsNil)
	})
}

// A ticket whose record was deleted must not become valid when the clock is set
// back.
func TestClockStepsBack(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	iss := newIssuer(Config{Host: "a", Now: func() time.Time { return now }}.withDefaults())
	tickets, refusal := iss.issue("acc", 1)
	qt.Assert(t, refusal == nil, qt.IsTrue)
	qt.Assert(t, iss.begin(&tickets[0], "r", newID()) == nil, qt.IsTrue)
	now = now.Add(time.Hour)
	iss.advance()
	now = now.Add(-time.Hour)
	_, _ = iss.issue("acc", 1)
	qt.Assert(t, iss.begin(&tickets[0], "r", newID()).Verdict, qt.Equals, verdict.MayHaveRun)
}

func TestRestartedIssuer(t *testing.T) {
	for name, incarnation := range map[string]uint64{"new incarnation": 2, "same incarnation": 1} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
				old := f.on("a")
				r := mustIssue(t, old, "acc")
				_, err := begin(f, "b", r)
				qt.Assert(t, err, qt.IsNil)
				_ = old.Close()
				f.start("a", incarnation)
				wantRefusal(t, f, "b", r, verdict.MayHaveRun, verdict.ClaimUnavailable)
				wantRefusal(t, f, "a", r, verdict.MayHaveRun, verdict.ClaimUnavailable)
			})
		})
	}
}

func TestUnreachableIssuer(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		r := mustIssue(t, f.on("a"), "acc")
		f.network.setDisconnected("addr-a", true)
		wantRefusal(t, f, "b", r, verdict.MayHaveRun, verdict.ClaimUnavailable)
		f.network.setDisconnected("addr-a", false)

		f.network.setFaultRates(faultRates{loseAnswer: 1})
		wantRefusal(t, f, "b", r, verdict.MayHaveRun, verdict.ClaimUnavailable)
		f.network.setFaultRates(faultRates{})
		time.Sleep(defaultDeliveryTimeout)
		_, err := begin(f, "b", r)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("the claim whose answers were lost was not released"))
	})
}

func TestUndeliveredRelease(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		r := mustIssue(t, f.on("a"), "acc")
		cl, err := begin(f, "b", r)
		qt.Assert(t, err, qt.IsNil)
		f.network.setDisconnected("addr-a", true)
		var deferred *DeferredError
		qt.Assert(t, errors.As(cl.Finish(context.Background(), verdict.NotRun, 0), &deferred), qt.IsTrue)
		synctest.Wait() // Wait until the first delivery in the background has failed.
		f.network.setDisconnected("addr-a", false)
		wantRefusal(t, f, "a", r, verdict.MayHaveRun, verdict.ClaimHeld)
		time.Sleep(time.Second)
		_, err = begin(f, "a", r)
		qt.Assert(t, err, qt.IsNil)
	})
}

// A delayed copy of a message must neither grant a claim that its sender released
// or gave up, nor release a later claim.
func TestDelayedMessagesAtIssuer(t *testing.T) {
	iss := newIssuer(Config{Host: "a"}.withDefaults())
	tickets, _ := iss.issue("acc", 2)
	for i, first := range []claimEnd{{state: released}, {state: released, revoke: true}} {
		tk, one, two := &tickets[i], newID(), newID()
		if !first.revoke {
			qt.Assert(t, iss.begin(tk, "r", one) == nil, qt.IsTrue)
			qt.Assert(t, iss.begin(tk, "r", one) == nil, qt.IsTrue)
		}
		iss.finish(tk, "r", one, first)
		qt.Assert(t, iss.begin(tk, "r", one).Code, qt.Equals, verdict.ClaimHeld)
		qt.Assert(t, iss.begin(tk, "other", two).Verdict, qt.Equals, verdict.NotRun)
		qt.Assert(t, iss.begin(tk, "r", two) == nil, qt.IsTrue)
		iss.finish(tk, "r", one, first)
		iss.finish(tk, "r", two, claimEnd{state: released})
		qt.Assert(t, iss.begin(tk, "r", one).Code, qt.Equals, verdict.ClaimHeld)
		qt.Assert(t, iss.begin(tk, "r", newID()) == nil, qt.IsTrue)
	}
}

func FuzzParseTicket(f *testing.F) {
	f.Add([]byte{ticketVersion, 1, 2, 3, 4, 5, 6, 7, 8, 9, 1, 1, 1, 'a', 1, 'b', 1, 'c'})
	f.Fuzz(func(t *testing.T, content []byte) {
		ticket, err := parseTicket(content)
		if err != nil {
			return
		}
		c := newTicketCodec([]byte("fleet"), nil)
		back, err := c.decode(c.encode(ticket))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, back, qt.DeepEquals, ticket)
	})
}
