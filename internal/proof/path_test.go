package proof

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/object"
)

// callChainHosts describes a fleet of three services with a host of each in two
// zones. Service rota calls ropes, and ropes calls peals.
func callChainHosts() []hostSpec {
	var specs []hostSpec
	for _, zone := range []string{"a", "b"} {
		specs = append(specs,
			hostSpec{"rota-" + zone, zone, "rota", []string{"-slots", "30", "-service-time-ms", "5", "-calls", "POST /ropes/claim"}},
			hostSpec{"ropes-" + zone, zone, "ropes", []string{"-slots", "30", "-service-time-ms", "5", "-calls", "GET /peals/last"}},
			hostSpec{"peals-" + zone, zone, "peals", []string{"-slots", "30", "-service-time-ms", "5"}},
		)
	}
	return specs
}

func callChainObjects() []string {
	return []string{
		objectJSON(object.KindAvailabilityZone, "a", `{"in-service": true}`),
		objectJSON(object.KindAvailabilityZone, "b", `{"in-service": true}`),
		objectJSON(object.KindService, "rota", `{}`),
		objectJSON(object.KindService, "ropes", `{}`),
		objectJSON(object.KindService, "peals", `{}`),
		objectJSON(object.KindClientAccount, "bern", `{"rate": 400, "burst": 200}`),
		objectJSON(object.KindClientAccount, "chur", `{"rate": 400, "burst": 200}`),
		objectJSON(object.KindRoute, "rota", `{"path-prefix": "/rota", "service": "rota", "urgency": "normal", "timeout-ms": 2000}`),
		objectJSON(object.KindRoute, "ropes", `{"path-prefix": "/ropes", "service": "ropes", "urgency": "normal", "non-repeatable": true, "timeout-ms": 2000}`),
		objectJSON(object.KindRoute, "peals", `{"path-prefix": "/peals", "service": "peals", "urgency": "deferrable", "timeout-ms": 2000}`),
		objectJSON(object.KindRoute, "claims", `{"path-prefix": "/claims", "service": "peals", "urgency": "normal", "non-repeatable": true, "timeout-ms": 2000}`),
	}
}

// TestWholePath makes calls through every host for two client accounts, some of them
// with two levels of nested calls. All must be served, and no backend server may
// receive a client account's key.
func TestWholePath(t *testing.T) {
	t.Parallel()
	f := newFleet(t, callChainHosts(), callChainObjects()...)
	bern, chur := f.createKey("bern", "bern-1"), f.createKey("chur", "chur-1")
	report, calls := f.load(1, []standin.Stream{
		{Account: "bern", Key: bern, Method: "GET", Path: "/rota/today", Rate: 60, Count: 120, DeadlineMs: 2000},
		{Account: "chur", Key: chur, Method: "POST", Path: "/claims/x", Rate: 60, Count: 120, DeadlineMs: 2000, NonRepeatable: standin.NonRepeatableTicket},
		{Account: "chur", Key: chur, Method: "POST", Path: "/claims/y", Rate: 30, Count: 60, DeadlineMs: 2000, NonRepeatable: standin.NonRepeatableKey},
	})
	logReport(t, report)
	f.checkHistory(calls)
	served := 0
	for _, call := range calls {
		if call.Status == 200 {
			served++
		}
	}
	qt.Check(t, served, qt.Equals, len(calls))
	for _, h := range f.hostList {
		var stats map[string]any
		qt.Check(t, f.getJSON("http://"+h.serverAddress()+"/control/stats", &stats), qt.IsNil)
		qt.Check(t, stats["key-leaks"], qt.Equals, 0.0)
	}
}
