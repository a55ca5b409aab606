package entry

import (
	"time"

	"golang.org/x/time/rate"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/pkg/verdict"
)

var (
	eventRefused = event.New(700, "request-refused", event.Info,
		"A request was refused and has not run. The fields contain the code and the reason of the refusal.")
	eventFailed = event.New(701, "request-failed", event.Warn,
		"A request failed and ran or may have run.")
	eventSentAgain = event.New(702, "request-sent-again", event.Info,
		"A request is sent to another host after a refused or failed attempt.")
	eventUnresponsive = event.New(703, "host-silent", event.Warn,
		"A host became unresponsive while a call waited for its answer; it gets no new calls for a while.")
	eventHedged = event.New(704, "request-sent-to-second-host", event.Info,
		"A call takes much longer than usual; it is also sent to a second host, and the first successful answer is used.")
)

const (
	// linesPerSecond and lineBurst limit the rate of log lines about requests.
	linesPerSecond = 20
	lineBurst      = 200
)

// requestLog logs events of requests. It limits the rate of lines and counts those
// that it drops.
type requestLog struct{ limiter *rate.Limiter }

func newRequestLog() requestLog {
	return requestLog{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// ended logs the end of a request that is answered with an error.
func (l *requestLog) ended(x *activeCall, failure *verdict.Error) {
	if !l.limiter.Allow() {
		metricLinesDropped.Add(1)
		return
	}
	logFields := x.logFields(failure)
	logFields["held-ms"] = time.Since(x.arrived).Milliseconds()
	logFields["moves"] = x.failovers
	if failure.Verdict == verdict.NotRun {
		eventRefused.Log(logFields)
		return
	}
	eventFailed.Log(logFields)
}

// retried logs that a request is sent again after a failed attempt at host.
func (l *requestLog) retried(x *activeCall, host string, attempt int, failure *verdict.Error) {
	if !l.limiter.Allow() {
		metricLinesDropped.Add(1)
		return
	}
	logFields := x.logFields(failure)
	logFields["host"] = host
	logFields["attempt"] = attempt
	eventSentAgain.Log(logFields)
}

// hedged logs that a call is sent to a second host while the first has not answered.
func (l *requestLog) hedged(x *activeCall, host string) {
	if !l.limiter.Allow() {
		metricLinesDropped.Add(1)
		return
	}
	eventHedged.Log(event.Fields{
		"request": x.request.RequestID, "route": x.request.Route, "service": x.request.Service,
		"host": host, "held-ms": time.Since(x.arrived).Milliseconds(), "generation": x.generation,
	})
}

// logFields returns the fields of a log line about a failed attempt or request.
func (x *activeCall) logFields(failure *verdict.Error) event.Fields {
	return event.Fields{
		"request":    x.request.RequestID,
		"route":      x.request.Route,
		"service":    x.request.Service,
		"account":    x.request.Account,
		"urgency":    x.request.Urgency.String(),
		"code":       string(failure.Code),
		"verdict":    failure.Verdict.String(),
		"reason":     failure.Message,
		"generation": x.generation,
	}
}
