// Package verdict defines the error that callers get for a failed request. The
// error says whether a backend server may have run the request.
//
// Every error that reaches a caller carries a [Verdict]. A process may report
// [NotRun] only if it knows that the request was never written to a backend
// server, or that the backend server itself reported that it did not run it.
package verdict

import (
	"errors"
	"fmt"
)

// Verdict says whether a request may have run. The zero value is MayHaveRun, so
// that an error whose verdict was not set makes no claim.
type Verdict uint8

const (
	// MayHaveRun means that it is not known whether a backend server has run the
	// request: the connection failed or the call timed out after the request could
	// have reached one.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server has run the request or will run it.
	NotRun
	// Ran means that a backend server has run the request.
	Ran
)

var names = map[Verdict]string{
	MayHaveRun: "may-have-run",
	NotRun:     "not-run",
	Ran:        "ran",
}

// String returns the name of the verdict in headers and JSON bodies.
func (v Verdict) String() string {
	name, ok := names[v]
	if !ok {
		return names[MayHaveRun]
	}
	return name
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for
// unknown names.
func (v *Verdict) UnmarshalText(text []byte) error {
	for value, name := range names {
		if name == string(text) {
			*v = value
			return nil
		}
	}
	return fmt.Errorf("verdict: unknown name %q", text)
}

// Error is an error with a verdict. Its fields are exported because nodes send it
// to each other encoded with gob.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict `json:"verdict"`
	// Code identifies the cause, for programs.
	Code Code `json:"code"`
	// Message is a human-readable explanation.
	Message string `json:"message"`
	// Exhausted is set if processes further up the call tree must not retry the
	// request, for example because every host that could serve it refused it.
	Exhausted bool `json:"exhausted,omitempty"`
	// RetryAfterMs is the time in milliseconds after which another attempt is
	// likely to succeed; 0 if that is not known.
	RetryAfterMs int `json:"retry-after-ms,omitempty"`
	// Status is the HTTP status of the earlier run if Code is AlreadyRan.
	Status int `json:"status,omitempty"`
}

// New returns an error with the given verdict, code and formatted message.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Of returns the verdict of the Error in the chain of err, or MayHaveRun if there
// is none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// From returns the Error in the chain of err. If there is none, it returns a
// MayHaveRun error with code Internal and the text of err.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, Internal, "%v", err)
}
