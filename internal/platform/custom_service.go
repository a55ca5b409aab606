package platform

import (
	"context"
	"net/http"
	"time"
)

// ErrorClassifier converts a response whose status is not 200 into one of the
// package's errors. Write is set if the request changes the service's state.
type ErrorClassifier func(status int, body []byte, write bool) error

// ServiceRequest describes a request to a [CustomService].
type ServiceRequest struct {
	Method string
	// Path is the path of the URL, with the query.
	Path string
	Body []byte
	// Write is set if the request changes the service's state, so that its
	// outcome is unknown if no valid response arrives.
	Write bool
	// MaxServiceWait is how long the service may hold the request before it
	// responds, as in long polling. It is added to the timeout.
	MaxServiceWait time.Duration
}

// CustomService is an HTTP client of a platform service whose protocol differs from
// that of [Client]. It has the timeouts, circuit breaker and errors of Client, and
// it never retries a request. Its methods may be called by several goroutines at
// once.
type CustomService struct {
	service   service
	transport *http.Transport
}

// NewCustomService returns a client of the service at the address. Timeout is the
// timeout of each request, to which its MaxServiceWait is added; 0 means 2 seconds.
func NewCustomService(name, address string, timeout time.Duration, toError ErrorClassifier) *CustomService {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	transport := newTransport(timeout)
	return &CustomService{
		service: service{
			name: name, address: address, timeout: timeout,
			http:     &http.Client{Transport: transport, CheckRedirect: stopAtRedirect},
			classify: func(r serviceResponse, write bool) error { return toError(r.status, r.body, write) },
		},
		transport: transport,
	}
}

// Do sends the request and returns the header and the body of a 200 response. Each of its
// errors wraps one of the package's errors.
func (s *CustomService) Do(ctx context.Context, r ServiceRequest) (http.Header, []byte, error) {
	response, err := s.service.do(ctx, request{
		method:           r.Method,
		path:             r.Path,
		body:             r.Body,
		write:            r.Write,
		maxResponseBytes: maxTableBytes,
		maxServiceWait:   r.MaxServiceWait,
	})
	return response.header, response.body, err
}

// Close closes idle connections.
func (s *CustomService) Close() { s.transport.CloseIdleConnections() }
