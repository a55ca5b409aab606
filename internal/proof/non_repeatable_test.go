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
	// leaseExpiryWait is longer than a quota lease, and longer than the time for
	// which a silent member is suspected before it is declared dead.
	leaseExpiryWait = 6 * time.Second
	// partitionDuration is how long zones stay partitioned in
	// TestNonRepeatableUnderCuts.
	partitionDuration = 10 * time.Second
	// faultDelay is the time from the start of the load to the start of the fault.
	faultDelay = 1500 * time.Millisecond
	// slowServiceTime is the service time of backend servers that must be running
	// requests when a fault begins.
	slowServiceTime = 300 * time.Millisecond
	// quietPeriod is how long no backend server must have begun a run before the
	// records of runs are read.
	quietPeriod = time.Second
)

// recordsHosts describes a fleet of the service "records" with two hosts in each of
// the zones.
func recordsHosts(zones ...string) []hostSpec {
	var specs []hostSpec
	for _, zone := range zones {
		for i := range 2 {
			name := fmt.Sprintf("records-%s%d", zone, i+1)
			flags := []string{"-slots", "50", "-service-time-ms", "30", "-seed", fmt.Sprint(len(specs) + 1)}
			specs = append(specs, hostSpec{name, zone, "records", flags})
		}
	}
	return specs
}

func recordsObjects(zones ...string) []string {
	objects := []string{
		objectJSON(object.KindService, "records", `{}`),
		objectJSON(object.KindClientAccount, "bern", `{"rate": 8000, "burst": 8000}`),
		objectJSON(object.KindClientAccount, "chur", `{"rate": 8000, "burst": 8000}`),
		objectJSON(object.KindRoute, "records", `{"path-prefix": "/records", "service": "records", "urgency": "normal", "non-repeatable": true, "timeout-ms": 1500}`),
		objectJSON(object.KindRoute, "lookups", `{"path-prefix": "/lookups", "service": "records", "urgency": "normal", "timeout-ms": 1500}`),
	}
	for _, zone := range zones {
		objects = append(objects, objectJSON(object.KindAvailabilityZone, zone, `{"in-service": true}`))
	}
	return objects
}

// aggressiveRetryPlan returns streams of calls for two client accounts. Each request
// with a ticket or an idempotency key is sent to three nodes at the same time, and
// every request is retried at once on any error.
func aggressiveRetryPlan(f *fleet, seconds float64) []standin.Stream {
	f.t.Helper()
	var plan []standin.Stream
	for _, account := range []string{"bern", "chur"} {
		key := f.createKey(account, account+"-1")
		for _, s := range []standin.Stream{
			{Path: "/records/t", NonRepeatable: standin.NonRepeatableTicket, Rate: 10, Retries: 5, Copies: 3},
			{Path: "/records/k", NonRepeatable: standin.NonRepeatableKey, Rate: 10, Retries: 5, Copies: 3},
			{Path: "/records/u", NonRepeatable: standin.NonRepeatableUnkeyed, Rate: 20, Retries: 2},
			{Path: "/lookups/x", NonRepeatable: standin.NonRepeatableNone, Rate: 20, Retries: 2},
		} {
			s.Account, s.Key, s.Method, s.Urgency = account, key, http.MethodPost, string(s.NonRepeatable)
			s.DurationS, s.DeadlineMs = seconds, 1500
			plan = append(plan, s)
		}
	}
	return plan
}

// awaitServed waits until each of the given hosts, or of all hosts if none are given,
// serves a call of the plan's last stream.
func (f *fleet) awaitServed(plan []standin.Stream, hosts ...*host) {
	f.t.Helper()
	if len(hosts) == 0 {
		hosts = f.hostList
	}
	probe := plan[len(plan)-1]
	probe.Rate, probe.Retries, probe.Count = 100, 0, 1
	for _, h := range hosts {
		f.await(awaitTimeout, "a served call at "+h.spec.id, func() bool {
			callers := standin.NewCallers(standin.CallersConfig{
				Entries: []string{h.callerAddress()}, Plan: []standin.Stream{probe}, Seed: 1, MaxInFlight: 1, Calls: &f.warmupRecords,
			})
			return callers.Run(f.ctx).Groups[0].Served == 1
		})
	}
}

// awaitQuietBackends waits until no backend server has begun a run for quietPeriod.
func (f *fleet) awaitQuietBackends() {
	f.t.Helper()
	runs, since := len(f.runs()), time.Now()
	f.await(awaitTimeout, "backend servers without new runs", func() bool {
		if n := len(f.runs()); n != runs {
			runs, since = n, time.Now()
		}
		return time.Since(since) > quietPeriod
	})
}

// runUnderFault makes the calls of the plan while the fault function runs, and checks
// the history. Some requests of each stream must have been served. Some duplicates
// must have been refused because another attempt held the claim or had run.
func (f *fleet) runUnderFault(seed uint64, plan []standin.Stream, fault func()) []history.Call {
	f.t.Helper()
	var faults sync.WaitGroup
	faults.Go(func() {
		time.Sleep(faultDelay)
		fault()
	})
	report, calls := f.load(seed, plan)
	faults.Wait()
	f.awaitQuietBackends()
	logReport(f.t, report)
	warmup, err := history.ReadCalls(&f.warmupRecords.b)
	qt.Check(f.t, err, qt.IsNil)
	f.warmupCalls = append(f.warmupCalls, warmup...)
	f.checkHistory(append(calls, f.warmupCalls...))
	served := make(map[string]int)
	duplicatesRefused := 0
	for _, call := range calls {
		if call.Status == http.StatusOK {
			served[call.Route]++
		}
		if call.Code == string(verdict.ClaimHeld) || call.Code == string(verdict.AlreadyRan) {
			duplicatesRefused++
		}
	}
	for _, s := range plan {
		qt.Check(f.t, served[s.Method+" "+s.Path] > 0, qt.IsTrue, qt.Commentf("no call to %s was served", s.Path))
	}
	qt.Check(f.t, duplicatesRefused > 0, qt.IsTrue)
	return calls
}

// TestNonRepeatableUnderFaults checks that no non-repeatable request runs twice when
// callers send it to several nodes at the same time and retry it at once on any
// error, while a fault is injected.
func TestNonRepeatableUnderFaults(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		seed  uint64
		fault func(f *fleet, plan []standin.Stream)
	}{
		"node killed and restarted": {11, func(f *fleet, _ []standin.Stream) {
			h := f.hostList[1]
			f.makeBusy(h)
			checkNoError(f.t, h.node.Kill())
			f.startNode(h)
		}},
		"node frozen beyond its lease": {12, func(f *fleet, _ []standin.Stream) {
			h := f.hostList[1]
			f.makeBusy(h)
			checkNoError(f.t, h.node.Suspend(f.ctx))
			time.Sleep(leaseExpiryWait)
			checkNoError(f.t, h.node.Resume(f.ctx))
		}},
		"backend server killed and restarted": {13, func(f *fleet, _ []standin.Stream) {
			for _, h := range f.hostList {
				f.makeBusy(h)
				checkNoError(f.t, h.backend.Kill())
				f.startBackend(h)
			}
		}},
		"connections reset and answers truncated": {14, func(f *fleet, _ []standin.Stream) {
			f.injectBackendFaults(`{"reset-connections": 0.3, "truncate": 0.2}`)
		}},
		"answers of concurrent requests swapped": {15, func(f *fleet, _ []standin.Stream) { f.injectBackendFaults(`{"crossed": true}`) }},
		"answers delayed beyond the timeout":     {16, func(f *fleet, _ []standin.Stream) { f.injectBackendFaults(`{"late-ms": 1600}`) }},
		"platform outage":                        {17, func(f *fleet, _ []standin.Stream) { f.injectPlatformFault(`{"outage": true}`, `{"outage": false}`) }},
		"slow platform":                          {18, func(f *fleet, _ []standin.Stream) { f.injectPlatformFault(`{"delay-ms": 400}`, `{"delay-ms": 0}`) }},
		"commit answers lost": {19, func(f *fleet, _ []standin.Stream) {
			f.injectPlatformFault(`{"lose-answers": 0.3, "late-effects-ms": 300}`, `{"lose-answers": 0, "late-effects-ms": 0}`)
		}},
		"zone cut off while it calls another zone": {21, func(f *fleet, plan []standin.Stream) {
			for _, h := range f.hostsInZone("b") {
				checkNoError(f.t, h.backend.Terminate())
				_, err := h.backend.Wait(f.ctx)
				checkNoError(f.t, err)
			}
			f.awaitServed(plan, f.hostsInZone("b")...)
			f.makeBusy(f.hostsInZone("a")...)
			time.Sleep(slowServiceTime)
			f.partitionZone("b")
			time.Sleep(3 * time.Second)
			f.restoreAll()
		}},
		"zone cut off and restored": {20, func(f *fleet, _ []standin.Stream) {
			f.partitionZone("b")
			time.Sleep(4 * time.Second)
			f.restoreAll()
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, nil, recordsHosts("a", "b"), recordsObjects("a", "b")...)
			plan := aggressiveRetryPlan(f, 8)
			f.awaitServed(plan)
			f.runUnderFault(test.seed, plan, func() { test.fault(f, plan) })
		})
	}
}

// TestNestedNonRepeatable checks that a nested non-repeatable call does not run twice
// when the connection of its repeatable parent call is reset after the nested call
// has run.
func TestNestedNonRepeatable(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, callChainHosts(), callChainObjects()...)
	plan := []standin.Stream{{
		Account: "bern", Key: f.createKey("bern", "bern-1"), Method: http.MethodGet, Path: "/rota/today",
		Rate: 60, DurationS: 8, DeadlineMs: 2000,
	}}
	f.awaitServed(plan)
	for _, zone := range []string{"a", "b"} {
		f.control(f.hosts["rota-"+zone].serverAddress(), `{"reset-connections": 0.3}`)
	}
	report, calls := f.load(41, plan)
	f.awaitQuietBackends()
	logReport(t, report)
	warmup, err := history.ReadCalls(&f.warmupRecords.b)
	qt.Check(t, err, qt.IsNil)
	f.checkHistory(append(calls, warmup...))
	qt.Check(t, report.Groups[0].Served > 0, qt.IsTrue)
}

// TestNestedNonRepeatableAfterLostAnswer guards against a second run of a nested non-repeatable call when the node of its repeatable parent falls silent.
func TestNestedNonRepeatableAfterLostAnswer(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil, callChainHosts(), callChainObjects()...)
	plan := []standin.Stream{{
		Account: "bern", Key: f.createKey("bern", "bern-1"), Method: http.MethodGet, Path: "/rota/today",
		Rate: 30, DurationS: 8, DeadlineMs: 2000,
	}}
	f.awaitServed(plan)
	var faults sync.WaitGroup
	faults.Go(func() {
		time.Sleep(faultDelay)
		for _, name := range []string{"ropes-a", "ropes-b"} {
			f.control(f.hosts[name].serverAddress(), fmt.Sprintf(`{"service-time-ms": %d}`, slowServiceTime.Milliseconds()))
		}
		f.await(awaitTimeout, "running parents", func() bool { return f.runningRequests(f.hosts["rota-a"]) >= 3 })
		checkNoError(t, f.hosts["rota-a"].node.Suspend(f.ctx))
		time.Sleep(time.Second)
		checkNoError(t, f.hosts["rota-a"].node.Resume(f.ctx))
	})
	report, calls := f.load(42, plan)
	faults.Wait()
	f.awaitQuietBackends()
	logReport(t, report)
	warmup, err := history.ReadCalls(&f.warmupRecords.b)
	qt.Check(t, err, qt.IsNil)
	f.checkHistory(append(calls, warmup...))
	qt.Check(t, report.Groups[0].Served > 0, qt.IsTrue)
}

// makeBusy makes the backend servers of the hosts slow, and waits until each of them
// is running at least 3 requests.
func (f *fleet) makeBusy(hosts ...*host) {
	for _, h := range hosts {
		f.control(h.serverAddress(), fmt.Sprintf(`{"service-time-ms": %d}`, slowServiceTime.Milliseconds()))
	}
	f.await(awaitTimeout, "running requests", func() bool {
		for _, h := range hosts {
			if f.runningRequests(h) < 3 {
				return false
			}
		}
		return true
	})
}

// runningRequests returns the number of requests that a backend server is running.
func (f *fleet) runningRequests(h *host) float64 {
	var all map[string]any
	if f.getJSON("http://"+h.serverAddress()+"/control/stats", &all) != nil {
		return 0
	}
	stats := make(map[string]float64)
	for name, value := range all {
		stats[name], _ = value.(float64)
	}
	return stats["runs"] - stats["served"] - stats["abandoned"] - stats["failed-nested"]
}

// injectBackendFaults injects faults at all backend servers for 3 seconds, and waits
// another 3 seconds after they end.
func (f *fleet) injectBackendFaults(faults string) {
	const noFaults = `{"reset-connections": 0, "truncate": 0, "crossed": false, "late-ms": 0}`
	for _, settings := range []string{faults, noFaults} {
		for _, h := range f.hostList {
			f.control(h.serverAddress(), settings)
		}
		time.Sleep(3 * time.Second)
	}
}

// injectPlatformFault injects a fault at the platform for 4 seconds.
func (f *fleet) injectPlatformFault(on, off string) {
	f.control(f.platform.Ready(), on)
	time.Sleep(4 * time.Second)
	f.control(f.platform.Ready(), off)
}

// TestNonRepeatableUnderCuts checks that no non-repeatable request runs twice when
// zones are partitioned from each other and from the platform in several ways. It
// logs the outcomes of the calls in each zone.
func TestNonRepeatableUnderCuts(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		seed uint64
		// withoutPlatform holds the zones that are partitioned from the platform.
		withoutPlatform []string
		// blocked reports whether connections from one zone to another are blocked.
		blocked func(from, to string) bool
	}{
		"all zones cut off from each other and the platform": {31, []string{"a", "b", "c"}, func(from, to string) bool { return from != to }},
		"one zone cut off from two others and the platform":  {32, []string{"c"}, func(from, to string) bool { return (from == "c") != (to == "c") }},
		"all zones cut off from the platform":                {33, []string{"a", "b", "c"}, func(string, string) bool { return false }},
		"all zones cut off from each other":                  {34, nil, func(from, to string) bool { return from != to }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, nil, recordsHosts("a", "b", "c"), recordsObjects("a", "b", "c")...)
			plan := aggressiveRetryPlan(f, 13)
			f.awaitServed(plan)
			var partitionedAt, leasesExpiredAt, restoredAt time.Time
			calls := f.runUnderFault(test.seed, plan, func() {
				for _, zone := range test.withoutPlatform {
					f.platformRelays[zone].Cut(standin.BothDirections)
				}
				f.setPartition(test.blocked)
				partitionedAt = time.Now()
				leasesExpiredAt = partitionedAt.Add(leaseExpiryWait)
				restoredAt = partitionedAt.Add(partitionDuration)
				time.Sleep(partitionDuration)
				f.restoreAll()
			})
			f.logOutcomes("during the partition, before leases expired", calls, partitionedAt, leasesExpiredAt)
			f.logOutcomes("during the partition, after leases expired", calls, leasesExpiredAt, restoredAt)
		})
	}
}

// logOutcomes logs the number of calls that began between the two times, by zone,
// route, status, code and verdict.
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
