package owner

import (
	"net/http"
	"strconv"
	"time"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/httphead"
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

// Echo says which request a response names.
type Echo int

const (
	// EchoNotAsked means that the request had no identifier to name.
	EchoNotAsked Echo = iota
	// EchoMissing means that the response names no request.
	EchoMissing
	// EchoSame means that the response names the request to which it came.
	EchoSame
	// EchoOther means that the response names another request.
	EchoOther
)

// CompareEcho returns the Echo of a response that names the request named, for a
// request that was sent as asked. Empty means none.
func CompareEcho(asked, named string) Echo {
	switch {
	case asked == "":
		return EchoNotAsked
	case named == "":
		return EchoMissing
	case named == asked:
		return EchoSame
	default:
		return EchoOther
	}
}

// Codec writes and reads the HTTP headers that the owner and a backend server
// exchange.
type Codec interface {
	// WriteRequest adds the values of o to the header of a request.
	WriteRequest(h http.Header, o Outgoing)
	// Echo says which request a response names.
	Echo(r *call.Request, response *http.Response) Echo
	// Judge checks the status and header of a response to the request. It returns
	// nil if the response is the request's result. Otherwise it returns an error
	// whose verdict follows from the response.
	Judge(r *call.Request, response *http.Response) error
	// Notice returns what the backend server says of itself in a response.
	Notice(response *http.Response) Notice
}

// Judge returns nil if the response is the result of the request, and otherwise an
// error with a verdict. Echo says which request the response names. With echoes set, the
// backend server has named the request in an earlier response and is expected to do so in
// all, so that a response without the name is a late copy of another request's. A response
// without a final status is none, whatever its header says, and neither is one whose reason
// phrase or a field is not one of HTTP.
func Judge(codec Codec, r *call.Request, response *http.Response, echo Echo, echoes bool) error {
	if !httphead.IsFinal(response.StatusCode) {
		return verdict.New(verdict.MayHaveRun, verdict.StatusInvalid,
			"the backend server sent status %d, which is none of a final response", response.StatusCode)
	}
	if err := invalidHead(httphead.Check(response)); err != nil {
		return err
	}
	if echo == EchoOther || (echo == EchoMissing && echoes) {
		return verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "the backend server answered another request")
	}
	return codec.Judge(r, response)
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

// Echo implements Codec.
func (defaultCodec) Echo(r *call.Request, response *http.Response) Echo {
	return CompareEcho(r.RequestID, response.Header.Get(header.RequestID))
}

// Notice implements Codec.
func (defaultCodec) Notice(response *http.Response) Notice {
	return NewNotice(response.Header.Get(header.RateLimit), response.Header.Get(header.Leaving))
}

// Judge implements Codec.
func (defaultCodec) Judge(_ *call.Request, response *http.Response) error {
	if refusal := response.Header.Get(header.Refused); refusal != "" {
		return verdict.New(verdict.NotRun, verdict.BackendRefused, "the backend server refused: %s", refusal)
	}
	return nil
}
