package quota

import (
	"context"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/verdict"
)

// pipeCaller makes net/rpc calls over in-memory pipes.
type pipeCaller struct {
	servers map[string]*rpc.Server
}

func (p *pipeCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	server := p.servers[address]
	if server == nil {
		return peer.ErrNotSent
	}
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	client := rpc.NewClient(clientConn)
	defer func() { _ = client.Close() }()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return peer.ErrBroken
	}
}

// lockedTable is a fakeTable that is safe for concurrent use.
type lockedTable struct {
	mu sync.Mutex
	fakeTable
}

func (t *lockedTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fakeTable.Get(ctx, keys...)
}

func (t *lockedTable) Commit(ctx context.Context, tx platform.Transaction) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fakeTable.Commit(ctx, tx)
}

func startManagers(t *testing.T, ctx context.Context, limits map[string]Limit, ids ...string) ([]*Manager, *lockedTable) {
	p := &pipeCaller{servers: make(map[string]*rpc.Server)}
	table := &lockedTable{fakeTable: fakeTable{rows: make(map[string]platform.Row)}}
	var hosts []Host
	var managers []*Manager
	for _, id := range ids {
		hosts = append(hosts, Host{ID: id, Zone: "z", Address: id})
		m := New(Config{Host: id, Zone: "z", Incarnation: 1, Peers: p, Table: table})
		p.servers[id] = rpc.NewServer()
		qt.Assert(t, p.servers[id].RegisterName(serviceName, m.RPC()), qt.IsNil)
		managers = append(managers, m)
	}
	for _, m := range managers {
		m.SetAccounts(limits)
		m.SetHosts(hosts)
		go func() { _ = m.Run(ctx) }()
	}
	return managers, table
}

// TestManagers spends tokens of complete Managers from many goroutines, and then
// closes the Managers one after the other.
func TestManagers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := Limit{Rate: 200, Burst: 40}
		managers, table := startManagers(t, t.Context(), map[string]Limit{"a": limit}, "h1", "h2", "h3")
		time.Sleep(60 * time.Second)

		var mu sync.Mutex
		var spent []time.Time
		refusals := make(map[verdict.Code]int)
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				for range 200 {
					err := managers[i%3].Spend(t.Context(), "a")
					mu.Lock()
					if err == nil {
						spent = append(spent, time.Now())
					} else {
						qt.Check(t, verdict.Of(err), qt.Equals, verdict.NotRun)
						refusals[verdict.From(err).Code]++
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		slices.SortFunc(spent, time.Time.Compare)
		qt.Assert(t, checkReferenceBucket(limit, spent), qt.IsNil)
		qt.Assert(t, float64(len(spent)) > 0.95*limit.Rate*4, qt.IsTrue)
		qt.Assert(t, refusals[verdict.QuotaExceeded], qt.Equals, 2400-len(spent))

		for _, m := range managers {
			qt.Assert(t, m.Close(), qt.IsNil)
			qt.Assert(t, verdict.From(m.Spend(t.Context(), "a")).Verdict, qt.Equals, verdict.NotRun)
		}
		r, err := decodeRoster(table.rows[rosterPrefix+"z"].Value)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.heldTotal(), qt.Equals, 0.0)
	})
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		managers, _ := startManagers(t, t.Context(), map[string]Limit{"a": {Rate: 1, Burst: 1}}, "h1")
		m := managers[0]
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		tests := map[string]struct {
			ctx     context.Context
			account string
			want    verdict.Code
		}{
			"unknown account":        {ctx: t.Context(), account: "b", want: verdict.QuotaUnavailable},
			"no host has a fraction": {ctx: t.Context(), account: "a", want: verdict.QuotaUnavailable},
			"cancelled":              {ctx: ended, account: "a", want: verdict.Cancelled},
		}
		for name, test := range tests {
			err := m.Spend(test.ctx, test.account)
			qt.Check(t, verdict.Of(err), qt.Equals, verdict.NotRun, qt.Commentf(name))
			qt.Check(t, verdict.From(err).Code, qt.Equals, test.want, qt.Commentf(name))
			time.Sleep(time.Second)
		}
		time.Sleep(30 * time.Second)
		permit, err := m.Take(t.Context(), "a")
		qt.Check(t, err, qt.IsNil)
		permit.Return()
		qt.Check(t, m.Spend(t.Context(), "a"), qt.IsNil)
		qt.Check(t, verdict.From(m.Spend(t.Context(), "a")).Code, qt.Equals, verdict.QuotaExceeded)
		qt.Check(t, m.Close(), qt.IsNil)
	})
}
