package claim

import (
	"errors"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/metric"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/verdict"
)

var metrics = metric.NewGroup("claim")

var (
	issued             = metrics.Int("tickets-issued")
	outstandingTickets = metrics.Int("tickets-unexpired")
	granted            = metrics.Int("claims-granted")
	refusedHeld        = metrics.Int("claims-refused-held")
	refusedRan         = metrics.Int("claims-refused-already-ran")
	refusedUnavailable = metrics.Int("claims-refused-unavailable")
	refusedTicket      = metrics.Int("claims-refused-ticket")
	refusedRequest     = metrics.Int("claims-refused-request")
	tableTransactions  = metrics.Int("table-transactions")
	tableOperations    = metrics.Int("table-operations")
	tableConflicts     = metrics.Int("table-transactions-conflict")
	tableUnavailable   = metrics.Int("table-transactions-unavailable")
	tableUnknown       = metrics.Int("table-transactions-unknown")
	tableReads         = metrics.Int("table-reads")
	sweptRows          = metrics.Int("rows-deleted")
	pendingDeliveries  = metrics.Int("ends-pending")
	undelivered        = metrics.Int("ends-undelivered")
)

var (
	eventUndelivered = event.New(1200, "claim-end-undelivered", event.Warn,
		"The end of a claim could not be delivered in time. The claim stays held, and repeated requests are refused with the code claim-held.")
	eventSweepFailed = event.New(1201, "claim-sweep-failed", event.Warn,
		"Old claim rows could not be deleted. The deletion is retried every second.")
)

func countRefusal(err *verdict.Error) {
	switch err.Code {
	case verdict.ClaimHeld:
		refusedHeld.Add(1)
	case verdict.AlreadyRan:
		refusedRan.Add(1)
	case verdict.ClaimUnavailable:
		refusedUnavailable.Add(1)
	case verdict.TicketExpired, verdict.TicketRefused:
		refusedTicket.Add(1)
	default:
		refusedRequest.Add(1)
	}
}

func countCommit(operations int, err error) {
	tableTransactions.Add(1)
	tableOperations.Add(int64(operations))
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrConflict):
		tableConflicts.Add(1)
	case errors.Is(err, platform.ErrUnavailable):
		tableUnavailable.Add(1)
	default:
		tableUnknown.Add(1)
	}
}
