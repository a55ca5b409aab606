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

// Meta is what the header of a request says to the entry.
type Meta struct {
	// Key is the key that the caller presented.
	Key string
	// RequestID is the caller's name for the request, empty where it has none.
	RequestID string
	// IdempotencyKey and Ticket name a request that must not run twice.
	IdempotencyKey string
	Ticket         string
	// Timeout is how long the caller waits; 0 where it does not say.
	Timeout time.Duration
	// Parent is the RequestID of the call beneath which this one seems to be
	// made, and Depth the number of calls above it, as far as the request shows.
	// They only order and end work; nothing that must hold rests on them.
	Parent string
	Depth  int
}

// Codec translates between the HTTP headers of callers and the entry's terms.
type Codec interface {
	// Read returns what the header says. Its error is a *verdict.Error with
	// verdict not-run.
	Read(r *http.Request) (Meta, error)
	// Strip removes from a header what no backend server gets.
	Strip(h http.Header)
	// WriteAnswer adds to the header of a backend server's answer.
	WriteAnswer(h http.Header, requestID string)
	// WriteError answers with an error. RetryAfter is when the caller should
	// come back, 0 where that is not known.
	WriteError(w http.ResponseWriter, requestID string, failure *verdict.Error, retryAfter time.Duration)
}

// ownCodec is the project's own interface.
type ownCodec struct{}

// ownHeaders are headers of the system that no backend server gets as the
// caller sent them.
var ownHeaders = []string{
	header.Key, header.CallToken, header.Deadline, header.IdempotencyKey, header.Ticket,
	header.RequestID, header.Account, header.Route, header.Urgency, header.Refused,
	header.Verdict,
}

// Read implements Codec.
func (ownCodec) Read(r *http.Request) (Meta, error) {
	timeout, err := readDeadline(r)
	return Meta{
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
func (ownCodec) Strip(h http.Header) {
	for _, name := range ownHeaders {
		h.Del(name)
	}
}

// WriteAnswer implements Codec.
func (ownCodec) WriteAnswer(h http.Header, requestID string) {
	h.Set(header.RequestID, requestID)
	h.Set(header.Verdict, verdict.Ran.String())
}

// statuses gives the HTTP status of each code; others are 503.
var statuses = map[verdict.Code]int{
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
	verdict.Internal:           http.StatusInternalServerError,
}

// WriteError implements Codec.
func (ownCodec) WriteError(w http.ResponseWriter, requestID string, failure *verdict.Error, retryAfter time.Duration) {
	status := cmp.Or(statuses[failure.Code], http.StatusServiceUnavailable)
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
