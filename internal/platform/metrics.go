package platform

import (
	"errors"
	"expvar"

	"curranthold.example/curranthold/internal/metric"
)

var metrics = metric.NewGroup("platform")

var (
	callCount           = metrics.Int("calls")
	circuitRefusalCount = metrics.Int("circuit-refusals")
	circuitOpenedCount  = metrics.Int("circuits-opened")
	sentBytes           = metrics.Int("sent-bytes")
	receivedBytes       = metrics.Int("received-bytes")
	invalidStatuses     = metrics.Int("invalid-statuses")
	invalidHeads        = metrics.Int("invalid-heads")
)

// errorCounts holds the counters of those of the package's errors that are counted.
var errorCounts = []struct {
	kind  error
	count *expvar.Int
}{
	{ErrConflict, metrics.Int("errors-conflict")},
	{ErrUnavailable, metrics.Int("errors-unavailable")},
	{ErrOutcomeUnknown, metrics.Int("errors-unknown")},
	{ErrNotFound, metrics.Int("errors-not-found")},
	{ErrRefused, metrics.Int("errors-refused")},
}

func countError(err error) {
	for _, e := range errorCounts {
		if errors.Is(err, e.kind) {
			e.count.Add(1)
			return
		}
	}
}
