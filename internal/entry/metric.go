package entry

import (
	"expvar"

	"curranthold.example/curranthold/internal/metric"
	"curranthold.example/curranthold/pkg/object"
)

var (
	metrics                = metric.NewGroup("entry")
	metricServed           = servedByUrgency()
	metricRefused          = metrics.IntMap("refused-by-code-and-verdict")
	metricRetries          = metrics.Int("retries")
	metricHedges           = metrics.Int("second-hosts")
	metricHedgesServed     = metrics.Int("second-hosts-served")
	metricLatency          = metrics.Histogram("served-latency-us")
	metricRefusalLatency   = metrics.Histogram("refused-latency-us")
	metricLinesDropped     = metrics.Int("log-lines-left-out")
	metricInvalidStatuses  = metrics.Int("invalid-statuses")
	metricInvalidHeads     = metrics.Int("invalid-heads")
	metricClaimsUnfinished = metrics.Int("claims-unfinished")
)

func servedByUrgency() (served [object.UrgencyCount]*expvar.Int) {
	for u := range object.Urgency(object.UrgencyCount) {
		served[u] = metrics.Int("served-" + u.Level().String())
	}
	return served
}
