package owner

import (
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/metric"
)

var (
	eventAnnounced = event.New(800, "backend-announced", event.Info,
		"The backend server on this host announced itself or changed its announcement.")
	eventWithdrawn = event.New(801, "backend-withdrawn", event.Warn,
		"The backend server on this host was withdrawn: it is leaving or has departed, refused a connection, or stopped announcing itself.")
	eventRateInvalid = event.New(802, "backend-rate-invalid", event.Warn,
		"The backend server on this host names a rate of requests that is not a number of at least 0; it is ignored. Logged once.")
)

var (
	metrics       = metric.NewGroup("owner")
	metricServed  = metrics.Int("served")
	metricRefused = metrics.IntMap("refused-by-code")
	metricWait    = metrics.Histogram("admission-wait-us")
	// metricRefusedRollout counts the calls that rolloutStage refuses.
	metricRefusedRollout = metrics.Int("refused-rollout-requests")
	metricBackend        = metrics.Histogram("backend-latency-us")
)
