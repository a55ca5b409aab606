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
	eventStatusInvalid = event.New(803, "backend-status-invalid", event.Warn,
		"The backend server on this host sent a response whose status is not between 200 and 599. It is not passed on, and the request may have run. Logged at most once a second.")
	eventHeadInvalid = event.New(804, "backend-head-invalid", event.Warn,
		"The backend server on this host sent a response whose head or trailer is not one of HTTP/1: a name with a blank, a control byte in the reason, another version, or HTTP/1.0 with a transfer coding. It is not passed on, and the request may have run. Logged at most once a second.")
	eventResponseBroken = event.New(805, "backend-response-broken", event.Warn,
		"The backend server on this host began a response that broke off, could not be read as one of HTTP, or lacks the backend server's signature. It is not passed on, and the request may have run. Logged at most once a second.")
	eventUnconfirmed = event.New(806, "heartbeat-unconfirmed", event.Warn,
		"A heartbeat came from an instance of the backend server that this process did not know, and its health check showed that the instance is leaving or that another one answers, or nothing showed that it lives. It gets no calls. Usual for a late heartbeat after a restart of the node.")
)

var (
	metrics       = metric.NewGroup("owner")
	metricServed  = metrics.Int("served")
	metricRefused = metrics.IntMap("refused-by-code")
	metricWait    = metrics.Histogram("admission-wait-us")
	// metricRefusedRollout counts the calls that rolloutStage refuses.
	metricRefusedRollout = metrics.Int("refused-rollout-requests")
	// metricUnconfirmed counts the instances that were not confirmed.
	metricUnconfirmed = metrics.Int("unconfirmed-instances")
	metricBackend     = metrics.Histogram("backend-latency-us")
)
