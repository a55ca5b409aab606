package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/httpconn"
	"curranthold.example/curranthold/internal/httphead"
)

// service is an HTTP client of one service of the platform.
type service struct {
	name    string
	address string
	timeout time.Duration
	http    *http.Client
	circuit circuitBreaker
	// classify converts a response whose status is not 200 into an error.
	classify func(r serviceResponse, write bool) error
}

// request describes an HTTP request to a service.
type request struct {
	method string
	path   string
	body   []byte
	// write is set if the request changes the service's state, so that its
	// outcome is unknown if no valid response arrives.
	write bool
	// maxResponseBytes limits the body of the response.
	maxResponseBytes int64
	// maxServiceWait is how long the service may hold the request before it
	// responds, as in long polling. It is added to the timeout.
	maxServiceWait time.Duration
}

// serviceResponse is the response of a service.
type serviceResponse struct {
	status int
	header http.Header
	body   []byte
}

// do sends r and returns a 200 response. Each of its errors wraps one of the package's
// errors.
func (s *service) do(ctx context.Context, r request) (serviceResponse, error) {
	callCount.Add(1)
	response, err := s.attempt(ctx, r)
	if err != nil {
		countError(err)
		return serviceResponse{}, fmt.Errorf("%s %s%s: %w", r.method, s.name, r.path, err)
	}
	return response, nil
}

func (s *service) attempt(ctx context.Context, r request) (serviceResponse, error) {
	if err := ctx.Err(); err != nil {
		return serviceResponse{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	decision := s.circuit.allow(time.Now())
	if decision == rejected {
		circuitRefusalCount.Add(1)
		return serviceResponse{}, fmt.Errorf("%w: circuit open", ErrUnavailable)
	}
	response, err := s.exchange(ctx, r)
	s.recordOutcome(ctx, decision, err)
	return response, err
}

// recordOutcome tells the circuit breaker how an allowed request ended.
func (s *service) recordOutcome(ctx context.Context, d decision, err error) {
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown)
	switch {
	case !failed:
		if s.circuit.succeed(d) {
			eventCircuitClosed.Log(event.Fields{"service": s.name, "address": s.address})
		}
	case errors.Is(ctx.Err(), context.Canceled):
		s.circuit.abandon(d)
	default:
		if s.circuit.fail(d, time.Now()) {
			circuitOpenedCount.Add(1)
			eventCircuitOpened.Log(event.Fields{"service": s.name, "address": s.address, "error": err.Error()})
		}
	}
}

// exchange sends r and classifies the response or the error.
func (s *service) exchange(ctx context.Context, r request) (serviceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout+r.maxServiceWait)
	defer cancel()
	var gotConnection atomic.Bool
	var use httpconn.Use
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		gotConnection.Store(true)
		use.Acquire(info.Conn)
	}}
	response, err := s.roundTrip(httptrace.WithClientTrace(ctx, trace), r, &use)
	use.Release(!errors.Is(err, errInvalidHead))
	switch {
	case err != nil && (!r.write || !gotConnection.Load()):
		return serviceResponse{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case err != nil:
		return serviceResponse{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case response.status == http.StatusOK:
		return response, nil
	default:
		return serviceResponse{}, s.classify(response, r.write)
	}
}

// roundTrip sends r and reads the response, on the connection of use.
func (s *service) roundTrip(ctx context.Context, r request, use *httpconn.Use) (serviceResponse, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+s.address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return serviceResponse{}, err
	}
	sentBytes.Add(int64(len(r.body)))
	resp, err := s.http.Do(req)
	if err != nil {
		return serviceResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := checkHead(resp, use); err != nil {
		return serviceResponse{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.maxResponseBytes+1))
	receivedBytes.Add(int64(len(body)))
	if err != nil {
		return serviceResponse{}, err
	}
	if int64(len(body)) > r.maxResponseBytes {
		return serviceResponse{}, fmt.Errorf("answer exceeds %d bytes", r.maxResponseBytes)
	}
	if err := countInvalid(httphead.CheckFields(resp.Trailer)); err != nil {
		return serviceResponse{}, err
	}
	return serviceResponse{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// errInvalidHead means that a response has an invalid head or trailer. Its connection is not
// used again.
var errInvalidHead = errors.New("invalid head")

// checkHead returns errInvalidHead if the head is none of a final response.
func checkHead(resp *http.Response, use *httpconn.Use) error {
	if !httphead.IsFinal(resp.StatusCode) {
		invalidStatuses.Add(1)
		return fmt.Errorf("%w: status %d, which is none of a final response", errInvalidHead, resp.StatusCode)
	}
	if err := use.CheckFraming(resp); err != nil {
		return countInvalid(err)
	}
	return countInvalid(httphead.Check(resp))
}

// countInvalid returns errInvalidHead if err, the result of a check of a head or trailer, is
// not nil.
func countInvalid(err error) error {
	if err == nil {
		return nil
	}
	invalidHeads.Add(1)
	return fmt.Errorf("%w: %w", errInvalidHead, err)
}

// refusalErrors maps the status of a service's refusal to the code that must come
// with it and to the error that it means.
var refusalErrors = map[int]struct {
	code RefusalCode
	err  error
}{
	http.StatusConflict:              {CodeConflict, ErrConflict},
	http.StatusServiceUnavailable:    {CodeUnavailable, ErrUnavailable},
	http.StatusNotFound:              {CodeNotFound, ErrNotFound},
	http.StatusBadRequest:            {CodeRefused, ErrRefused},
	http.StatusRequestEntityTooLarge: {CodeRefused, ErrRefused},
}

// classify converts a response whose status is not 200 into an error. Only a refusal
// by the service itself shows that a write took no effect: after any other response,
// such as one of an intermediary, the outcome of a write is unknown.
func classify(r serviceResponse, write bool) error {
	var refusal Refusal
	known, ok := refusalErrors[r.status]
	if ok && json.Unmarshal(r.body, &refusal) == nil && refusal.Code == known.code {
		return fmt.Errorf("%w: %s", known.err, refusal.Message)
	}
	if write {
		return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, r.status)
	}
	return fmt.Errorf("%w: status %d", ErrUnavailable, r.status)
}
