package owner

import (
	"net/http"
	"strconv"
	"time"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/verdict"
)

// Outgoing contains the values that are sent to a backend server in the header of a
// request.
type Outgoing struct {
	Request *call.Request
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Token is the call token that the backend server must pass on in nested calls.
	Token string
	// Incarnation is the incarnation that the backend server announced.
	Incarnation string
}

// Codec writes and reads the HTTP headers that the owner and a backend server
// exchange.
type Codec interface {
	// WriteRequest adds the values of o to the header of a request.
	WriteRequest(h http.Header, o Outgoing)
	// Judge checks the status and header of a response. It returns nil if the
	// response is the result of the request. Otherwise it returns an error whose
	// verdict follows from the response.
	Judge(r *call.Request, response *http.Response) error
}

// defaultCodec uses the headers of package header.
type defaultCodec struct{}

// WriteRequest implements Codec.
func (defaultCodec) WriteRequest(h http.Header, o Outgoing) {
	h.Del(header.Key)
	h.Set(header.CallToken, o.Token)
	h.Set(header.RequestID, o.Request.RequestID)
	h.Set(header.Account, o.Request.Account)
	h.Set(header.Route, o.Request.Route)
	h.Set(header.Urgency, o.Request.Urgency.String())
	h.Set(header.Deadline, strconv.FormatInt(o.Remaining.Milliseconds(), 10))
	if o.Request.IdempotencyKey != "" {
		h.Set(header.IdempotencyKey, o.Request.IdempotencyKey)
	}
}

// Judge implements Codec.
func (defaultCodec) Judge(r *call.Request, response *http.Response) error {
	if id := response.Header.Get(header.RequestID); id != "" && id != r.RequestID {
		return MismatchError()
	}
	if refusal := response.Header.Get(header.Refused); refusal != "" {
		return verdict.New(verdict.NotRun, verdict.BackendRefused, "the backend server refused: %s", refusal)
	}
	return nil
}

// MismatchError returns the error for a response that belongs to another request.
func MismatchError() error {
	return verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "the backend server answered another request")
}
