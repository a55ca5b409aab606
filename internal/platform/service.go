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
)

// service is one of the platform's two services, reached over HTTP.
type service struct {
	name    string
	address string
	timeout time.Duration
	http    *http.Client
	circuit circuit
	// classify turns an answer that is not 200 into an error.
	classify func(a answer, write bool) error
}

// request is one exchange with a service.
type request struct {
	method string
	path   string
	body   []byte
	// write is set where the request changes the service's state, so that a
	// broken exchange leaves its outcome unknown.
	write bool
	// maxAnswer bounds the answer, in bytes.
	maxAnswer int64
	// patience is how long the service itself may wait before it answers.
	patience time.Duration
}

// answer is what a service returned.
type answer struct {
	status int
	body   []byte
}

// do sends r and returns the body of a 200 answer. Its errors wrap one of the
// package's errors.
func (s *service) do(ctx context.Context, r request) ([]byte, error) {
	callCount.Add(1)
	body, err := s.try(ctx, r)
	if err != nil {
		countError(err)
		return nil, fmt.Errorf("%s %s%s: %w", r.method, s.name, r.path, err)
	}
	return body, nil
}

func (s *service) try(ctx context.Context, r request) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	admission := s.circuit.admit(time.Now())
	if admission == refused {
		circuitRefusalCount.Add(1)
		return nil, fmt.Errorf("%w: circuit open", ErrUnavailable)
	}
	body, err := s.exchange(ctx, r)
	s.settle(ctx, admission, err)
	return body, err
}

// settle tells the circuit how an exchange ended.
func (s *service) settle(ctx context.Context, a admission, err error) {
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown)
	switch {
	case !failed:
		if s.circuit.succeed(a) {
			eventCircuitClosed.Log(event.Fields{"service": s.name, "address": s.address})
		}
	case errors.Is(ctx.Err(), context.Canceled):
		s.circuit.abandon(a)
	default:
		if s.circuit.fail(a, time.Now()) {
			circuitOpenedCount.Add(1)
			eventCircuitOpened.Log(event.Fields{"service": s.name, "address": s.address, "error": err.Error()})
		}
	}
}

// exchange sends r and classifies what comes back.
func (s *service) exchange(ctx context.Context, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout+r.patience)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	a, err := s.roundTrip(httptrace.WithClientTrace(ctx, trace), r)
	switch {
	case err != nil && (!r.write || !connected.Load()):
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	case a.status == http.StatusOK:
		return a.body, nil
	default:
		return nil, s.classify(a, r.write)
	}
}

func (s *service) roundTrip(ctx context.Context, r request) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+s.address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{}, err
	}
	sentBytes.Add(int64(len(r.body)))
	resp, err := s.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.maxAnswer+1))
	receivedBytes.Add(int64(len(body)))
	if err != nil {
		return answer{}, err
	}
	if int64(len(body)) > r.maxAnswer {
		return answer{}, fmt.Errorf("answer exceeds %d bytes", r.maxAnswer)
	}
	return answer{status: resp.StatusCode, body: body}, nil
}

// refusals gives the error for each status and code by which a service
// refuses.
var refusals = map[int]struct {
	code RefusalCode
	err  error
}{
	http.StatusConflict:              {CodeConflict, ErrConflict},
	http.StatusServiceUnavailable:    {CodeUnavailable, ErrUnavailable},
	http.StatusNotFound:              {CodeNotFound, ErrNotFound},
	http.StatusBadRequest:            {CodeRefused, ErrRefused},
	http.StatusRequestEntityTooLarge: {CodeRefused, ErrRefused},
}

// classify turns an answer that is not 200 into an error. An answer that does
// not come from the service proves nothing about a write.
func classify(a answer, write bool) error {
	var refusal Refusal
	known, ok := refusals[a.status]
	if ok && json.Unmarshal(a.body, &refusal) == nil && refusal.Code == known.code {
		return fmt.Errorf("%w: %s", known.err, refusal.Message)
	}
	if write {
		return fmt.Errorf("%w: status %d", ErrUnknown, a.status)
	}
	return fmt.Errorf("%w: status %d", ErrUnavailable, a.status)
}
