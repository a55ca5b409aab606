package resource

import (
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/metric"
)

var (
	eventUnauthorized = event.New(600, "operator-unauthorized", event.Warn, "A request to the resource API carried no token or an unknown one.")
	eventAccepted     = event.New(601, "operation-accepted", event.Info, "An operator's change was accepted; the audit trail holds it under its generation.")
	eventRefused      = event.New(602, "operation-refused", event.Info, "An operator's change was refused and had no effect, unless the code is outcome-unknown: then it may have taken effect.")
	eventForced       = event.New(603, "operation-forced", event.Warn, "An operator's change was accepted with the force parameter, which overrides safety checks.")
)

var metrics = metric.NewGroup("resource")

var (
	countRequests     = metrics.Int("requests")
	countUnauthorized = metrics.Int("requests-unauthorized")
	countAccepted     = metrics.Int("operations-accepted")
	countRefused      = metrics.Int("operations-refused")
	countWatches      = metrics.Int("watches")
)
