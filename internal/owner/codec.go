package owner

import (
	"net/http"
	"strconv"
	"time"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/verdict"
)

// Outgoing is what a backend server is told with a request.
type Outgoing struct {
	Request *call.Request
	// Remaining is the time that is left for the request.
	Remaining time.Duration
	// Token is what nested calls present.
	Token string
	// Incarnation is that of the backend server as it announced itself.
	Incarnation string
}

// Codec translates between the owner's terms and the HTTP headers that a backend
// server understands.
type Codec interface {
	// WriteRequest adds to the header of a request.
	WriteRequest(h http.Header, o Outgoing)
	// Judge returns nil where the head of the response is the backend server's
	// answer to the request, and else an error with the verdict that it proves.
	Judge(r *call.Request, response *http.Response) error
}

// ownCodec is the project's own interface.
type ownCodec struct{}

// WriteRequest implements Codec.
func (ownCodec) WriteRequest(h http.Header, o Outgoing) {
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
func (ownCodec) Judge(r *call.Request, response *http.Response) error {
	if id := response.Header.Get(header.RequestID); id != "" && id != r.RequestID {
		return Mismatch()
	}
	if refusal := response.Header.Get(header.Refused); refusal != "" {
		return verdict.New(verdict.NotRun, verdict.BackendRefused, "the backend server refused: %s", refusal)
	}
	return nil
}

// Mismatch returns the error of a response that belongs to another request.
func Mismatch() error {
	return verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "the backend server answered another request")
}
