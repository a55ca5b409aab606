package proof

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/history"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// leaseAndMore is longer than a quota lease and the suspicion of a member.
	leaseAndMore = 6 * time.Second
	// cutTime is how long a cut lasts.
	cutTime = 10 * time.Second
	// faultDelay is the time of load before a fault begins.
	faultDelay = 1500 * time.Millisecond
	// slowService is the service time of backend servers that are to have work
	// in hand.
	slowService = 300 * time.Millisecond
	// settleTime is how long the backend servers must be silent before their
	// records are read.
	settleTime = time.Second
)

// records is a fleet of one service with two hosts in each of the zones.
func records(zones ...string) []hostPlan {
	var plans []hostPlan
	for _, zone := range zones {
		for i := range 2 {
			name := fmt.Sprintf("records-%s%d", zone, i+1)
			flags := []string{"-slots", "50", "-service-time-ms", "30", "-seed", fmt.Sprint(len(plans) + 1)}
			plans = append(plans, hostPlan{name, zone, "records", flags})
		}
	}
	return plans
}

func recordsObjects(zones ...string) []string {
	objects := []string{
		declare(object.KindService, "records", `{}`),
		declare(object.KindClientAccount, "bern", `{"rate": 8000, "burst": 8000}`),
		declare(object.KindClientAccount, "chur", `{"rate": 8000, "burst": 8000}`),
		declare(object.KindRoute, "records", `{"path-prefix": "/records", "service": "records", "urgency": "normal", "non-repeatable": true, "timeout-ms": 1500}`),
		declare(object.KindRoute, "lookups", `{"path-prefix": "/lookups", "service": "records", "urgency": "normal", "timeout-ms": 1500}`),
	}
	for _, zone := range zones {
		objects = append(objects, declare(object.KindAvailabilityZone, zone, `{"in-service": true}`))
	}
	return objects
}

// insistent returns callers that present each non-repeatable request at three
// entries at once and repeat it hard on any error, for two client accounts.
func insistent(f *fleet, seconds float64) []standin.Stream {
	f.t.Helper()
	var plan []standin.Stream
	for _, account := range []string{"bern", "chur"} {
		key := f.createKey(account, account+"-1")
		for _, s := range []standin.Stream{
			{Path: "/records/t", NonRepeatable: standin.NonRepeatableTicket, Rate: 10, Retries: 5, Spread: 3},
			{Path: "/records/k", NonRepeatable: standin.NonRepeatableKey, Rate: 10, Retries: 5, Spread: 3},
			{Path: "/records/u", NonRepeatable: standin.NonRepeatableUnnamed, Rate: 20, Retries: 2},
			{Path: "/lookups/x", NonRepeatable: standin.NonRepeatableNone, Rate: 20, Retries: 2},
		} {
			s.Account, s.Key, s.Method, s.Urgency = account, key, http.MethodPost, string(s.NonRepeatable)
			s.DurationS, s.DeadlineMs = seconds, 1500
			plan = append(plan, s)
		}
	}
	return plan
}

// awaitServed waits until each of the hosts, or every host, serves calls of the
// plan.
func (f *fleet) awaitServed(plan []standin.Stream, hosts ...*host) {
	f.t.Helper()
	if len(hosts) == 0 {
		hosts = f.order
	}
	one := plan[len(plan)-1]
	one.Rate, one.Retries, one.Count = 100, 0, 1
	for _, h := range hosts {
		f.await(eventually, "a first answer at "+h.plan.id, func() bool {
			callers := standin.NewCallers(standin.CallersConfig{
				Entries: []string{h.caller()}, Plan: []standin.Stream{one}, Seed: 1, MaxInFlight: 1, Calls: &f.warming,
			})
			return callers.Run(f.ctx).Groups[0].Served == 1
		})
	}
}

// awaitSilence waits until no backend server has begun a run for settleTime.
func (f *fleet) awaitSilence() {
	f.t.Helper()
	runs, since := len(f.runs()), time.Now()
	f.await(eventually, "silence", func() bool {
		if n := len(f.runs()); n != runs {
			runs, since = n, time.Now()
		}
		return time.Since(since) > settleTime
	})
}

// underFault runs the plan while the fault takes its course, and checks the
// history. Requests of each kind must have been served, and some presentations
// refused for another that ran.
func (f *fleet) underFault(seed uint64, plan []standin.Stream, fault func()) []history.Call {
	f.t.Helper()
	var faults sync.WaitGroup
	faults.Go(func() {
		time.Sleep(faultDelay)
		fault()
	})
	report, calls := f.load(seed, plan)
	faults.Wait()
	f.awaitSilence()
	logReport(f.t, report)
	warm, err := history.ReadCalls(&f.warming.b)
	qt.Check(f.t, err, qt.IsNil)
	f.warmed = append(f.warmed, warm...)
	f.checkHistory(append(calls, f.warmed...))
	served := make(map[string]int)
	told := 0
	for _, call := range calls {
		if call.Status == http.StatusOK {
			served[call.Route]++
		}
		if call.Code == string(verdict.ClaimHeld) || call.Code == string(verdict.AlreadyRan) {
			told++
		}
	}
	for _, s := range plan {
		qt.Check(f.t, served[s.Method+" "+s.Path] > 0, qt.IsTrue, qt.Commentf("none of %s served", s.Path))
	}
	qt.Check(f.t, told > 0, qt.IsTrue)
	return calls
}

// TestNonRepeatableUnderFaults has callers repeat non-repeatable requests hard at
// several entries while a fault is brought about.
func TestNonRepeatableUnderFaults(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		seed  uint64
		fault func(f *fleet, plan []standin.Stream)
	}{
		"node killed and restarted": {11, func(f *fleet, _ []standin.Stream) {
			h := f.order[1]
			f.busy(h)
			qtCheck(f.t, h.node.Kill())
			f.startNode(h)
		}},
		"node frozen beyond its lease": {12, func(f *fleet, _ []standin.Stream) {
			h := f.order[1]
			f.busy(h)
			qtCheck(f.t, h.node.Freeze(f.ctx))
			time.Sleep(leaseAndMore)
			qtCheck(f.t, h.node.Thaw(f.ctx))
		}},
		"backend server killed and restarted": {13, func(f *fleet, _ []standin.Stream) {
			for _, h := range f.order {
				f.busy(h)
				qtCheck(f.t, h.backend.Kill())
				f.startBackend(h)
			}
		}},
		"connections reset, answers truncated": {14, func(f *fleet, _ []standin.Stream) {
			f.controlBackends(`{"reset-connections": 0.3, "truncate": 0.2}`)
		}},
		"answers crossed": {15, func(f *fleet, _ []standin.Stream) { f.controlBackends(`{"crossed": true}`) }},
		"answers late":    {16, func(f *fleet, _ []standin.Stream) { f.controlBackends(`{"late-ms": 1600}`) }},
		"platform outage": {17, func(f *fleet, _ []standin.Stream) { f.controlPlatform(`{"outage": true}`, `{"outage": false}`) }},
		"platform slow":   {18, func(f *fleet, _ []standin.Stream) { f.controlPlatform(`{"delay-ms": 400}`, `{"delay-ms": 0}`) }},
		"commit answers lost": {19, func(f *fleet, _ []standin.Stream) {
			f.controlPlatform(`{"lose-answers": 0.3, "late-effects-ms": 300}`, `{"lose-answers": 0, "late-effects-ms": 0}`)
		}},
		"zone cut while it calls another": {21, func(f *fleet, plan []standin.Stream) {
			for _, h := range f.inZone("b") {
				qtCheck(f.t, h.backend.Terminate())
				_, err := h.backend.Wait(f.ctx)
				qtCheck(f.t, err)
			}
			f.awaitServed(plan, f.inZone("b")...)
			f.busy(f.inZone("a")...)
			time.Sleep(slowService)
			f.cutZone("b")
			time.Sleep(3 * time.Second)
			f.heal()
		}},
		"zone cut and healed": {20, func(f *fleet, _ []standin.Stream) {
			f.cutZone("b")
			time.Sleep(4 * time.Second)
			f.heal()
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, nil, records("a", "b"), recordsObjects("a", "b")...)
			plan := insistent(f, 8)
			f.awaitServed(plan)
			f.underFault(test.seed, plan, func() { test.fault(f, plan) })
		})
	}
}

// TestNestedNonRepeatable breaks idempotent calls after the non-repeatable calls
// beneath them have run.
func TestNestedNonRepeatable(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, ringing(), ringingObjects()...)
	plan := []standin.Stream{{
		Account: "bern", Key: f.createKey("bern", "bern-1"), Method: http.MethodGet, Path: "/rota/today",
		Rate: 60, DurationS: 8, DeadlineMs: 2000,
	}}
	f.awaitServed(plan)
	for _, zone := range []string{"a", "b"} {
		f.control(f.hosts["rota-"+zone].server(), `{"reset-connections": 0.3}`)
	}
	report, calls := f.load(41, plan)
	f.awaitSilence()
	logReport(t, report)
	warm, err := history.ReadCalls(&f.warming.b)
	qt.Check(t, err, qt.IsNil)
	f.checkHistory(append(calls, warm...))
	qt.Check(t, report.Groups[0].Served > 0, qt.IsTrue)
}

// busy makes the backend servers of the hosts slow, and waits until each of them
// is at work on several requests.
func (f *fleet) busy(hosts ...*host) {
	for _, h := range hosts {
		f.control(h.server(), fmt.Sprintf(`{"service-time-ms": %d}`, slowService.Milliseconds()))
	}
	f.await(eventually, "work in hand", func() bool {
		for _, h := range hosts {
			if f.inHand(h) < 3 {
				return false
			}
		}
		return true
	})
}

// inHand returns the number of requests that a backend server is running.
func (f *fleet) inHand(h *host) float64 {
	var all map[string]any
	if f.getJSON("http://"+h.server()+"/control/stats", &all) != nil {
		return 0
	}
	stats := make(map[string]float64)
	for name, value := range all {
		stats[name], _ = value.(float64)
	}
	return stats["runs"] - stats["served"] - stats["abandoned"] - stats["failed-nested"]
}

// controlBackends switches the faults of all backend servers for a time.
func (f *fleet) controlBackends(switches string) {
	const none = `{"reset-connections": 0, "truncate": 0, "crossed": false, "late-ms": 0}`
	for _, set := range []string{switches, none} {
		for _, h := range f.order {
			f.control(h.server(), set)
		}
		time.Sleep(3 * time.Second)
	}
}

// controlPlatform switches a fault of the platform on, and off after a time.
func (f *fleet) controlPlatform(on, off string) {
	f.control(f.platform.Ready(), on)
	time.Sleep(4 * time.Second)
	f.control(f.platform.Ready(), off)
}

// TestNonRepeatableUnderCuts cuts the zones off from each other and from the
// platform in several ways, and states what each of them serves.
func TestNonRepeatableUnderCuts(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		seed     uint64
		platform []string
		peers    func(from, to string) bool
	}{
		"each zone alone":        {31, []string{"a", "b", "c"}, func(from, to string) bool { return from != to }},
		"two against one":        {32, []string{"c"}, func(from, to string) bool { return (from == "c") != (to == "c") }},
		"all cut from platform":  {33, []string{"a", "b", "c"}, func(string, string) bool { return false }},
		"zones cut, platform up": {34, nil, func(from, to string) bool { return from != to }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, nil, records("a", "b", "c"), recordsObjects("a", "b", "c")...)
			plan := insistent(f, 13)
			f.awaitServed(plan)
			var cut, lapsed, healed time.Time
			calls := f.underFault(test.seed, plan, func() {
				for _, zone := range test.platform {
					f.toPlatform[zone].Cut(standin.BothWays)
				}
				f.cutBetween(test.peers)
				cut = time.Now()
				lapsed = cut.Add(leaseAndMore)
				healed = cut.Add(cutTime)
				time.Sleep(cutTime)
				f.heal()
			})
			f.logOutcomes("within a lease of the cut", calls, cut, lapsed)
			f.logOutcomes("later in the cut", calls, lapsed, healed)
		})
	}
}

// logOutcomes logs how many calls between the times ended in which way, for each
// zone and route.
func (f *fleet) logOutcomes(when string, calls []history.Call, from, to time.Time) {
	counts := make(map[string]int)
	for _, call := range calls {
		if call.Start.Before(from) || call.Start.After(to) {
			continue
		}
		ip, _, _ := strings.Cut(call.Entry, ":")
		counts[fmt.Sprintf("zone %s %s %d %s %s", f.zoneOf(ip), call.Route, call.Status, call.Code, call.Verdict)]++
	}
	for _, line := range slices.Sorted(maps.Keys(counts)) {
		f.t.Logf("%s: %s: %d", when, line, counts[line])
	}
}
