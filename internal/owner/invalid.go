package owner

import (
	"net/http"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/pkg/verdict"
)

// isResponse reports whether err, the error of a response or nil, is for a response to the
// request.
func isResponse(err error) bool {
	if err == nil {
		return true
	}
	switch verdict.From(err).Code {
	case verdict.AnswerMismatch, verdict.StatusInvalid, verdict.HeadInvalid:
		return false
	default:
		return true
	}
}

// reject gives up the connection of a response that is none to the request, as err says, and
// counts and logs the response.
func (b *backend) reject(r *call.Request, response *http.Response, err error) {
	// To net/http a connection is idle after a response without a body, although the
	// request's own response may follow on it.
	b.transport.CloseIdleConnections()
	switch verdict.From(err).Code {
	case verdict.StatusInvalid:
		metricInvalidStatuses.Add(1)
		if statusLog.Allow() {
			eventStatusInvalid.Log(event.Fields{"request": r.RequestID, "service": r.Service, "status": response.StatusCode})
		}
	case verdict.HeadInvalid:
		metricInvalidHeads.Add(1)
		if headLog.Allow() {
			eventHeadInvalid.Log(event.Fields{"request": r.RequestID, "service": r.Service, "reason": err.Error()})
		}
	}
}
