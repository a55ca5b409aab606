package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/settings"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

const (
	rolloutOperatorToken = "an-operators-token"
	// rolloutOver is the time of the rollouts. The promotion has 4 % of it, which must be
	// enough for several polls on a busy machine.
	rolloutOver = 12 * time.Second
	// rolloutRate is the number of requests a second, which a host of the old version
	// alone could take.
	rolloutRate = 200
	// rolloutSlots is the number of slots of each backend server, far above what the
	// requests need, so that none is refused on a busy machine.
	rolloutSlots = 50
	// rolloutHosts is the number of hosts, half of them with the new version.
	rolloutHosts = 4
)

// rolloutHost is a node with a stand-in for its backend server.
type rolloutHost struct {
	node    *Node
	backend *standin.Backend
	// stopBackend stops the backend server without notice to the node.
	stopBackend func()
}

// rolloutFleet is a fleet in one process, with callers.
type rolloutFleet struct {
	t        *testing.T
	table    string
	network  string
	secret   string
	old, new []*rolloutHost
	sent     atomic.Int64
	failed   atomic.Int64
	refused  sync.Map
}

var rolloutFleets atomic.Int64

// newRolloutFleet starts hosts of both versions, and waits until requests are served.
func newRolloutFleet(t *testing.T) *rolloutFleet {
	if testing.Short() {
		t.Skip("takes the time of a rollout")
	}
	table := standin.NewPlatform(1)
	server := httptest.NewServer(table.Handler())
	t.Cleanup(server.Close)
	f := &rolloutFleet{
		t: t, table: server.Listener.Addr().String(), secret: strings.Repeat("5a", 32),
		network: fmt.Sprintf("127.%d.%d", 60+os.Getpid()%150, rolloutFleets.Add(1)),
	}
	for i := range 2 {
		f.old = append(f.old, f.start(i, "v1"))
	}
	f.apply(
		object.Object{Kind: object.KindService, Metadata: object.Metadata{Name: "peals"}, Spec: object.ServiceSpec{}},
		object.Object{Kind: object.KindRoute, Metadata: object.Metadata{Name: "peals"}, Spec: object.RouteSpec{
			PathPrefix: "/", Service: "peals", Urgency: object.Normal, Open: true,
		}},
	)
	f.await("requests are served", func() bool { return f.send(0) == http.StatusOK && f.send(1) == http.StatusOK })
	for i := 2; i < rolloutHosts; i++ {
		f.new = append(f.new, f.start(i, "v2"))
	}
	for i := range rolloutHosts {
		f.await("requests are served by all", func() bool { return f.send(i) == http.StatusOK })
	}
	f.await("the old version is warm", func() bool {
		var wg sync.WaitGroup
		for i := range rolloutSlots {
			wg.Go(func() { f.send(i % rolloutHosts) }) // A limit is raised only while it is reached.
		}
		wg.Wait()
		return !slices.ContainsFunc(f.old, func(h *rolloutHost) bool { return h.node.admission.Load().Limit < rolloutSlots/4 })
	})
	f.refused.Clear()
	return f
}

// start starts a host with a backend server of the version.
func (f *rolloutFleet) start(index int, version string) *rolloutHost {
	ip := fmt.Sprintf("%s.%d", f.network, index+1)
	s := settings.Default()
	s.Host, s.AvailabilityZone = fmt.Sprintf("host-%d", index), "zone-a"
	s.CallerAddress, s.BackendAddress, s.PeerAddress, s.OperatorAddress = ip+":7100", ip+":7101", ip+":7102", ip+":7103"
	s.Seeds = []string{f.network + ".1:7102"}
	s.Platform.TableAddress, s.Platform.ObjectStoreAddress = f.table, f.table
	s.FleetSecret = f.secret
	sum := sha256.Sum256([]byte(rolloutOperatorToken))
	s.Operators = []settings.Operator{{Name: "anna", TokenSHA256: hex.EncodeToString(sum[:])}}
	s.Limits.CanaryPercent = 10
	s.Limits.LeaveNoticeMs = 0
	n, err := New(s)
	qt.Assert(f.t, err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	done, ready := make(chan error, 1), make(chan struct{})
	go func() { done <- n.Run(ctx, func() { close(ready) }) }()
	<-ready
	listener, err := net.Listen("tcp", ip+":7104")
	qt.Assert(f.t, err, qt.IsNil)
	h := &rolloutHost{node: n, backend: standin.NewBackend(standin.BackendConfig{
		Service: "peals", Version: version, Address: listener.Addr().String(), Node: s.BackendAddress,
		Slots: rolloutSlots, Connections: 100, ServiceTime: 5 * time.Millisecond, Seed: uint64(index), Runs: io.Discard,
	})}
	backendCtx, stopBackend := context.WithCancel(context.Background())
	backendDone := make(chan error, 1)
	go func() { backendDone <- h.backend.Serve(backendCtx, listener) }()
	h.stopBackend = stopBackend
	f.t.Cleanup(func() {
		stopBackend()
		qt.Check(f.t, <-backendDone, qt.IsNil)
		qt.Check(f.t, h.backend.Close(), qt.IsNil)
		stop()
		qt.Check(f.t, <-done, qt.IsNil)
	})
	return h
}

func (f *rolloutFleet) api() *client.Client {
	return &client.Client{Nodes: []string{"http://" + f.network + ".1:7103"}, Token: rolloutOperatorToken}
}

func (f *rolloutFleet) apply(objects ...object.Object) {
	_, err := f.api().Apply(f.t.Context(), fmt.Sprintf("op-%d", time.Now().UnixNano()), client.Batch{Objects: objects}, false)
	qt.Assert(f.t, err, qt.IsNil)
}

// order orders a rollout to v2.
func (f *rolloutFleet) order() {
	f.apply(object.Object{Kind: object.KindRollout, Metadata: object.Metadata{Name: "peals"}, Spec: object.RolloutSpec{
		Target: "v2", OverMs: int(rolloutOver.Milliseconds()),
	}})
}

func (f *rolloutFleet) await(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for: %s; the state is %+v", what, f.state())
		}
	}
}

// send sends one request to a host and returns the status of the response, 0 if there is
// none.
func (f *rolloutFleet) send(host int) int {
	response, err := http.Get(fmt.Sprintf("http://%s.%d:7100/last", f.network, host+1))
	if err != nil {
		return 0
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		f.refused.Store(string(body), time.Now())
	}
	return response.StatusCode
}

// load sends requests to all hosts until the returned function is called.
func (f *rolloutFleet) load() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / rolloutRate)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			wg.Go(func() {
				f.sent.Add(1)
				if f.send(i%rolloutHosts) != http.StatusOK {
					f.failed.Add(1)
				}
			})
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// runs returns how many requests ran on the hosts' backend servers.
func runs(hosts []*rolloutHost) int64 {
	total := int64(0)
	for _, h := range hosts {
		total += h.backend.Stats().Runs
	}
	return total
}

func (f *rolloutFleet) state() client.Rollout {
	status, _ := f.api().Rollout(f.t.Context(), "peals")
	return status
}

// reports describes the failed requests.
func (f *rolloutFleet) reports() qt.Comment {
	var text strings.Builder
	f.refused.Range(func(body, _ any) bool {
		fmt.Fprintln(&text, body)
		return true
	})
	return qt.Commentf("%d of %d failed: %s; state %+v", f.failed.Load(), f.sent.Load(), text.String(), f.state())
}

// TestGoodRollout guards against requests that reach a new version without an order, and
// against requests that are lost when it replaces the old one.
func TestGoodRollout(t *testing.T) {
	f := newRolloutFleet(t)
	stop := f.load()
	time.Sleep(time.Second)
	qt.Check(t, runs(f.new), qt.Equals, int64(0))
	f.order()
	ordered := time.Now()
	f.await("the canary", func() bool { return runs(f.new) > 0 })
	qt.Check(t, f.state().State, qt.Equals, "running")
	f.await("the end", func() bool { return f.state().State != "running" })
	took := time.Since(ordered)
	for _, h := range f.old {
		h.stopBackend()
	}
	qt.Check(t, f.state().State, qt.Equals, "completed", f.reports())
	qt.Check(t, took < rolloutOver+time.Second, qt.IsTrue, qt.Commentf("%v", took))
	before := runs(f.old)
	time.Sleep(2 * time.Second)
	stop()
	qt.Check(t, runs(f.old), qt.Equals, before)
	qt.Check(t, f.failed.Load(), qt.Equals, int64(0), f.reports())
}

// TestBadRollout guards against a bad version that gets more than its share or stays, and
// against callers who get its failures although the old version could have served them.
func TestBadRollout(t *testing.T) {
	f := newRolloutFleet(t)
	for _, h := range f.new {
		h.backend.SetFaults(standin.BackendFaults{ServiceTimeMs: 5, ResetConnections: 0.5})
	}
	stop := f.load()
	before := f.sent.Load()
	f.order()
	f.await("the end", func() bool { return f.state().State == "rolled-back" })
	qt.Check(t, f.state().Reason, qt.Equals, "failures")
	time.Sleep(200 * time.Millisecond)
	reached, sent := runs(f.new), f.sent.Load()-before
	const slack = 50
	qt.Check(t, float64(reached) <= 0.1*float64(sent)+slack, qt.IsTrue, qt.Commentf("%d of %d", reached, sent))
	time.Sleep(time.Second)
	stop()
	qt.Check(t, runs(f.new), qt.Equals, reached)
	qt.Check(t, f.failed.Load(), qt.Equals, int64(0), f.reports())
}

// TestWithdrawnRollout guards against requests that reach the new version after its order was taken back.
func TestWithdrawnRollout(t *testing.T) {
	f := newRolloutFleet(t)
	stop := f.load()
	f.order()
	f.await("the canary", func() bool { return runs(f.new) > 0 })
	o, err := f.api().Get(t.Context(), object.ID{Kind: object.KindRollout, Name: "peals"})
	qt.Assert(t, err, qt.IsNil)
	_, err = f.api().Delete(t.Context(), "withdraw", o.ID(), o.ResourceVersion, false)
	qt.Assert(t, err, qt.IsNil)
	f.await("the end", func() bool { return f.state().State == "rolled-back" })
	qt.Check(t, f.state().Reason, qt.Equals, "withdrawn")
	time.Sleep(200 * time.Millisecond)
	reached := runs(f.new)
	time.Sleep(time.Second)
	stop()
	qt.Check(t, runs(f.new), qt.Equals, reached)
	qt.Check(t, f.failed.Load(), qt.Equals, int64(0), f.reports())
}
