package entry

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/clientlimit"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 10 * time.Second
	// answerTimeout bounds the time to write answerPieceBytes of a response to a
	// caller, so that one who reads slowly gets all of a large response.
	answerTimeout    = 30 * time.Second
	answerPieceBytes = 64 << 10
	// maxTimeout bounds the timeout that a caller may set.
	maxTimeout = 10 * time.Minute
	// maxRequestIDBytes bounds the length of a request identifier.
	maxRequestIDBytes = 128
	// maxIdempotencyKeyBytes bounds the length of an idempotency key.
	maxIdempotencyKeyBytes = 256
	// ticketPath is the URL path at which callers request tickets, with method POST.
	ticketPath = "/v1/tickets"
	// maxTickets bounds the number of tickets issued per request.
	maxTickets = 1000
)

func callToken(r *http.Request) string { return r.Header.Get(header.CallToken) }

// readRequest reads the header of a request. If it fails, the returned
// activeCall still identifies the request for the error response.
func (e *Entry) readRequest(w http.ResponseWriter, r *http.Request) (*activeCall, error) {
	meta, err := e.config.Codec.Read(r)
	x := &activeCall{key: meta.Key, ticket: meta.Ticket, path: r.URL.Path, timeout: meta.Timeout, arrived: time.Now()}
	x.id = e.config.Host + "-" + rand.Text()
	x.request.RequestID = cmp.Or(meta.RequestID, x.id)
	x.request.Method = r.Method
	x.request.Target = target(r)
	x.request.Host = r.Host
	x.request.Depth = meta.Depth
	x.inferredParent = e.findInferredParent(meta.Parent)
	x.request.CallerService = e.config.Service
	x.request.IdempotencyKey = meta.IdempotencyKey
	if nameErr := x.checkIdentifiers(); nameErr != nil {
		return x, nameErr
	}
	if err != nil {
		return x, err
	}
	x.request.Header = call.EndToEnd(r.Header)
	e.config.Codec.Strip(x.request.Header)
	x.readBody = func() ([]byte, func(), error) { return e.readBody(w, r) }
	return x, nil
}

// target returns the path and query exactly as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// readBody reads the body within bodyTimeout. Release frees the memory that is reserved
// for it, also after an error. Its errors have verdict NotRun.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	limit := e.config.RequestBytes
	tooLarge := verdict.New(verdict.NotRun, verdict.RequestTooLarge, "the body exceeds %d bytes", limit)
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // The body is not read.
		return nil, func() {}, tooLarge
	}
	memory := &reservation{entry: e}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err = readReserved(r.Body, r.ContentLength, limit, memory)
	var refusal *verdict.Error
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return body, memory.release, nil
	case errors.Is(err, errBodyTooLarge):
		refusal = tooLarge
	case !errors.As(err, &refusal):
		refusal = verdict.New(verdict.NotRun, verdict.BadRequest, "the body is incomplete: %v", err)
	}
	w.Header().Set("Connection", "close") // The rest of the body is not read.
	return nil, memory.release, refusal
}

func (x *activeCall) checkIdentifiers() error {
	if len(x.request.RequestID) > maxRequestIDBytes {
		x.request.RequestID = x.id
		return verdict.New(verdict.NotRun, verdict.BadRequest,
			"%s exceeds %d bytes", header.RequestID, maxRequestIDBytes)
	}
	if len(x.request.IdempotencyKey) > maxIdempotencyKeyBytes {
		// Every entry refuses such a key, so no earlier request with it has run.
		// Clearing the key keeps callerError from changing the verdict to
		// may-have-run.
		x.request.IdempotencyKey = ""
		return verdict.New(verdict.NotRun, verdict.BadRequest,
			"%s exceeds %d bytes", header.IdempotencyKey, maxIdempotencyKeyBytes)
	}
	if x.ticket != "" && x.request.IdempotencyKey != "" {
		return verdict.New(verdict.NotRun, verdict.BadRequest,
			"%s and %s exclude each other", header.Ticket, header.IdempotencyKey)
	}
	return nil
}

// writeAnswer sends the response, or the error if err is not nil, to the caller.
func (e *Entry) writeAnswer(w http.ResponseWriter, x *activeCall, err error) {
	if err != nil {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout))
		e.writeError(w, x, err)
		return
	}
	for name, values := range x.answer.Header {
		w.Header()[name] = values
	}
	e.config.Codec.WriteAnswer(w.Header(), x.request.RequestID)
	if x.request.Method != http.MethodHead { // Its answer states the length of another.
		w.Header().Set("Content-Length", strconv.Itoa(len(x.answer.Body)))
	}
	w.WriteHeader(x.answer.Status)
	e.writeBody(w, x.answer.Body)
	metricServed[x.request.Urgency].Add(1)
	metricLatency.Record(time.Since(x.arrived))
}

// writeBody writes the body of a response. It gives up if the caller's connection fails,
// takes no answerPieceBytes within answerTimeout, or is the slowest of those whose
// responses together exceed the memory for them.
func (e *Entry) writeBody(w http.ResponseWriter, body []byte) {
	control := http.NewResponseController(w)
	var writing *clientlimit.Response
	if len(body) >= clientlimit.MinResponseBytes {
		writing = e.config.Clients.BeginResponse(int64(len(body)), func() { _ = control.SetWriteDeadline(time.Now()) })
		defer writing.End()
	}
	extend := func() { _ = control.SetWriteDeadline(time.Now().Add(answerTimeout)) }
	for {
		n := min(len(body), answerPieceBytes)
		if !writing.Continue(extend) {
			return
		}
		if _, err := w.Write(body[:n]); err != nil || n == len(body) {
			return
		}
		body = body[n:]
	}
}

func (e *Entry) writeError(w http.ResponseWriter, x *activeCall, err error) {
	failure := verdict.From(err)
	metricRefused.Add(string(failure.Code)+"-"+failure.Verdict.String(), 1)
	metricRefusalLatency.Record(time.Since(x.arrived))
	e.log.ended(x, failure)
	e.config.Codec.WriteError(w, x.request.RequestID, failure, retryAfterFor(x, failure))
}

// ticketAnswer is the JSON response to a request for tickets.
type ticketAnswer struct {
	Tickets []string `json:"tickets"`
}

// serveTickets issues tickets to the client account of the presented client key.
func (e *Entry) serveTickets(w http.ResponseWriter, r *http.Request) {
	answer, err := e.issueTickets(r.Context(), r)
	if err != nil {
		e.writeError(w, &activeCall{arrived: time.Now()}, err)
		return
	}
	body, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (e *Entry) issueTickets(ctx context.Context, r *http.Request) (ticketAnswer, error) {
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxTickets {
			return ticketAnswer{}, verdict.New(verdict.NotRun, verdict.BadRequest,
				"count must be between 1 and %d", maxTickets)
		}
		count = n
	}
	account, err := e.config.Configuration.Authenticate(r.Header.Get(header.Key))
	if err != nil {
		return ticketAnswer{}, err
	}
	if err := e.config.Quota.Spend(ctx, account); err != nil {
		return ticketAnswer{}, err
	}
	tickets, err := e.config.Claims.Issue(account, count)
	return ticketAnswer{Tickets: tickets}, err
}
