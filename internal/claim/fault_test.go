package claim

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"curranthold.example/curranthold/internal/history"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// scenarioLength limits when the arrivals and incidents of a scenario start.
	scenarioLength = 20 * time.Second
	// scenarioRetention and scenarioStart are chosen so that a period ends in the
	// middle of a scenario.
	scenarioRetention = 100 * time.Second
	scenarioStart     = 90 * time.Second
	// scenarioSkew limits the deviation of each host's clock.
	scenarioSkew = 30 * time.Second
)

var scenarioHosts = []string{"a", "b", "c"}

// arrival is one arrival of a request at a host.
type arrival struct {
	// at is when the request arrives, timeout how long its caller waits, and hold
	// how long a granted claim is held before its end is reported.
	at, timeout, hold, late time.Duration
	// entry and name are indexes into the hosts and the requests.
	entry, name int
	// end is the verdict with which the claim ends. If it is MayHaveRun, the request
	// runs after the delay late if runs is set, and not at all otherwise.
	end  verdict.Verdict
	runs bool
}

// incident is an event that affects a host or the table.
type incident struct {
	at   time.Duration
	kind string
	host int
}

// scenario is a randomly drawn test case.
type scenario struct {
	seed      uint64
	arrivals  []arrival
	incidents []incident
	network   faultRates
	table     faultRates
	skew      []time.Duration
	retention time.Duration
	// sequential makes each arrival start after the one before it has ended.
	sequential bool
}

// drawDuration draws a duration below limit, with an even distribution. Numbers
// drawn directly from rapid are mostly small.
func drawDuration(t *rapid.T, limit time.Duration, label string) time.Duration {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, label), 0))
	return time.Duration(rng.Int64N(int64(limit)))
}

func drawScenario(t *rapid.T) scenario {
	host := rapid.IntRange(0, len(scenarioHosts)-1)
	share := rapid.SampledFrom([]float64{0, 0, 0.05, 0.3})
	s := scenario{seed: rapid.Uint64().Draw(t, "seed"), retention: scenarioRetention}
	s.arrivals = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) arrival {
		return arrival{
			at: drawDuration(t, scenarioLength, "at"), timeout: drawDuration(t, 4*time.Second, "timeout"),
			hold: drawDuration(t, time.Second, "hold"), late: drawDuration(t, 10*time.Second, "late"),
			entry: host.Draw(t, "entry"), name: rapid.IntRange(0, 5).Draw(t, "name"),
			end:  verdict.Verdict(rapid.IntRange(0, 2).Draw(t, "end")),
			runs: rapid.Bool().Draw(t, "runs"),
		}
	}), 1, 60).Draw(t, "arrivals")
	s.incidents = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) incident {
		kinds := []string{"restart", "disconnect", "reconnect", "table down", "table up"}
		return incident{drawDuration(t, scenarioLength, "at"), rapid.SampledFrom(kinds).Draw(t, "kind"), host.Draw(t, "host")}
	}), 0, 6).Draw(t, "incidents")
	for _, f := range []*faultRates{&s.network, &s.table} {
		f.drop, f.loseAnswer = share.Draw(t, "drop"), share.Draw(t, "lose answer")
		f.duplicate, f.late = share.Draw(t, "duplicate"), share.Draw(t, "late")
		f.delay = rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, time.Second}).Draw(t, "delay")
	}
	for range scenarioHosts {
		s.skew = append(s.skew, drawDuration(t, 2*scenarioSkew, "skew")-scenarioSkew)
	}
	return s
}

// recorder records the calls and runs of a scenario, and the operations on its
// claims.
type recorder struct {
	mu         sync.Mutex
	calls      []history.Call
	runs       []history.Run
	operations []porcupine.Operation
}

func (r *recorder) operation(key string, in claimInput, called time.Time, code verdict.Code, returned time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in.key = key
	r.operations = append(r.operations, porcupine.Operation{
		Input: in, Call: called.UnixNano(), Output: code, Return: returned.UnixNano(),
	})
}

func (r *recorder) run(id string, q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, history.Run{
		RequestID: id, Account: q.Account, Key: q.IdempotencyKey + q.Ticket,
		Route: q.Route, Backend: "backend", At: time.Now(),
	})
}

func (r *recorder) call(id string, q Request, start time.Time, v verdict.Verdict, code verdict.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, history.Call{
		RequestID: id, Account: q.Account, Key: q.IdempotencyKey + q.Ticket, Route: q.Route,
		NonRepeatable: true, Start: start, End: time.Now(), Verdict: v, Code: string(code),
	})
}

// serve claims the request, runs it, and reports the end of the claim, as the entry
// of a host does.
func (a arrival) serve(f *fleet, r *recorder, id string, q Request) {
	time.Sleep(a.at)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	cl, err := f.on(scenarioHosts[a.entry]).Begin(ctx, q)
	key := q.IdempotencyKey + q.Ticket
	if err != nil {
		r.operation(key, claimInput{}, start, verdict.From(err).Code, time.Now())
		r.call(id, q, start, verdict.Of(err), verdict.From(err).Code)
		return
	}
	r.operation(key, claimInput{}, start, "", time.Now())
	time.Sleep(a.hold)
	if a.end == verdict.Ran {
		r.run(id, q)
	}
	if a.end == verdict.MayHaveRun && a.runs {
		defer func() {
			time.Sleep(a.late)
			r.run(id, q)
		}()
	}
	finishing := time.Now()
	if err := cl.Finish(ctx, a.end, 200); err != nil || a.end == verdict.Ran {
		r.operation(key, claimInput{a.end, "", true}, finishing, "", time.Now().Add(time.Hour))
	} else {
		r.operation(key, claimInput{a.end, "", true}, finishing, "", time.Now())
	}
	r.call(id, q, start, a.end, "")
}

// inject applies the incident to the fleet. After a restart, the former Claimer of
// the host still completes the operations that it has started.
func (i incident) inject(f *fleet) {
	time.Sleep(i.at)
	id := scenarioHosts[i.host]
	switch i.kind {
	case "restart":
		f.start(id, uint64(2+i.at))
	case "disconnect", "reconnect":
		f.network.setDisconnected("addr-"+id, i.kind == "disconnect")
	default:
		f.table.setDown(i.kind == "table down")
	}
}

// execute runs the scenario and returns what was recorded.
func (s scenario) execute() *recorder {
	time.Sleep(scenarioStart)
	f := &fleet{network: newFakeNetwork(), table: newFakeTable()}
	f.network.faultInjector, f.table.faultInjector = newFaultInjector(s.seed, s.network), newFaultInjector(s.seed+1, s.table)
	f.table.latency = 5 * time.Millisecond
	var mu sync.Mutex
	var all []*Claimer
	for _, id := range scenarioHosts {
		f.hosts = append(f.hosts, Host{ID: id, Zone: "z", Address: "addr-" + id})
	}
	f.mutate = func(c *Config) {
		skew := s.skew[c.Host[0]-'a']
		c.Now = func() time.Time { return time.Now().Add(skew) }
		c.Retention, c.DeliveryTimeout = s.retention, 5*time.Second
	}
	f.started = func(c *Claimer) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, c)
	}
	for _, id := range scenarioHosts {
		f.start(id, 1)
	}
	var requests []Request
	for i := range len(scenarioHosts) {
		tickets, _ := f.on(scenarioHosts[i]).Issue("acc", 1)
		requests = append(requests,
			Request{Account: "acc", Route: "r", IdempotencyKey: fmt.Sprint(i)},
			Request{Account: "acc", Route: "r", Ticket: tickets[0]})
	}
	r := &recorder{}
	var wg sync.WaitGroup
	for i, a := range s.arrivals {
		serve := func() { a.serve(f, r, fmt.Sprint(i), requests[a.name]) }
		if s.sequential {
			time.Sleep(time.Second)
			serve()
			continue
		}
		wg.Go(serve)
	}
	for _, i := range s.incidents {
		wg.Go(func() { i.inject(f) })
	}
	wg.Wait()
	for _, c := range all {
		_ = c.Close()
	}
	return r
}

// The guarantees to callers must hold for concurrent arrivals under all faults.
func TestGuaranteesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := drawScenario(rt).executeInSynctest(t)
		for _, v := range history.Check(r.calls, r.runs) {
			rt.Errorf("%v", v)
		}
	})
}

func (s scenario) executeInSynctest(t *testing.T) (r *recorder) {
	synctest.Test(t, func(*testing.T) { r = s.execute() })
	return r
}

// Without faults, sequential arrivals must get the same results as from a model that
// maps each request to its outcome. With faults they may also be refused with
// may-have-run.
func TestSequentialAgainstMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		s.makeSequential()
		faultless := rapid.Bool().Draw(rt, "faultless")
		if faultless {
			s.removeFaults()
		}
		outcomes := map[string]verdict.Code{}
		codes := map[verdict.Verdict]verdict.Code{verdict.MayHaveRun: verdict.ClaimHeld, verdict.Ran: verdict.AlreadyRan}
		for _, call := range s.executeInSynctest(t).calls {
			want, got := outcomes[call.Key], verdict.Code(call.Code)
			if got != want && (faultless || call.Verdict != verdict.MayHaveRun || got == "") {
				rt.Errorf("request %s got %q, want %q", call.RequestID, got, want)
			}
			if got == "" {
				outcomes[call.Key] = codes[call.Verdict]
			}
		}
	})
}

// makeSequential makes the arrivals sequential, and the retention longer than the
// scenario.
func (s *scenario) makeSequential() {
	s.sequential, s.retention = true, time.Hour
	for i := range s.arrivals {
		s.arrivals[i].at, s.arrivals[i].late = 0, 0
	}
}

// removeFaults removes all faults except short delays.
func (s *scenario) removeFaults() {
	s.incidents = nil
	s.network, s.table = faultRates{delay: s.network.delay / 8}, faultRates{delay: s.table.delay / 8}
	for i := range s.arrivals {
		s.arrivals[i].timeout = time.Minute
	}
}

// claimInput is the input of an operation on a claim: Begin, or Finish with the
// verdict end.
type claimInput struct {
	end    verdict.Verdict
	key    string
	finish bool
}

// claimModel models the claim of one request. Its state is the code with which
// Begin is refused, empty if Begin grants the claim. A granted claim that is never
// finished stays held.
var claimModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range all {
			key := op.Input.(claimInput).key
			byKey[key] = append(byKey[key], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return verdict.Code("") },
	Step: func(state, input, output any) (bool, any) {
		in := input.(claimInput)
		switch {
		case !in.finish && state == verdict.Code(""):
			return output == state, verdict.ClaimHeld
		case !in.finish:
			return output == state, state
		case in.end == verdict.NotRun:
			return state == verdict.ClaimHeld, verdict.Code("")
		case in.end == verdict.Ran:
			return state == verdict.ClaimHeld, verdict.AlreadyRan
		}
		return state == verdict.ClaimHeld, state
	},
}

// Without faults, the operations of concurrent arrivals must be linearizable.
func TestLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		s.removeFaults()
		r := s.executeInSynctest(t)
		result := porcupine.CheckOperationsTimeout(claimModel, r.operations, 10*time.Second)
		if result != porcupine.Ok {
			rt.Fatalf("porcupine: %v: %+v", result, r.operations)
		}
	})
}
