package admission

import (
	"expvar"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/metric"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

var (
	rampStarted  = event.New(900, "cold-ramp-started", event.Info, "A ramp of the limit on concurrent requests started because the backend server was announced for the first time, restarted or turned cold. The limit was lowered to its minimum, unless the mechanism cold-ramp is disabled.")
	silentCold   = event.New(901, "silent-cold-start", event.Warn, "Slow or broken requests indicate a cold start that the backend server did not announce. The limit on concurrent requests was lowered to its minimum, unless the mechanism cold-ramp is disabled.")
	drainStarted = event.New(902, "admission-draining", event.Info, "No new requests are admitted, and queued ones were refused.")
	zoneChanged  = event.New(903, "admission-zone-changed", event.Info, "The availability zone of this host was taken out of service or restored.")

	namedRateChanged = event.New(904, "admission-rate-named", event.Info, "The backend server on this host began to name a rate of requests that it takes, which is kept from now on, or stopped.")
)

var (
	metrics       = metric.NewGroup("admission")
	admittedCount [object.UrgencyCount]*expvar.Int
	refusedCount  = map[verdict.Code]*expvar.Int{}
	evictedCount  = metrics.Int("evicted-requests")
	finishedCount [outcomeCount]*expvar.Int
	inFlightGauge = metrics.Int("in-flight-requests")
	queuedGauge   = metrics.Int("queued-requests")
	limitGauge    = metrics.Int("limit-requests")
	rampCount     = metrics.Int("cold-ramps")

	namedRateGauge = metrics.Int("named-rate-requests-per-second")
	closedGauge    = metrics.Int("closed-hundredths")
)

func init() {
	for u := range object.Urgency(object.UrgencyCount) {
		admittedCount[u] = metrics.Int("admitted-" + u.Level().String() + "-requests")
	}
	for o := range Outcome(outcomeCount) {
		finishedCount[o] = metrics.Int("outcome-" + o.String() + "-requests")
	}
	codes := []verdict.Code{
		verdict.Overloaded, verdict.ColdStart, verdict.DeadlineExceeded, verdict.Leaving,
		verdict.Cancelled, verdict.ZoneOutOfService, verdict.KeyRefused,
	}
	for _, code := range codes {
		refusedCount[code] = metrics.Int("refused-" + string(code) + "-requests")
	}
}
