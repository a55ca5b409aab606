package quota

import "curranthold.example/curranthold/internal/metric"

var metrics = metric.NewGroup("quota")

// The metrics count requests, messages, tokens and table operations since the
// process started, unless the name says otherwise.
var (
	spentTokens        = metrics.Int("spent-tokens")
	refusedExceeded    = metrics.Int("refused-exceeded-requests")
	refusedUnavailable = metrics.Int("refused-unavailable-requests")
	missedRequests     = metrics.Int("missed-requests")
	borrowMessages     = metrics.Int("borrow-messages")
	delegateMessages   = metrics.Int("delegate-messages")
	rosterMessages     = metrics.Int("roster-messages")
	failedMessages     = metrics.Int("failed-messages")
	tableReads         = metrics.Int("table-reads")
	tableWrites        = metrics.Int("table-writes")
	fractionMillionths = metrics.Int("own-fraction-millionths")
)
