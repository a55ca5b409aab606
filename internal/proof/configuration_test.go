package proof

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
)

// inForceTimeout is the time within which an accepted change must be in force.
const inForceTimeout = 5 * time.Second

// caller sends requests with one key to the node of one host, one after another
// over one connection.
type caller struct {
	host        *host
	key         string
	connections atomic.Int32

	mu sync.Mutex
	// lastServed is the time at which the last served request was sent.
	lastServed time.Time
	served     int
	refused    int
	// failed counts the requests that were neither served nor refused with 403.
	failed int
	// failure is the status and body of the last response with a status of 500 or
	// above.
	failure string
	// servedAfterRefusal counts the requests that were served after an earlier one
	// was refused.
	servedAfterRefusal int
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !info.Reused {
			c.connections.Add(1)
		}
	}}
	ctx = httptrace.WithClientTrace(ctx, trace)
	for ctx.Err() == nil {
		sent := time.Now()
		status := c.call(ctx, transport)
		if ctx.Err() != nil {
			return
		}
		c.record(sent, status)
		time.Sleep(30 * time.Millisecond)
	}
}

func (c *caller) call(ctx context.Context, transport http.RoundTripper) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.host.callerAddress()+"/peals/x", http.NoBody)
	if err != nil {
		return 0
	}
	request.Header.Set(header.Key, c.key)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	if response.StatusCode >= http.StatusInternalServerError {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.failure = response.Status + " " + string(body)
	}
	return response.StatusCode
}

func (c *caller) record(sent time.Time, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch status {
	case http.StatusOK:
		c.lastServed = sent
		c.served++
		if c.refused > 0 {
			c.servedAfterRefusal++
		}
	case http.StatusForbidden:
		c.refused++
	default:
		c.failed++
	}
}

func (c *caller) failedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

func (c *caller) servedCount() int {
	served, _, _ := c.counts()
	return served
}

func (c *caller) counts() (served, refused, servedAfterRefusal int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served, c.refused, c.servedAfterRefusal
}

// withdrawal is a test case: the withdrawal of a key during a failure.
type withdrawal struct {
	// beginFailure is called before the withdrawal, and afterAccepted after the node
	// of acceptedBy has accepted it.
	beginFailure  func(f *fleet)
	afterAccepted func(f *fleet, acceptedBy *host)
	// partitionedZone is the zone that the withdrawal cannot reach until the failure
	// ends, or "" if it reaches all zones.
	partitionedZone string
	// restarts says that the node that accepted the withdrawal is restarted when the
	// failure ends.
	restarts bool
}

// withdrawals holds the test cases. The name of each is also the name of its key.
var withdrawals = map[string]withdrawal{
	"no-failure": {},
	"node-killed": {
		afterAccepted: func(_ *fleet, acceptedBy *host) { _ = acceptedBy.node.Kill() },
		restarts:      true,
	},
	"zone-without-platform": {
		beginFailure: func(f *fleet) { f.platformRelays["b"].Cut(standin.BothDirections) },
	},
	"zone-isolated": {
		beginFailure:    func(f *fleet) { f.partitionZone("b") },
		partitionedZone: "b",
	},
}

// TestWithdrawnKeyStops withdraws keys while callers that use them stay connected to
// every host. All hosts must refuse the keys within inForceTimeout, except those in
// a partitioned zone and a host whose node is killed, which must refuse them once the
// failure has ended. No output of the system may contain the secret of a key.
func TestWithdrawnKeyStops(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, callChainHosts(), callChainObjects()...)
	var secrets []string
	for name, w := range withdrawals {
		key := f.createKey("bern", name)
		secrets = append(secrets, key[strings.LastIndex(key, ".")+1:])
		t.Log(name)
		f.withdraw(name, key, w)
	}
	f.checkSecretsAbsent(secrets)
}

// withdraw calls every host with the key, withdraws the key during the failure, and
// checks that the hosts stop serving it in time.
func (f *fleet) withdraw(name, key string, w withdrawal) {
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var callers []*caller
	for _, h := range f.hostList {
		c := &caller{host: h, key: key}
		callers = append(callers, c)
		wg.Go(func() { c.run(ctx) })
	}
	f.awaitCallers("served calls", callers, func(c *caller) bool { served, _, _ := c.counts(); return served > 3 })
	if w.beginFailure != nil {
		w.beginFailure(f)
	}
	acceptedBy := f.hostList[1]
	result, err := f.client(acceptedBy).WithdrawKey(ctx, f.newOperationID(), name)
	accepted := time.Now()
	qt.Assert(f.t, err, qt.IsNil)
	if w.afterAccepted != nil {
		w.afterAccepted(f, acceptedBy)
	}
	reachable := slices.DeleteFunc(slices.Clone(callers), func(c *caller) bool {
		return c.host.spec.zone == w.partitionedZone || w.restarts && c.host == acceptedBy
	})
	f.awaitCallers("refused calls", reachable, refusedOften)
	f.checkKeyStopped(reachable, accepted)
	if w.partitionedZone != "" {
		f.checkUnconfirmed(f.hostList[0], w.partitionedZone, result.Generation)
	}
	f.restoreAll()
	restoredAt := time.Now()
	if w.restarts {
		f.startNode(acceptedBy)
	}
	f.awaitCallers("refused calls after the failure", callers, refusedOften)
	for _, c := range callers {
		if c.host.spec.zone == w.partitionedZone {
			f.t.Logf("%s served its last call %s after the end of the partition", c.host.spec.id, c.lastServedAt().Sub(restoredAt))
		}
	}
	f.checkKeyStopped(reachable, accepted)
}

func refusedOften(c *caller) bool {
	_, refused, _ := c.counts()
	return refused > 10
}

// lastServedAt returns the time at which the last served request was sent.
func (c *caller) lastServedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastServed
}

func (f *fleet) awaitCallers(what string, callers []*caller, condition func(*caller) bool) {
	f.t.Helper()
	f.await(awaitTimeout, what, func() bool {
		return !slices.ContainsFunc(callers, func(c *caller) bool { return !condition(c) })
	})
}

// checkKeyStopped checks that each caller was served for the last time within
// inForceTimeout after the withdrawal was accepted, was never served after a refusal,
// and used a single connection.
func (f *fleet) checkKeyStopped(callers []*caller, accepted time.Time) {
	f.t.Helper()
	latest := -time.Hour
	for _, c := range callers {
		_, _, servedAfterRefusal := c.counts()
		latest = max(latest, c.lastServedAt().Sub(accepted))
		qt.Check(f.t, servedAfterRefusal, qt.Equals, 0, qt.Commentf("host %s served a withdrawn key again", c.host.spec.id))
		qt.Check(f.t, c.connections.Load(), qt.Equals, int32(1), qt.Commentf("connections to %s", c.host.spec.id))
	}
	f.t.Logf("last served call was sent %s after the withdrawal was accepted (negative: before it)", latest)
	qt.Check(f.t, latest <= inForceTimeout, qt.IsTrue)
}

// checkUnconfirmed queries the status several times. It must never report that the
// zone has confirmed the generation.
func (f *fleet) checkUnconfirmed(node *host, zone string, generation uint64) {
	f.t.Helper()
	for range 10 {
		status, err := f.client(node).Status(f.ctx)
		qt.Assert(f.t, err, qt.IsNil)
		qt.Check(f.t, status.InForceGeneration, qt.Equals, generation)
		qt.Check(f.t, status.InForce.Status, qt.Not(qt.Equals), object.True)
		index := slices.IndexFunc(status.InForce.Zones, func(z object.ZoneConfirmation) bool { return z.AvailabilityZone == zone })
		qt.Assert(f.t, index >= 0, qt.IsTrue, qt.Commentf("the status does not list zone %s", zone))
		qt.Check(f.t, status.InForce.Zones[index].Confirmed, qt.Equals, 0)
		qt.Check(f.t, status.InForce.Zones[index].Status, qt.Not(qt.Equals), object.True)
	}
}

// checkSecretsAbsent checks that no secret appears in the output of any process, the
// rows of the table, the metrics or the responses of the resource API.
func (f *fleet) checkSecretsAbsent(secrets []string) {
	f.t.Helper()
	written := map[string]string{"rows": f.rows(), "audit": "", "keys": ""}
	for _, h := range f.hostList {
		written["audit"] += f.operatorGet(h.operatorURL() + "/v1/audit?limit=200")
		written["keys"] += f.operatorGet(h.operatorURL() + "/v1/objects/key")
		written["metrics "+h.spec.id] = f.operatorGet(h.operatorURL() + "/debug/vars")
	}
	f.logs.mu.Lock()
	written["logs"] = f.logs.b.String()
	f.logs.mu.Unlock()
	for where, text := range written {
		qt.Check(f.t, text, qt.Not(qt.Equals), "", qt.Commentf("nothing was read from: %s", where))
		for _, secret := range secrets {
			qt.Check(f.t, strings.Contains(text, secret), qt.IsFalse, qt.Commentf("a secret was found in: %s", where))
		}
	}
	// The texts must contain a key's name, "node-killed"; otherwise the search for
	// secrets would prove nothing.
	for _, where := range []string{"rows", "audit", "keys"} {
		qt.Check(f.t, strings.Contains(written[where], "node-killed"), qt.IsTrue, qt.Commentf("no key name was found in: %s", where))
	}
}

// rows returns the keys and values of all rows of the table.
func (f *fleet) rows() string {
	table := platform.New(platform.Config{TableAddress: f.platform.Ready(), StoreAddress: f.platform.Ready()})
	defer func() { _ = table.Close() }()
	rows, err := table.List(f.ctx, "", "", 100_000)
	qt.Assert(f.t, err, qt.IsNil)
	var text strings.Builder
	for _, row := range rows {
		fmt.Fprintf(&text, "%s %s\n", row.Key, row.Value)
	}
	return text.String()
}

// operatorGet returns the body of the response to a GET request with the operator's
// token.
func (f *fleet) operatorGet(url string) string {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, url, http.NoBody)
	qt.Assert(f.t, err, qt.IsNil)
	request.Header.Set(header.Operator, "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	qt.Assert(f.t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	qt.Assert(f.t, err, qt.IsNil)
	return string(body)
}

// generationRecorder polls the generation that each host applies while the host is
// ready, and records every decrease.
type generationRecorder struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	highest   map[*host]uint64
	samples   int
	decreases []string
}

func (f *fleet) recordGenerations() *generationRecorder {
	ctx, cancel := context.WithCancel(f.ctx)
	r := &generationRecorder{cancel: cancel, highest: make(map[*host]uint64)}
	for _, h := range f.hostList {
		r.wg.Go(func() { r.poll(ctx, f, h) })
	}
	return r
}

func (r *generationRecorder) poll(ctx context.Context, f *fleet, h *host) {
	for ctx.Err() == nil {
		if generation, ready := f.readyGeneration(h); ready {
			r.add(h, generation)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *generationRecorder) add(h *host, generation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples++
	if generation < r.highest[h] {
		r.decreases = append(r.decreases, fmt.Sprintf("%s %s: generation %d after %d",
			time.Now().Format(time.StampMilli), h.spec.id, generation, r.highest[h]))
	}
	r.highest[h] = max(r.highest[h], generation)
}

// close stops the polling and fails the test if a generation decreased.
func (r *generationRecorder) close(t testing.TB) {
	r.cancel()
	r.wg.Wait()
	t.Logf("%d generation samples", r.samples)
	qt.Check(t, r.decreases, qt.HasLen, 0)
	qt.Check(t, r.samples > 0, qt.IsTrue)
}

// readyGeneration returns the generation that a host applies, and whether the host
// is ready.
func (f *fleet) readyGeneration(h *host) (generation uint64, ready bool) {
	c := f.client(h)
	c.HTTP = &http.Client{Timeout: time.Second}
	list, err := c.List(f.ctx, object.KindAvailabilityZone, false)
	return list.Generation, err == nil
}

// appliedGeneration returns the generation that a host applies. Unlike
// statusGeneration, it returns 0 if the host is not ready.
func (f *fleet) appliedGeneration(h *host) uint64 {
	generation, ready := f.readyGeneration(h)
	if !ready {
		return 0
	}
	return generation
}

// awaitApplied waits until all of the hosts are ready and apply the generation or a
// later one, and returns how long that took.
func (f *fleet) awaitApplied(generation uint64, within time.Duration, hosts ...*host) time.Duration {
	f.t.Helper()
	return f.await(within, fmt.Sprintf("generation %d", generation), func() bool {
		return !slices.ContainsFunc(hosts, func(h *host) bool { return f.appliedGeneration(h) < generation })
	})
}

// declareService declares a new service through the first of the hosts that responds,
// with a new operation identifier.
func (f *fleet) declareService(hosts ...*host) (client.Result, error) {
	id := f.newOperationID()
	return f.declareServiceAs(id, hosts...)
}

// declareServiceAs declares a service, named after the operation identifier, through
// the first of the hosts that responds.
func (f *fleet) declareServiceAs(id string, hosts ...*host) (client.Result, error) {
	o := object.Object{Kind: object.KindService, Metadata: object.Metadata{Name: strings.ToLower(id)}, Spec: object.ServiceSpec{}}
	return f.client(hosts...).Apply(f.ctx, id, client.Batch{Objects: []object.Object{o}}, false)
}

// TestChangesSpread checks that each change is in force on every host within
// inForceTimeout after it is accepted, and logs the times. The changes are made
// through all hosts in turn.
func TestChangesSpread(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, callChainHosts(), callChainObjects()...)
	r := f.recordGenerations()
	times := make([]time.Duration, 30)
	for i := range times {
		result, err := f.declareService(f.hostList[i%len(f.hostList)])
		qt.Assert(t, err, qt.IsNil)
		times[i] = f.awaitApplied(result.Generation, inForceTimeout, f.hostList...)
	}
	slices.Sort(times)
	t.Logf("in force on all hosts after: minimum %s, median %s, maximum %s", times[0], times[len(times)/2], times[len(times)-1])
	r.close(t)
}

// TestNeverReverts restarts hosts and makes the platform unavailable during changes.
// No ready host may ever apply an older generation than it did before.
func TestNeverReverts(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, callChainHosts(), callChainObjects()...)
	r := f.recordGenerations()
	defer r.close(t)
	f.restartDuringChanges()
	f.changeAroundOutage()
	f.restartAllInOutage()
	f.loseResponses()
}

// restart kills and restarts the node of a host.
func (f *fleet) restart(h *host) {
	qt.Check(f.t, h.node.Kill(), qt.IsNil)
	f.startNode(h)
}

// restartDuringChanges restarts every host in turn, and then all at once, while
// changes are accepted.
func (f *fleet) restartDuringChanges() {
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	var accepted atomic.Uint64
	wg.Go(func() {
		for ctx.Err() == nil {
			if result, err := f.declareService(); err == nil {
				accepted.Store(result.Generation)
			}
		}
	})
	awaitAccepted := func() {
		before := accepted.Load()
		f.await(awaitTimeout, "an accepted change", func() bool { return accepted.Load() > before })
	}
	for _, h := range f.hostList {
		awaitAccepted()
		f.restart(h)
		f.awaitApplied(accepted.Load(), awaitTimeout, h)
	}
	awaitAccepted()
	for _, h := range f.hostList {
		qt.Check(f.t, h.node.Kill(), qt.IsNil)
	}
	highest := accepted.Load()
	f.startNodes().Wait()
	for _, h := range f.hostList {
		qt.Check(f.t, f.appliedGeneration(h) >= highest, qt.IsTrue, qt.Commentf("%s does not apply generation %d or a later one", h.spec.id, highest))
	}
	awaitAccepted()
	cancel()
	wg.Wait()
	took := f.awaitApplied(accepted.Load(), inForceTimeout, f.hostList...)
	f.t.Logf("generation %d in force %s after the last change was accepted", accepted.Load(), took)
}

// startNodes starts the nodes of all hosts. The returned group is done when all
// nodes are ready.
func (f *fleet) startNodes() *sync.WaitGroup {
	wg := new(sync.WaitGroup)
	for _, h := range f.hostList {
		wg.Go(func() { f.startNode(h) })
	}
	return wg
}

// changeAroundOutage makes the platform unavailable right after a change is accepted,
// restarts a host, and checks that no further change is accepted until the platform
// is available again.
func (f *fleet) changeAroundOutage() {
	result, err := f.declareService(f.hostList[0])
	qt.Assert(f.t, err, qt.IsNil)
	f.control(f.platform.Ready(), `{"outage": true}`)
	took := f.awaitApplied(result.Generation, inForceTimeout, f.hostList...)
	f.t.Logf("generation %d in force %s after the platform became unavailable", result.Generation, took)
	f.restart(f.hostList[4])
	f.awaitApplied(result.Generation, awaitTimeout, f.hostList[4])
	id := f.newOperationID()
	_, err = f.declareServiceAs(id)
	qt.Check(f.t, err, qt.IsNotNil)
	f.control(f.platform.Ready(), `{"outage": false}`)
	var repeated client.Result
	f.await(awaitTimeout, "an accepted change after the outage", func() bool {
		repeated, err = f.declareServiceAs(id)
		return err == nil
	})
	qt.Check(f.t, repeated.Generation, qt.Equals, result.Generation+1)
	f.awaitApplied(repeated.Generation, inForceTimeout, f.hostList...)
}

// restartAllInOutage restarts all hosts at once while the platform is unavailable.
// None may report that it is ready until the platform is available again.
func (f *fleet) restartAllInOutage() {
	highest := f.appliedGeneration(f.hostList[0])
	waiting := f.logged("configuration-waiting")
	f.control(f.platform.Ready(), `{"outage": true}`)
	for _, h := range f.hostList {
		qt.Check(f.t, h.node.Kill(), qt.IsNil)
	}
	starts := f.startNodes()
	f.await(awaitTimeout, "all nodes to wait for the platform", func() bool { return f.logged("configuration-waiting") >= waiting+len(f.hostList) })
	for _, h := range f.hostList {
		_, ready := f.readyGeneration(h)
		qt.Check(f.t, ready, qt.IsFalse, qt.Commentf("%s is ready without the configuration", h.spec.id))
	}
	f.control(f.platform.Ready(), `{"outage": false}`)
	began := time.Now()
	starts.Wait()
	f.awaitApplied(highest, awaitTimeout, f.hostList...)
	f.t.Logf("all hosts ready %s after the end of the outage in which they were restarted", time.Since(began))
}

// logged counts the occurrences of an event in the processes' output.
func (f *fleet) logged(event string) int {
	f.logs.mu.Lock()
	defer f.logs.mu.Unlock()
	return strings.Count(f.logs.b.String(), event)
}

// loseResponses makes the platform apply half of all requests without sending a
// response. Each change must be in the audit trail exactly once.
func (f *fleet) loseResponses() {
	f.control(f.platform.Ready(), `{"lose-answers": 0.5}`)
	ids := make(map[string]int)
	failedAttempts := 0
	for range 10 {
		id := f.newOperationID()
		ids[id] = 0
		f.await(awaitTimeout, "an accepted change", func() bool {
			_, err := f.declareServiceAs(id)
			if err != nil {
				failedAttempts++
			}
			return err == nil
		})
	}
	f.control(f.platform.Ready(), `{"lose-answers": 0}`)
	f.t.Logf("%d changes while responses were lost; the operator repeated them %d times", len(ids), failedAttempts)
	for after, more := uint64(0), true; more; {
		page, err := f.client().Audit(f.ctx, after, 200)
		qt.Assert(f.t, err, qt.IsNil)
		for _, record := range page.Records {
			if _, ours := ids[record.OperationID]; ours {
				ids[record.OperationID]++
			}
		}
		after, more = page.Next, page.Next > 0
	}
	for id, entries := range ids {
		qt.Check(f.t, entries, qt.Equals, 1, qt.Commentf("operation %s", id))
	}
}

// TestRacingOperators lets two operators replace the same version of an object
// through two hosts at the same time. One must succeed, and the other must be
// refused with a conflict.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, callChainHosts(), callChainObjects()...)
	for round := range 20 {
		id := object.ID{Kind: object.KindService, Name: "rota"}
		current, err := f.client(f.hostList[0]).Get(f.ctx, id)
		qt.Assert(t, err, qt.IsNil)
		var results [2]client.Result
		var errs [2]error
		var wg sync.WaitGroup
		for i := range 2 {
			o := object.Object{
				Kind:     id.Kind,
				Metadata: object.Metadata{Name: id.Name, ResourceVersion: current.ResourceVersion},
				Spec:     object.ServiceSpec{Description: fmt.Sprintf("round %d by %d", round, i)},
			}
			wg.Go(func() {
				results[i], errs[i] = f.client(f.hostList[3*i]).Apply(f.ctx, f.newOperationID(), client.Batch{Objects: []object.Object{o}}, false)
			})
		}
		wg.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		qt.Assert(t, errs[winner], qt.IsNil)
		var refusal *object.Refusal
		qt.Assert(t, errors.As(errs[1-winner], &refusal), qt.IsTrue, qt.Commentf("%v", errs[1-winner]))
		qt.Assert(t, refusal.Code, qt.Equals, object.Conflict)
		f.awaitApplied(results[winner].Generation, inForceTimeout, f.hostList...)
		got, err := f.client(f.hostList[5]).Get(f.ctx, id)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got.Spec.(object.ServiceSpec).Description, qt.Equals, fmt.Sprintf("round %d by %d", round, winner))
	}
}

// TestStatusClaimsOnlyWhatHolds suspends the node of one host after another before a
// change. No status may report that the change is in force until the suspended host
// applies it.
func TestStatusClaimsOnlyWhatHolds(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, callChainHosts(), callChainObjects()...)
	trueCount := 0
	for i, suspended := range f.hostList {
		queried := f.hostList[(i+1)%len(f.hostList)]
		qt.Assert(t, suspended.node.Suspend(f.ctx), qt.IsNil)
		result, err := f.declareService(queried)
		qt.Assert(t, err, qt.IsNil)
		for range 3 {
			f.checkNotReportedInForce(queried, result.Generation)
		}
		qt.Assert(t, suspended.node.Resume(f.ctx), qt.IsNil)
		f.awaitApplied(result.Generation, awaitTimeout, suspended)
		f.await(awaitTimeout, "a status that reports the change in force", func() bool {
			status, err := f.client(queried).Status(f.ctx)
			if err != nil || status.InForce.Status != object.True {
				return false
			}
			trueCount++
			for _, h := range f.hostList {
				qt.Check(t, f.appliedGeneration(h) >= status.InForceGeneration, qt.IsTrue, qt.Commentf("reported in force while %s was behind", h.spec.id))
			}
			return status.InForceGeneration >= result.Generation
		})
	}
	t.Logf("%d statuses reported a generation in force", trueCount)
}

// checkNotReportedInForce checks that a host's status does not report that the generation is
// in force.
func (f *fleet) checkNotReportedInForce(queried *host, generation uint64) {
	f.t.Helper()
	status, err := f.client(queried).Status(f.ctx)
	qt.Assert(f.t, err, qt.IsNil)
	reported := status.InForce.Status == object.True && status.InForceGeneration >= generation
	qt.Check(f.t, reported, qt.IsFalse, qt.Commentf("%s reports a change in force that a suspended host does not apply", queried.spec.id))
}
