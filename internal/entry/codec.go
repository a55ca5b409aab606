package entry

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/verdict"
)

// RequestMetadata contains the values that the entry takes from a request's header.
type RequestMetadata struct {
	// Key is the client key that the caller presented.
	Key string
	// RequestID is the caller's identifier of the request, empty if it set none.
	RequestID string
	// IdempotencyKey and Ticket identify a request that must run at most once. A
	// request has at most one of them.
	IdempotencyKey string
	Ticket         string
	// Timeout is how long the caller waits for the response; 0 if not given.
	Timeout time.Duration
	// Parent is the RequestID of the call in which this one is nested, and Depth
	// its nesting level, both according to the header. The header is
	// not authenticated: the values are used for scheduling, retry accounting and
	// cancellation, and never for authorization or at-most-once execution.
	Parent string
	Depth  int
}

// Codec reads and writes the HTTP headers that callers and the entry exchange.
type Codec interface {
	// Read returns the values of a request's header. Its error is a
	// *verdict.Error with verdict not-run.
	Read(r *http.Request) (RequestMetadata, error)
	// Strip removes the headers that are not forwarded to backend servers.
	Strip(h http.Header)
	// WriteAnswer adds the entry's headers to a backend server's response.
	WriteAnswer(h http.Header, requestID string)
	// WriteError responds with an error. retryAfter is the time after which the
	// caller should retry, 0 if unknown.
	WriteError(w http.ResponseWriter, requestID string, failure *verdict.Error, retryAfter time.Duration)
}

// defaultCodec uses the headers of package header.
type defaultCodec struct{}

// reservedHeaders are removed from a caller's request before it is forwarded. The
// owner sets those that a backend server needs.
var reservedHeaders = []string{
	header.Key, header.CallToken, header.Deadline, header.IdempotencyKey, header.Ticket,
	header.RequestID, header.Account, header.Route, header.Urgency, header.Refused,
	header.Verdict,
}

// Read implements Codec.
func (defaultCodec) Read(r *http.Request) (RequestMetadata, error) {
	timeout, err := readDeadline(r)
	return RequestMetadata{
		Key:            r.Header.Get(header.Key),
		RequestID:      r.Header.Get(header.RequestID),
		IdempotencyKey: r.Header.Get(header.IdempotencyKey),
		Ticket:         r.Header.Get(header.Ticket),
		Timeout:        timeout,
	}, err
}

func readDeadline(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(header.Deadline)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, verdict.New(verdict.NotRun, verdict.BadRequest,
			"%s must be a number of milliseconds between 1 and %d", header.Deadline, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// Strip implements Codec.
func (defaultCodec) Strip(h http.Header) {
	for _, name := range reservedHeaders {
		h.Del(name)
	}
}

// WriteAnswer implements Codec.
func (defaultCodec) WriteAnswer(h http.Header, requestID string) {
	h.Set(header.RequestID, requestID)
	h.Set(header.Verdict, verdict.Ran.String())
}

// httpStatuses maps codes to HTTP statuses. Codes that are not listed map to 503.
var httpStatuses = map[verdict.Code]int{
	verdict.BadRequest:         http.StatusBadRequest,
	verdict.RequestTooLarge:    http.StatusRequestEntityTooLarge,
	verdict.UnknownRoute:       http.StatusNotFound,
	verdict.KeyMissing:         http.StatusUnauthorized,
	verdict.KeyRefused:         http.StatusForbidden,
	verdict.KeyUnconfirmed:     http.StatusForbidden,
	verdict.CallTokenRefused:   http.StatusForbidden,
	verdict.DeadlineExceeded:   http.StatusGatewayTimeout,
	verdict.QuotaExceeded:      http.StatusTooManyRequests,
	verdict.AlreadyRan:         http.StatusConflict,
	verdict.ClaimHeld:          http.StatusConflict,
	verdict.PeerExchangeBroken: http.StatusBadGateway,
	verdict.BackendBroken:      http.StatusBadGateway,
	verdict.BackendFailed:      http.StatusBadGateway,
	verdict.AnswerTooLarge:     http.StatusBadGateway,
	verdict.AnswerMismatch:     http.StatusBadGateway,
	verdict.StatusInvalid:      http.StatusBadGateway,
	verdict.HeadInvalid:        http.StatusBadGateway,
	verdict.Internal:           http.StatusInternalServerError,
}

// WriteError implements Codec.
func (defaultCodec) WriteError(w http.ResponseWriter, requestID string, failure *verdict.Error, retryAfter time.Duration) {
	status := cmp.Or(httpStatuses[failure.Code], http.StatusServiceUnavailable)
	body, _ := json.Marshal(failure)
	if requestID != "" {
		w.Header().Set(header.RequestID, requestID)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(header.Verdict, failure.Verdict.String())
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		seconds := max(1, int64((retryAfter+time.Second-1)/time.Second))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
