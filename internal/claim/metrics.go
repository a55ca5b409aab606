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
	metricIssued             = metrics.Int("tickets-issued")
	metricOutstandingTickets = metrics.Int("tickets-unexpired")
	metricGranted            = metrics.Int("claims-granted")
	metricRefusedHeld        = metrics.Int("claims-refused-held")
	metricRefusedRan         = metrics.Int("claims-refused-already-ran")
	metricRefusedUnavailable = metrics.Int("claims-refused-unavailable")
	metricRefusedTicket      = metrics.Int("claims-refused-ticket")
	metricRefusedRequest     = metrics.Int("claims-refused-request")
	metricTableTransactions  = metrics.Int("table-transactions")
	metricTableOperations    = metrics.Int("table-operations")
	metricTableConflicts     = metrics.Int("table-transactions-conflict")
	metricTableUnavailable   = metrics.Int("table-transactions-unavailable")
	metricTableUnknown       = metrics.Int("table-transactions-unknown")
	metricTableReads         = metrics.Int("table-reads")
	metricSweptRows          = metrics.Int("rows-deleted")
	metricPendingDeliveries  = metrics.Int("ends-pending")
	metricUndelivered        = metrics.Int("ends-undelivered")
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
		metricRefusedHeld.Add(1)
	case verdict.AlreadyRan:
		metricRefusedRan.Add(1)
	case verdict.ClaimUnavailable:
		metricRefusedUnavailable.Add(1)
	case verdict.TicketExpired, verdict.TicketRefused:
		metricRefusedTicket.Add(1)
	default:
		metricRefusedRequest.Add(1)
	}
}

func countCommit(operations int, err error) {
	metricTableTransactions.Add(1)
	metricTableOperations.Add(int64(operations))
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrConflict):
		metricTableConflicts.Add(1)
	case errors.Is(err, platform.ErrUnavailable):
		metricTableUnavailable.Add(1)
	default:
		metricTableUnknown.Add(1)
	}
}
