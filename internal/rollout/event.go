package rollout

import (
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/metric"
)

var (
	eventBegun = event.New(1800, "rollout-begun", event.Info,
		"This host began to decide about an order to move a service to another version; the new version gets a small share of the calls.")
	eventPromoting = event.New(1801, "rollout-promoting", event.Info,
		"The new version of a service responded like the old one and gets all new calls of the service.")
	eventCompleted = event.New(1802, "rollout-completed", event.Info,
		"A rollout was completed. The reason is passed, or in-force if the version had been in force before the order.")
	eventRolledBack = event.New(1803, "rollout-rolled-back", event.Warn,
		"A rollout was rolled back. The reason says why: failures or slow (the new version is worse), no-evidence, not-ready (cold or too few slots), unknown-service, unknown-version, withdrawn, late (first seen after the deadline) or store-unavailable.")
	eventReplaced = event.New(1804, "rollout-replaced", event.Warn,
		"A second order for a service came while one was running. The first is rolled back, and the second begins.")
	eventCandidateBad = event.New(1805, "rollout-candidate-refuses", event.Warn,
		"The responses of the backend server on this host alone show that it is worse than the old version; it gets no more calls in this rollout.")
	eventStoreUnavailable = event.New(1806, "rollout-store-unavailable", event.Warn,
		"The state of a rollout could not be read or written. A rollback takes effect without it; a rollout isn't completed.")
	eventTakenOver = event.New(1807, "rollout-taken-over", event.Info,
		"The host that decided about a rollout was silent; this host takes over.")
	eventNotOrdered = event.New(1808, "rollout-version-not-ordered", event.Warn,
		"The backend server on this host has a version that is not in force and that no order allows; it gets no calls.")
)

var (
	metrics            = metric.NewGroup("rollout")
	metricCandidate    = metrics.Int("candidate-requests")
	metricPolls        = metrics.Int("poll-messages")
	metricFailedPolls  = metrics.Int("failed-poll-messages")
	metricStoreReads   = metrics.Int("store-reads")
	metricStoreWrites  = metrics.Int("store-writes")
	metricStoreFailed  = metrics.Int("store-failed-operations")
	metricCompleted    = metrics.Int("completed")
	metricRolledBack   = metrics.Int("rolled-back")
	metricSelfJudged   = metrics.Int("candidate-self-refusals")
	metricTakeovers    = metrics.Int("takeovers")
	metricSuperseded   = metrics.Int("superseded-requests")
	metricNotCandidate = metrics.Int("refused-version-requests")
)
