package clientlimit

import (
	"expvar"

	"golang.org/x/time/rate"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/metric"
)

var (
	eventExceeded = event.New(1700, "client-limit-reached", event.Warn,
		"Clients make the node hold more than a part of its memory budget, or than the connections that its descriptors allow; what exceeds it is refused or closed. The field part says which. Logged at most once a second for each part.")
	eventReleased = event.New(1701, "memory-returned", event.Info,
		"The use of the memory budget has fallen, and unused memory was returned to the operating system.")
)

var (
	metrics       = metric.NewGroup("client-limit")
	metricRefused = refusedByPart()
	// metricReleases counts how often unused memory was returned.
	metricReleases = metrics.Int("memory-returns")
	// metricPipelined is how long requests that were received with or behind another
	// waited until it was answered.
	metricPipelined = metrics.Histogram("pipelined-wait-us")
)

func refusedByPart() (refused [partCount]*expvar.Int) {
	for p := range partCount {
		refused[p] = metrics.Int("refused-" + p.String())
	}
	return refused
}

// logLimiters limit the rate of log lines of each part.
var logLimiters = func() (limiters [partCount]*rate.Limiter) {
	for p := range limiters {
		limiters[p] = rate.NewLimiter(1, 1)
	}
	return limiters
}()

func logRefused(p Part, limit int64) {
	if logLimiters[p].Allow() {
		eventExceeded.Log(event.Fields{"part": p.String(), "limit-bytes": limit})
	}
}
