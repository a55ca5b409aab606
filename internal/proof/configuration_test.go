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

// inForceWithin is the time in which an accepted change must be in force.
const inForceWithin = 5 * time.Second

// caller sends requests with one key to one host, over one connection.
type caller struct {
	host        *host
	key         string
	connections atomic.Int32

	mu sync.Mutex
	// lastServed is when the last request that was served was sent.
	lastServed time.Time
	served     int
	refused    int
	// failed counts those with another answer, or none.
	failed int
	// failure is the last answer with a status of 500 or above.
	failure string
	// revived counts requests that were served after one was refused.
	revived int
}

// run calls until the context ends.
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.host.caller()+"/peals/x", http.NoBody)
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
			c.revived++
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

func (c *caller) counts() (served, refused, revived int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served, c.refused, c.revived
}

// withdrawal is one withdrawal of a key under a failure.
type withdrawal struct {
	// before brings the failure about, after what follows the accepted answer.
	before func(f *fleet)
	after  func(f *fleet, by *host)
	// isolated zones are not reached until the failure ends.
	isolated string
	// restarted is true where the withdrawal's own node is restarted.
	restarted bool
}

var withdrawals = map[string]withdrawal{
	"fleet-whole": {},
	"node-killed": {
		after:     func(_ *fleet, by *host) { _ = by.node.Kill() },
		restarted: true,
	},
	"zone-without-platform": {
		before: func(f *fleet) { f.toPlatform["b"].Cut(standin.BothWays) },
	},
	"zone-isolated": {
		before:   func(f *fleet) { f.cutZone("b") },
		isolated: "b",
	},
}

// TestWithdrawnKeyStops withdraws keys from callers that stay connected to every
// host, and looks for the keys' secrets in all that the system writes.
func TestWithdrawnKeyStops(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, ringing(), ringingObjects()...)
	var secrets []string
	for name, w := range withdrawals {
		key := f.createKey("bern", name)
		secrets = append(secrets, key[strings.LastIndex(key, ".")+1:])
		t.Log(name)
		f.withdraw(name, key, w)
	}
	f.checkSecrets(secrets)
}

// withdraw has every host called with the key, and withdraws it.
func (f *fleet) withdraw(name, key string, w withdrawal) {
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var callers []*caller
	for _, h := range f.order {
		c := &caller{host: h, key: key}
		callers = append(callers, c)
		wg.Go(func() { c.run(ctx) })
	}
	f.awaitCallers("served calls", callers, func(c *caller) bool { served, _, _ := c.counts(); return served > 3 })
	if w.before != nil {
		w.before(f)
	}
	by := f.order[1]
	result, err := f.client(by).WithdrawKey(ctx, f.operation(), name)
	accepted := time.Now()
	qt.Assert(f.t, err, qt.IsNil)
	if w.after != nil {
		w.after(f, by)
	}
	reached := slices.DeleteFunc(slices.Clone(callers), func(c *caller) bool {
		return c.host.plan.zone == w.isolated || w.restarted && c.host == by
	})
	f.awaitCallers("refused calls", reached, refusedOften)
	f.checkStopped(reached, accepted)
	if w.isolated != "" {
		f.checkUnconfirmed(f.order[0], w.isolated, result.Generation)
	}
	f.heal()
	healed := time.Now()
	if w.restarted {
		f.startNode(by)
	}
	f.awaitCallers("refused calls after the failure", callers, refusedOften)
	for _, c := range callers {
		if c.host.plan.zone == w.isolated {
			f.t.Logf("%s served its last call %s after the end of the cut", c.host.plan.id, c.stopped().Sub(healed))
		}
	}
	f.checkStopped(reached, accepted)
}

func refusedOften(c *caller) bool {
	_, refused, _ := c.counts()
	return refused > 10
}

// stopped returns when the last request that was served was sent.
func (c *caller) stopped() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastServed
}

func (f *fleet) awaitCallers(what string, callers []*caller, holds func(*caller) bool) {
	f.t.Helper()
	f.await(eventually, what, func() bool {
		return !slices.ContainsFunc(callers, func(c *caller) bool { return !holds(c) })
	})
}

func (f *fleet) checkStopped(callers []*caller, accepted time.Time) {
	f.t.Helper()
	latest := -time.Hour
	for _, c := range callers {
		_, _, revived := c.counts()
		latest = max(latest, c.stopped().Sub(accepted))
		qt.Check(f.t, revived, qt.Equals, 0, qt.Commentf("host %s served a withdrawn key again", c.host.plan.id))
		qt.Check(f.t, c.connections.Load(), qt.Equals, int32(1), qt.Commentf("connections to %s", c.host.plan.id))
	}
	f.t.Logf("last served call sent %s after the accepted answer (negative: before it)", latest)
	qt.Check(f.t, latest <= inForceWithin, qt.IsTrue)
}

// checkUnconfirmed polls the status for a while: the zone must never be named as
// having confirmed the generation.
func (f *fleet) checkUnconfirmed(node *host, zone string, generation uint64) {
	f.t.Helper()
	for range 10 {
		status, err := f.client(node).Status(f.ctx)
		qt.Assert(f.t, err, qt.IsNil)
		qt.Check(f.t, status.InForceGeneration, qt.Equals, generation)
		qt.Check(f.t, status.InForce.Status, qt.Not(qt.Equals), object.True)
		at := slices.IndexFunc(status.InForce.Zones, func(z object.ZoneConfirmation) bool { return z.AvailabilityZone == zone })
		qt.Assert(f.t, at >= 0, qt.IsTrue, qt.Commentf("zone %s is not named", zone))
		qt.Check(f.t, status.InForce.Zones[at].Confirmed, qt.Equals, 0)
		qt.Check(f.t, status.InForce.Zones[at].Status, qt.Not(qt.Equals), object.True)
	}
}

// checkSecrets looks for secrets in the output of all processes, the rows of the
// table, the metrics and the answers of the resource API.
func (f *fleet) checkSecrets(secrets []string) {
	f.t.Helper()
	written := map[string]string{"rows": f.rows(), "audit": "", "keys": ""}
	for _, h := range f.order {
		written["audit"] += f.text(h.operator() + "/v1/audit?limit=200")
		written["keys"] += f.text(h.operator() + "/v1/objects/key")
		written["metrics "+h.plan.id] = f.text(h.operator() + "/debug/vars")
	}
	f.logs.mu.Lock()
	written["logs"] = f.logs.b.String()
	f.logs.mu.Unlock()
	for where, text := range written {
		qt.Check(f.t, text, qt.Not(qt.Equals), "", qt.Commentf("nothing was read: %s", where))
		for _, secret := range secrets {
			qt.Check(f.t, strings.Contains(text, secret), qt.IsFalse, qt.Commentf("a secret stands in: %s", where))
		}
	}
	for _, where := range []string{"rows", "audit", "keys"} {
		qt.Check(f.t, strings.Contains(written[where], "node-killed"), qt.IsTrue, qt.Commentf("no key was found in: %s", where))
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

// text returns the answer to an operator's request.
func (f *fleet) text(url string) string {
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

// recorder polls the generation that each host applies while it is ready.
type recorder struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	highest map[*host]uint64
	samples int
	falls   []string
}

func (f *fleet) record() *recorder {
	ctx, cancel := context.WithCancel(f.ctx)
	r := &recorder{cancel: cancel, highest: make(map[*host]uint64)}
	for _, h := range f.order {
		r.wg.Go(func() { r.poll(ctx, f, h) })
	}
	return r
}

func (r *recorder) poll(ctx context.Context, f *fleet, h *host) {
	for ctx.Err() == nil {
		if generation, ready := f.served(h); ready {
			r.add(h, generation)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *recorder) add(h *host, generation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples++
	if generation < r.highest[h] {
		r.falls = append(r.falls, fmt.Sprintf("%s %s: generation %d after %d",
			time.Now().Format(time.StampMilli), h.plan.id, generation, r.highest[h]))
	}
	r.highest[h] = max(r.highest[h], generation)
}

// close ends the record and fails the test if a generation went down.
func (r *recorder) close(t testing.TB) {
	r.cancel()
	r.wg.Wait()
	t.Logf("%d samples of generations", r.samples)
	qt.Check(t, r.falls, qt.HasLen, 0)
	qt.Check(t, r.samples > 0, qt.IsTrue)
}

// served returns the generation that a host applies, if it is ready.
func (f *fleet) served(h *host) (generation uint64, ready bool) {
	c := f.client(h)
	c.HTTP = &http.Client{Timeout: time.Second}
	list, err := c.List(f.ctx, object.KindAvailabilityZone, false)
	return list.Generation, err == nil
}

// applied returns the generation that a ready host applies, and 0 for others.
func (f *fleet) applied(h *host) uint64 {
	generation, ready := f.served(h)
	if !ready {
		return 0
	}
	return generation
}

func (f *fleet) awaitApplied(generation uint64, within time.Duration, hosts ...*host) time.Duration {
	f.t.Helper()
	return f.await(within, fmt.Sprintf("generation %d", generation), func() bool {
		return !slices.ContainsFunc(hosts, func(h *host) bool { return f.applied(h) < generation })
	})
}

// change declares a new service by way of the hosts, in their order.
func (f *fleet) change(hosts ...*host) (client.Result, error) {
	id := f.operation()
	return f.changeAs(id, hosts...)
}

func (f *fleet) changeAs(id string, hosts ...*host) (client.Result, error) {
	o := object.Object{Kind: object.KindService, Metadata: object.Metadata{Name: strings.ToLower(id)}, Spec: object.ServiceSpec{}}
	return f.client(hosts...).Apply(f.ctx, id, client.Batch{Objects: []object.Object{o}}, false)
}

// TestChangesSpread measures the time from the accepted answer until a change is
// in force at every host, over changes by way of all hosts.
func TestChangesSpread(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, ringing(), ringingObjects()...)
	r := f.record()
	times := make([]time.Duration, 30)
	for i := range times {
		result, err := f.change(f.order[i%len(f.order)])
		qt.Assert(t, err, qt.IsNil)
		times[i] = f.awaitApplied(result.Generation, inForceWithin, f.order...)
	}
	slices.Sort(times)
	t.Logf("in force everywhere after: least %s, median %s, most %s", times[0], times[len(times)/2], times[len(times)-1])
	r.close(t)
}

// TestNeverReverts restarts hosts and takes the table away around changes. No
// ready host may ever apply less than it did before.
func TestNeverReverts(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, ringing(), ringingObjects()...)
	r := f.record()
	defer r.close(t)
	f.restartDuringChanges()
	f.changeAroundOutage()
	f.restartAllInOutage()
	f.loseAnswers()
}

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
			if result, err := f.change(); err == nil {
				accepted.Store(result.Generation)
			}
		}
	})
	awaitNext := func() {
		before := accepted.Load()
		f.await(eventually, "an accepted change", func() bool { return accepted.Load() > before })
	}
	for _, h := range f.order {
		awaitNext()
		f.restart(h)
		f.awaitApplied(accepted.Load(), eventually, h)
	}
	awaitNext()
	for _, h := range f.order {
		qt.Check(f.t, h.node.Kill(), qt.IsNil)
	}
	highest := accepted.Load()
	f.startNodes().Wait()
	for _, h := range f.order {
		qt.Check(f.t, f.applied(h) >= highest, qt.IsTrue, qt.Commentf("%s serves behind generation %d", h.plan.id, highest))
	}
	awaitNext()
	cancel()
	wg.Wait()
	took := f.awaitApplied(accepted.Load(), inForceWithin, f.order...)
	f.t.Logf("generation %d in force %s after the last accepted answer", accepted.Load(), took)
}

// startNodes starts the nodes of all hosts. The group ends when all are ready.
func (f *fleet) startNodes() *sync.WaitGroup {
	wg := new(sync.WaitGroup)
	for _, h := range f.order {
		wg.Go(func() { f.startNode(h) })
	}
	return wg
}

// changeAroundOutage takes the table away at once after a change is accepted,
// restarts a host, and tries a change that cannot be accepted.
func (f *fleet) changeAroundOutage() {
	result, err := f.change(f.order[0])
	qt.Assert(f.t, err, qt.IsNil)
	f.control(f.platform.Ready(), `{"outage": true}`)
	took := f.awaitApplied(result.Generation, inForceWithin, f.order...)
	f.t.Logf("generation %d in force %s after an answer that an outage followed", result.Generation, took)
	f.restart(f.order[4])
	f.awaitApplied(result.Generation, eventually, f.order[4])
	id := f.operation()
	_, err = f.changeAs(id)
	qt.Check(f.t, err, qt.IsNotNil)
	f.control(f.platform.Ready(), `{"outage": false}`)
	var repeated client.Result
	f.await(eventually, "an accepted change after the outage", func() bool {
		repeated, err = f.changeAs(id)
		return err == nil
	})
	qt.Check(f.t, repeated.Generation, qt.Equals, result.Generation+1)
	f.awaitApplied(repeated.Generation, inForceWithin, f.order...)
}

// restartAllInOutage restarts all hosts at once without the table. None may say
// that it is ready until the table is back.
func (f *fleet) restartAllInOutage() {
	highest := f.applied(f.order[0])
	waiting := f.logged("configuration-waiting")
	f.control(f.platform.Ready(), `{"outage": true}`)
	for _, h := range f.order {
		qt.Check(f.t, h.node.Kill(), qt.IsNil)
	}
	starts := f.startNodes()
	f.await(eventually, "waiting nodes", func() bool { return f.logged("configuration-waiting") >= waiting+len(f.order) })
	for _, h := range f.order {
		_, ready := f.served(h)
		qt.Check(f.t, ready, qt.IsFalse, qt.Commentf("%s serves without knowing the configuration", h.plan.id))
	}
	f.control(f.platform.Ready(), `{"outage": false}`)
	began := time.Now()
	starts.Wait()
	f.awaitApplied(highest, eventually, f.order...)
	f.t.Logf("all hosts ready %s after the outage in which they were restarted", time.Since(began))
}

// logged counts the log lines with an event.
func (f *fleet) logged(event string) int {
	f.logs.mu.Lock()
	defer f.logs.mu.Unlock()
	return strings.Count(f.logs.b.String(), event)
}

// loseAnswers loses half of the table's answers after the commits. Each change
// must be in the audit trail once.
func (f *fleet) loseAnswers() {
	f.control(f.platform.Ready(), `{"lose-answers": 0.5}`)
	ids := make(map[string]int)
	unknown := 0
	for range 10 {
		id := f.operation()
		ids[id] = 0
		f.await(eventually, "an accepted change", func() bool {
			_, err := f.changeAs(id)
			if err != nil {
				unknown++
			}
			return err == nil
		})
	}
	f.control(f.platform.Ready(), `{"lose-answers": 0}`)
	f.t.Logf("%d changes with lost answers, sent again %d times by the operator", len(ids), unknown)
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
	for id, times := range ids {
		qt.Check(f.t, times, qt.Equals, 1, qt.Commentf("operation %s", id))
	}
}

// TestRacingOperators has two operators replace one version of an object by way
// of two hosts at once. One must win and the other be told of a conflict.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, ringing(), ringingObjects()...)
	for round := range 20 {
		id := object.ID{Kind: object.KindService, Name: "rota"}
		current, err := f.client(f.order[0]).Get(f.ctx, id)
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
				results[i], errs[i] = f.client(f.order[3*i]).Apply(f.ctx, f.operation(), client.Batch{Objects: []object.Object{o}}, false)
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
		f.awaitApplied(results[winner].Generation, inForceWithin, f.order...)
		got, err := f.client(f.order[5]).Get(f.ctx, id)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got.Spec.(object.ServiceSpec).Description, qt.Equals, fmt.Sprintf("round %d by %d", round, winner))
	}
}

// TestStatusClaimsOnlyWhatHolds freezes one host after another before a change.
// No status may claim the change to be in force until that host has it.
func TestStatusClaimsOnlyWhatHolds(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, ringing(), ringingObjects()...)
	claims := 0
	for i, frozen := range f.order {
		asked := f.order[(i+1)%len(f.order)]
		qt.Assert(t, frozen.node.Freeze(f.ctx), qt.IsNil)
		result, err := f.change(asked)
		qt.Assert(t, err, qt.IsNil)
		for range 3 {
			f.checkNotClaimed(asked, result.Generation)
		}
		qt.Assert(t, frozen.node.Thaw(f.ctx), qt.IsNil)
		f.awaitApplied(result.Generation, eventually, frozen)
		f.await(eventually, "a status that claims the change", func() bool {
			status, err := f.client(asked).Status(f.ctx)
			if err != nil || status.InForce.Status != object.True {
				return false
			}
			claims++
			for _, h := range f.order {
				qt.Check(t, f.applied(h) >= status.InForceGeneration, qt.IsTrue, qt.Commentf("claimed while %s was behind", h.plan.id))
			}
			return status.InForceGeneration >= result.Generation
		})
	}
	t.Logf("%d claims held", claims)
}

func (f *fleet) checkNotClaimed(asked *host, generation uint64) {
	f.t.Helper()
	status, err := f.client(asked).Status(f.ctx)
	qt.Assert(f.t, err, qt.IsNil)
	claimed := status.InForce.Status == object.True && status.InForceGeneration >= generation
	qt.Check(f.t, claimed, qt.IsFalse, qt.Commentf("%s claims what a frozen host lacks", asked.plan.id))
}
