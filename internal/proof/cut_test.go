package proof

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/history"
	"curranthold.example/curranthold/internal/standin"
)

// TestCutZone partitions zone b from zone a and from the platform while both zones
// are called, and then restores the connections. The history must contain no
// violation, and all hosts must become live members again.
func TestCutZone(t *testing.T) {
	t.Parallel()
	f := newFleet(t, callChainHosts(), callChainObjects()...)
	bern, chur := f.createKey("bern", "bern-1"), f.createKey("chur", "chur-1")
	// Urgency is only a label here. It separates the streams in the report.
	plan := []standin.Stream{
		{Account: "bern", Key: bern, Method: "GET", Path: "/rota/today", Urgency: "normal", Rate: 30, DurationS: 20, DeadlineMs: 2000},
		{Account: "chur", Key: chur, Method: "POST", Path: "/claims/x", Urgency: "ticket", Rate: 30, DurationS: 20, DeadlineMs: 2000, NonRepeatable: standin.NonRepeatableTicket},
		{Account: "chur", Key: chur, Method: "POST", Path: "/claims/y", Urgency: "key", Rate: 15, DurationS: 20, DeadlineMs: 2000, NonRepeatable: standin.NonRepeatableKey},
	}
	var all []history.Call
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, zone := range []string{"a", "b"} {
		wg.Go(func() {
			report, calls := f.load(uint64(i+1), plan, f.hostsInZone(zone)...)
			t.Logf("zone %s", zone)
			logReport(t, report)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, calls...)
		})
	}
	time.Sleep(5 * time.Second)
	f.partitionZone("b")
	time.Sleep(10 * time.Second)
	f.restoreAll()
	wg.Wait()
	f.checkHistory(all)
	f.await(awaitTimeout, "all hosts to be live members", func() bool {
		return f.metric(f.hostList[0], "curranthold-membership", "live-members") == float64(len(f.hostList))
	})
	qt.Check(t, len(f.runs()) > 0, qt.IsTrue)
}

// TestTableOutage makes the platform unavailable while calls are made. Requests with
// tickets, and requests that are repeatable, must still be served.
func TestTableOutage(t *testing.T) {
	f := newFleet(t, callChainHosts(), callChainObjects()...)
	chur := f.createKey("chur", "chur-1")
	f.control(f.platform.Ready(), `{"outage": true}`)
	_, calls := f.load(3, []standin.Stream{
		{Account: "chur", Key: chur, Method: "POST", Path: "/claims/x", Rate: 30, DurationS: 10, DeadlineMs: 2000, NonRepeatable: standin.NonRepeatableTicket},
		{Account: "chur", Key: chur, Method: "GET", Path: "/peals/x", Rate: 30, DurationS: 10, DeadlineMs: 2000},
	})
	f.control(f.platform.Ready(), `{"outage": false}`)
	f.checkHistory(calls)
	for _, call := range calls {
		qt.Check(t, call.Status, qt.Equals, 200, qt.Commentf("%s %s", call.Code, call.Route))
	}
}
