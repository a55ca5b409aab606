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

// reportInvalid counts and logs a response that is not passed on because of its head, as err
// says.
func reportInvalid(r *call.Request, response *http.Response, err error) {
	if err == nil {
		return
	}
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
