package owner

import (
	"expvar"

	"golang.org/x/time/rate"

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

// invalidHead returns the error of a response whose head or trailer was checked with the
// result err, or nil if that is nil.
func invalidHead(err error) error {
	if err == nil {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.HeadInvalid, "the backend server sent an invalid head: %v", err)
}

// invalidKind is a kind of responses that are not passed on, as operators see it.
type invalidKind struct {
	count *expvar.Int
	event *event.Event
	// lines limits the log lines, in lines a second.
	lines *rate.Limiter
}

// invalidKinds holds the kinds of responses that are counted and logged, by the code of the
// error that their callers get.
var invalidKinds = map[verdict.Code]invalidKind{
	verdict.StatusInvalid: {metrics.Int("invalid-statuses"), eventStatusInvalid, rate.NewLimiter(1, 1)},
	verdict.HeadInvalid:   {metrics.Int("invalid-heads"), eventHeadInvalid, rate.NewLimiter(1, 1)},
	verdict.BackendBroken: {metrics.Int("broken-responses"), eventResponseBroken, rate.NewLimiter(1, 1)},
}

// reportInvalid counts and logs a response that is not passed on, as err says. Status is that
// of the response, 0 if its head could not be read.
func reportInvalid(r *call.Request, status int, err error) {
	if err == nil {
		return
	}
	kind, ok := invalidKinds[verdict.From(err).Code]
	if !ok {
		return
	}
	kind.count.Add(1)
	if kind.lines.Allow() {
		kind.event.Log(event.Fields{"request": r.RequestID, "service": r.Service, "status": status, "reason": err.Error()})
	}
}
