package platform

import (
	"context"
	"net/http"
	"time"
)

// Dialect turns an answer other than 200 into one of the package's errors.
// Write is set where the request was to change the service's state.
type Dialect func(status int, body []byte, write bool) error

// Exchange is one request to a service that speaks a protocol of its own.
type Exchange struct {
	Method string
	// Path is the path with the query.
	Path string
	Body []byte
	// Write is set where the request changes the service's state.
	Write bool
	// Patience is how long the service itself may wait before it answers.
	Patience time.Duration
}

// Service reaches a service of a platform that speaks a protocol of its own. It
// has the timeouts, circuit and errors of [Client], and never repeats a request.
// Its methods may be called by several goroutines at once.
type Service struct {
	service   service
	transport *http.Transport
}

// NewService returns the service at the address. Timeout bounds each exchange,
// less the patience that it states; 0 means 2 seconds.
func NewService(name, address string, timeout time.Duration, dialect Dialect) *Service {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	transport := newTransport(timeout)
	return &Service{
		service: service{
			name: name, address: address, timeout: timeout,
			http:     &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
			classify: func(a answer, write bool) error { return dialect(a.status, a.body, write) },
		},
		transport: transport,
	}
}

// Do sends the request and returns the body of a 200 answer. Its errors wrap one
// of the package's errors.
func (s *Service) Do(ctx context.Context, e Exchange) ([]byte, error) {
	return s.service.do(ctx, request{
		method:    e.Method,
		path:      e.Path,
		body:      e.Body,
		write:     e.Write,
		maxAnswer: maxTableBytes,
		patience:  e.Patience,
	})
}

// Close closes the connections that are not in use.
func (s *Service) Close() { s.transport.CloseIdleConnections() }
