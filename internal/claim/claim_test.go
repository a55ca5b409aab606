package claim

import (
	"context"
	"maps"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/verdict"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.Default)
	goleak.VerifyTestMain(m)
}

func sortedKeys(rows map[string]platform.Row) []string {
	return slices.Sorted(maps.Keys(rows))
}

// fleet is a set of Claimers that share a fake network and a fake table.
type fleet struct {
	network *fakeNetwork
	table   *fakeTable
	hosts   []Host
	// mutate changes the Config of a Claimer before the Claimer is created.
	mutate func(*Config)
	// started is called with each new Claimer.
	started func(*Claimer)
}

func newFleet(ids ...string) *fleet {
	f := &fleet{network: newFakeNetwork(), table: newFakeTable()}
	for _, id := range ids {
		f.hosts = append(f.hosts, Host{ID: id, Zone: "z", Address: "addr-" + id})
	}
	for _, id := range ids {
		f.start(id, 1)
	}
	return f
}

// start creates the host's Claimer, which replaces an earlier one as a restart of
// the process would, without closing it.
func (f *fleet) start(id string, incarnation uint64) {
	config := Config{
		Host: id, Zone: "z", Address: "addr-" + id, Incarnation: incarnation,
		Secret: []byte("fleet"), Peers: f.network, Table: f.table, MaxTransactionRate: 1e6,
	}
	if f.mutate != nil {
		f.mutate(&config)
	}
	c := New(config)
	c.SetHosts(f.hosts)
	f.network.listen(config.Address, c)
	if f.started != nil {
		f.started(c)
	}
}

func (f *fleet) on(id string) *Claimer {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return f.network.nodes["addr-"+id]
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		_ = f.on(h.ID).Close()
	}
}

// withFleet runs a test with a new fleet and a fake clock.
func withFleet(t *testing.T, ids []string, run func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(ids...)
		defer f.close()
		run(t, f)
	})
}

func mustIssue(t *testing.T, c *Claimer, account string) Request {
	tickets, err := c.Issue(account, 1)
	qt.Assert(t, err, qt.IsNil)
	return Request{Account: account, Route: "r", Ticket: tickets[0]}
}

func keyRequest(key string) Request {
	return Request{Account: "acc", Route: "r", IdempotencyKey: key}
}

func begin(f *fleet, id string, r Request) (*Claim, error) {
	return f.on(id).Begin(context.Background(), r)
}

// wantRefusal asserts that a claim of the request is refused with the verdict and
// the code.
func wantRefusal(t *testing.T, f *fleet, id string, r Request, v verdict.Verdict, code verdict.Code) {
	t.Helper()
	_, err := begin(f, id, r)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, verdict.From(err).Code, qt.Equals, code)
	qt.Assert(t, verdict.Of(err), qt.Equals, v)
}

func TestClaimLifecycle(t *testing.T) {
	requests := map[string]func(*testing.T, *fleet) Request{
		"ticket of this host":    func(t *testing.T, f *fleet) Request { return mustIssue(t, f.on("a"), "acc") },
		"ticket of another host": func(t *testing.T, f *fleet) Request { return mustIssue(t, f.on("c"), "acc") },
		"idempotency key":        func(*testing.T, *fleet) Request { return keyRequest("k") },
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			withFleet(t, []string{"a", "b", "c"}, func(t *testing.T, f *fleet) {
				ctx := context.Background()
				r := request(t, f)
				first, err := begin(f, "a", r)
				qt.Assert(t, err, qt.IsNil)
				wantRefusal(t, f, "b", r, verdict.MayHaveRun, verdict.ClaimHeld)
				qt.Assert(t, first.Finish(ctx, verdict.NotRun, 0), qt.IsNil)

				second, err := begin(f, "b", r)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, first.Finish(ctx, verdict.NotRun, 0), qt.IsNil)
				wantRefusal(t, f, "a", r, verdict.MayHaveRun, verdict.ClaimHeld)
				qt.Assert(t, second.Finish(ctx, verdict.Ran, 201), qt.IsNil)
				qt.Assert(t, second.Finish(ctx, verdict.NotRun, 0), qt.IsNil)
				time.Sleep(time.Second)
				wantRefusal(t, f, "a", r, verdict.Ran, verdict.AlreadyRan)
				_, err = begin(f, "c", r)
				qt.Assert(t, verdict.From(err).Status, qt.Equals, 201)
			})
		})
	}
}

func TestRefusedRequest(t *testing.T) {
	tests := map[string]struct {
		change func(*Request)
		want   verdict.Verdict
		code   verdict.Code
	}{
		"no ticket, no key": {func(r *Request) { r.Ticket = "" }, verdict.NotRun, verdict.BadRequest},
		"ticket and key":    {func(r *Request) { r.IdempotencyKey = "k" }, verdict.MayHaveRun, verdict.BadRequest},
		"forged":            {func(r *Request) { r.Ticket = r.Ticket[:30] + "__" + r.Ticket[32:] }, verdict.MayHaveRun, verdict.TicketRefused},
		"truncated":         {func(r *Request) { r.Ticket = r.Ticket[:20] }, verdict.MayHaveRun, verdict.TicketRefused},
		"other account":     {func(r *Request) { r.Account = "other" }, verdict.NotRun, verdict.TicketRefused},
		"long key": {func(r *Request) {
			*r = keyRequest(strings.Repeat("k", maxKeyLength+1))
		}, verdict.NotRun, verdict.BadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
				r := mustIssue(t, f.on("a"), "acc")
				test.change(&r)
				wantRefusal(t, f, "a", r, test.want, test.code)
			})
		})
	}
}

func TestSameKeyElsewhereIsAnotherRequest(t *testing.T) {
	withFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		for _, r := range []Request{
			{Account: "x", Route: "r", IdempotencyKey: "k"},
			{Account: "x", Route: "s", IdempotencyKey: "k"},
			{Account: "y", Route: "r", IdempotencyKey: "k"},
			{Account: "xr", Route: "", IdempotencyKey: "k"},
		} {
			_, err := begin(f, "a", r)
			qt.Assert(t, err, qt.IsNil)
		}
	})
}

// During an outage of the table, tickets can be claimed and idempotency keys can't.
func TestTableOutage(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		f.table.setDown(true)
		_, err := begin(f, "b", mustIssue(t, f.on("a"), "acc"))
		qt.Assert(t, err, qt.IsNil)
		key := keyRequest("k")
		wantRefusal(t, f, "b", key, verdict.MayHaveRun, verdict.ClaimUnavailable)
		f.table.setDown(false)
		_, err = begin(f, "b", key)
		qt.Assert(t, err, qt.IsNil)
	})
}

// mismatchedPeers answers every request for a claim with the grant of another
// claim.
type mismatchedPeers struct{}

func (mismatchedPeers) Call(_ context.Context, _, _ string, _, reply any) error {
	switch r := reply.(type) {
	case *BeginReply:
		*r = BeginReply{ID: newID(), Granted: true}
	case *RowBeginReply:
		*r = RowBeginReply{ID: newID(), Outcome: Granted}
	}
	return nil
}

func TestMismatchedReplyGrantsNothing(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(t *testing.T, f *fleet) {
		r := mustIssue(t, f.on("a"), "acc")
		f.mutate = func(c *Config) { c.Peers, c.DeliveryTimeout = mismatchedPeers{}, time.Second }
		f.start("b", 2)
		f.table.setDown(true)
		wantRefusal(t, f, "b", r, verdict.MayHaveRun, verdict.ClaimUnavailable)
		f.on("b").SetHosts(f.hosts[:1])
		wantRefusal(t, f, "b", keyRequest("k"), verdict.MayHaveRun, verdict.ClaimUnavailable)
	})
}

// The messages of RPC must survive the encoding of net/rpc, and must not be able to
// write rows that are not of claims.
func TestRPCOverConnection(t *testing.T) {
	f := newFleet("a")
	defer f.close()
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	server := rpc.NewServer()
	qt.Assert(t, server.RegisterName("Claim", f.on("a").RPC()), qt.IsNil)
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	client := rpc.NewClient(clientConn)
	defer func() { _ = client.Close() }()

	r, id := mustIssue(t, f.on("a"), "acc"), newID()
	var granted, held BeginReply
	qt.Assert(t, client.Call("Claim.Begin", &BeginArgs{r.Ticket, "r", id}, &granted), qt.IsNil)
	qt.Assert(t, granted, qt.Equals, BeginReply{ID: id, Granted: true})
	qt.Assert(t, client.Call("Claim.Begin", &BeginArgs{r.Ticket, "r", newID()}, &held), qt.IsNil)
	qt.Assert(t, held.Refusal.Code, qt.Equals, verdict.ClaimHeld)
	key := hashRequest(keyRequest("k"))
	var row RowBeginReply
	qt.Assert(t, client.Call("Claim.BeginRow", &RowBeginArgs{"acc", key, id, time.Second}, &row), qt.IsNil)
	qt.Assert(t, row.Outcome, qt.Equals, Granted)
	var end FinishReply
	foreign := &RowFinishArgs{"acc", key, End{ID: id, Ran: true}, "configuration/head", 1}
	qt.Assert(t, client.Call("Claim.FinishRow", foreign, &end), qt.ErrorMatches, errNotClaimRow.Error())
	qt.Assert(t, client.Call("Claim.BeginRow", &RowBeginArgs{Key: "k"}, &row), qt.ErrorMatches, errNotClaimRow.Error())
	qt.Assert(t, client.Call("Claim.FinishRow", &RowFinishArgs{"acc", key, foreign.End, row.Row, row.Version}, &end), qt.IsNil)
	qt.Assert(t, end.ID, qt.Equals, id)
}
