package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	longTimeout  = 10 * time.Second
	shortTimeout = 100 * time.Millisecond
)

// startPlatform returns a simulated platform and a client of it.
func startPlatform(t *testing.T, timeout time.Duration) (*standin.Platform, *platform.Client) {
	p := standin.NewPlatform(1)
	server := httptest.NewServer(p.Handler())
	client := newClient(t, strings.TrimPrefix(server.URL, "http://"), timeout)
	t.Cleanup(func() {
		server.Close()
		qt.Check(t, p.Close(), qt.IsNil)
	})
	return p, client
}

func newClient(t *testing.T, address string, timeout time.Duration) *platform.Client {
	client := platform.New(platform.Config{TableAddress: address, StoreAddress: address, Timeout: timeout})
	t.Cleanup(func() { qt.Check(t, client.Close(), qt.IsNil) })
	return client
}

func putRow(key, value string) platform.Transaction {
	return platform.Transaction{Writes: []platform.Write{{Key: key, Value: []byte(value)}}}
}

func TestCommitIsTransactional(t *testing.T) {
	_, client := startPlatform(t, longTimeout)
	ctx := t.Context()
	qt.Assert(t, client.Commit(ctx, putRow("a", "1")), qt.IsNil)
	stale := platform.Transaction{
		Conditions: []platform.Condition{{Key: "a", Version: 1}, {Key: "b", Version: 3}},
		Writes:     []platform.Write{{Key: "a", Value: []byte("2")}, {Key: "c", Value: []byte("2")}},
	}
	qt.Assert(t, client.Commit(ctx, stale), qt.ErrorIs, platform.ErrConflict)
	stale.Conditions[1].Version = 0
	qt.Assert(t, client.Commit(ctx, stale), qt.IsNil)
	rows, err := client.Get(ctx, "c", "a", "b")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows, qt.DeepEquals, []platform.Row{
		{Key: "c", Version: 1, Value: []byte("2")},
		{Key: "a", Version: 2, Value: []byte("2")},
		{Key: "b"},
	})
}

func TestListPages(t *testing.T) {
	_, client := startPlatform(t, longTimeout)
	ctx := t.Context()
	const count = 12
	large := strings.Repeat("x", 20<<10) // the service ends a page at 64 KiB
	for i := range count {
		qt.Assert(t, client.Commit(ctx, putRow(fmt.Sprintf("row/%02d", i), large)), qt.IsNil)
	}
	qt.Assert(t, client.Commit(ctx, putRow("rox", "")), qt.IsNil)
	tests := map[string]struct {
		after       string
		limit       int
		first, want int
	}{
		"limit above count": {limit: 100, want: count},
		"limit below count": {limit: 9, want: 9},
		"after a row":       {after: "row/04", limit: 100, first: 5, want: 7},
		"limit of zero":     {limit: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rows, err := client.List(ctx, "row/", test.after, test.limit)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, rows, qt.HasLen, test.want)
			for i, row := range rows {
				qt.Assert(t, row.Key, qt.Equals, fmt.Sprintf("row/%02d", test.first+i))
			}
		})
	}
}

func TestLostAnswer(t *testing.T) {
	tests := map[string]platform.Transaction{"plain": putRow("a", "1"), "conditional": {
		Conditions: []platform.Condition{{Key: "a"}},
		Writes:     []platform.Write{{Key: "a", Value: []byte("1")}},
	}}
	for name, tx := range tests {
		t.Run(name, func(t *testing.T) {
			p, client := startPlatform(t, longTimeout)
			ctx := t.Context()
			p.SetFaults(standin.PlatformFaults{LoseResponses: 1})
			qt.Assert(t, client.Commit(ctx, tx), qt.ErrorIs, platform.ErrOutcomeUnknown)
			_, err := client.Get(ctx, "a")
			qt.Assert(t, err, qt.ErrorIs, platform.ErrUnavailable)
			p.SetFaults(standin.PlatformFaults{})
			rows, err := client.Get(ctx, "a")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, rows[0].Version, qt.Equals, uint64(1))
		})
	}
}

func TestLateEffect(t *testing.T) {
	p, client := startPlatform(t, longTimeout)
	ctx := t.Context()
	p.SetFaults(standin.PlatformFaults{LoseResponses: 1, LateEffectsMs: 100})
	qt.Assert(t, client.Commit(ctx, putRow("a", "1")), qt.ErrorIs, platform.ErrOutcomeUnknown)
	p.SetFaults(standin.PlatformFaults{})
	qt.Assert(t, p.Close(), qt.IsNil) // waits until the write has taken effect
	rows, err := client.Get(ctx, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows[0].Version, qt.Equals, uint64(1))
}

func TestSlowService(t *testing.T) {
	p, client := startPlatform(t, shortTimeout)
	p.SetFaults(standin.PlatformFaults{DelayMs: 2 * int(shortTimeout/time.Millisecond)})
	err := client.Commit(t.Context(), putRow("a", "1"))
	qt.Assert(t, err, qt.ErrorIs, platform.ErrOutcomeUnknown)
	qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
	qt.Assert(t, client.Objects().Put(t.Context(), "o", nil), qt.ErrorIs, platform.ErrOutcomeUnknown)
}

func TestOutage(t *testing.T) {
	p, client := startPlatform(t, longTimeout)
	ctx := t.Context()
	p.SetFaults(standin.PlatformFaults{Outage: true})
	started := time.Now()
	for range 100 {
		qt.Assert(t, client.Commit(ctx, putRow("a", "1")), qt.ErrorIs, platform.ErrUnavailable)
	}
	// Three failures open the circuit; then at most one probe every 200 ms
	// reaches the service.
	bound := 3 + int64(time.Since(started)/(200*time.Millisecond))
	qt.Assert(t, p.Stats().Refused <= bound, qt.IsTrue)
	p.SetFaults(standin.PlatformFaults{})
	qt.Assert(t, client.Objects().Put(ctx, "o", []byte("x")), qt.IsNil) // the object store has its own circuit breaker
	waitUntilCircuitCloses(t, client)
}

// waitUntilCircuitCloses reads until a probe has closed the circuit.
func waitUntilCircuitCloses(t *testing.T, client *platform.Client) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for {
		_, err := client.Get(ctx, "a")
		if err == nil {
			return
		}
		qt.Assert(t, ctx.Err(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
}

func TestDialRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	client := newClient(t, address, longTimeout)
	qt.Assert(t, client.Commit(t.Context(), putRow("a", "1")), qt.ErrorIs, platform.ErrUnavailable)
}

func TestUnexpectedAnswers(t *testing.T) {
	tests := map[string]struct {
		status      int
		body        string
		write, read error
	}{
		"503 without code":    {503, "bad gateway", platform.ErrOutcomeUnknown, platform.ErrUnavailable},
		"503 from service":    {503, `{"code":"unavailable"}`, platform.ErrUnavailable, platform.ErrUnavailable},
		"409 with other code": {409, `{"code":"unavailable"}`, platform.ErrOutcomeUnknown, platform.ErrUnavailable},
		"redirect":            {307, "", platform.ErrOutcomeUnknown, platform.ErrUnavailable},
		"internal error":      {500, `{"code":"unavailable"}`, platform.ErrOutcomeUnknown, platform.ErrUnavailable},
		"request refused":     {400, `{"code":"refused"}`, platform.ErrRefused, platform.ErrRefused},
		"row of other key":    {200, `{"rows":[{"key":"b","version":1}]}`, nil, platform.ErrUnavailable},
		"oversized":           {200, strings.Repeat("x", 9<<20), platform.ErrOutcomeUnknown, platform.ErrUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer server.Close()
			client := newClient(t, strings.TrimPrefix(server.URL, "http://"), longTimeout)
			qt.Assert(t, client.Commit(t.Context(), putRow("a", "1")), qt.ErrorIs, test.write)
			_, err := client.Get(t.Context(), "a")
			qt.Assert(t, err, qt.ErrorIs, test.read)
		})
	}
}

func TestObjects(t *testing.T) {
	_, client := startPlatform(t, longTimeout)
	store := client.Objects()
	_, err := store.Get(t.Context(), "snapshot/7 a?")
	qt.Assert(t, err, qt.ErrorIs, platform.ErrNotFound)
	qt.Assert(t, store.Put(t.Context(), "snapshot/7 a?", []byte("data")), qt.IsNil)
	data, err := store.Get(t.Context(), "snapshot/7 a?")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Equals, "data")
}

func TestClosed(t *testing.T) {
	_, client := startPlatform(t, longTimeout)
	qt.Assert(t, client.Close(), qt.IsNil)
	qt.Assert(t, client.Commit(t.Context(), putRow("a", "1")), qt.ErrorIs, platform.ErrUnavailable)
}

func TestConcurrentIncrements(t *testing.T) {
	_, client := startPlatform(t, longTimeout)
	const goroutines, increments = 8, 20
	var group conc.WaitGroup
	for range goroutines {
		group.Go(func() {
			for done := 0; done < increments; {
				rows, err := client.Get(t.Context(), "a")
				if !qt.Check(t, err, qt.IsNil) {
					return
				}
				tx := putRow("a", "")
				tx.Conditions = []platform.Condition{{Key: "a", Version: rows[0].Version}}
				if client.Commit(t.Context(), tx) == nil {
					done++
				}
			}
		})
	}
	group.Wait()
	rows, err := client.Get(t.Context(), "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows[0].Version, qt.Equals, uint64(goroutines*increments))
}

func BenchmarkGet(b *testing.B) {
	server := httptest.NewServer(standin.NewPlatform(1).Handler())
	defer server.Close()
	client := platform.New(platform.Config{TableAddress: strings.TrimPrefix(server.URL, "http://")})
	defer func() { _ = client.Close() }()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Get(b.Context(), "a"); err != nil {
			b.Fatal(err)
		}
	}
}
