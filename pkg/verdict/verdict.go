// Package verdict says, for a request that did not end in an ordinary answer,
// whether it may have run.
//
// Every error that reaches a caller carries a [Verdict]. Only a process that
// knows that a request was never written to a backend server, or that a backend
// server refused it by protocol, may say [NotRun].
package verdict

import (
	"errors"
	"fmt"
)

// Verdict says whether a request may have run. The zero value is MayHaveRun,
// so that an error whose verdict was forgotten claims nothing.
type Verdict uint8

const (
	// MayHaveRun means that nothing is known: the exchange broke or timed out
	// after the request could have reached a backend server.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server has run the request, or ever will.
	NotRun
	// Ran means that a backend server has run the request.
	Ran
)

var names = map[Verdict]string{
	MayHaveRun: "may-have-run",
	NotRun:     "not-run",
	Ran:        "ran",
}

// String returns the verdict as it stands in headers and JSON bodies.
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

// UnmarshalText implements encoding.TextUnmarshaler. It refuses unknown names.
func (v *Verdict) UnmarshalText(text []byte) error {
	for value, name := range names {
		if name == string(text) {
			*v = value
			return nil
		}
	}
	return fmt.Errorf("verdict: unknown name %q", text)
}

// Error is an error with a verdict. Its fields are exported because it crosses
// the connection between two nodes.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict `json:"verdict"`
	// Code is a stable kebab-case name of the reason, for programs.
	Code Code `json:"code"`
	// Message is a sentence for people.
	Message string `json:"message"`
	// Exhausted is set when every host that could serve the request refused
	// it, so that no process above retries it.
	Exhausted bool `json:"exhausted,omitempty"`
	// RetryAfterMs is when another attempt is likely to succeed, in milliseconds
	// from now; 0 where that is not known.
	RetryAfterMs int `json:"retry-after-ms,omitempty"`
	// Status is the HTTP status of the earlier run of an AlreadyRan request.
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

// Of returns the verdict of err: that of the Error in its chain, or MayHaveRun
// where there is none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// From returns the Error in the chain of err. An error without one becomes a
// MayHaveRun error with code Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, Internal, "%v", err)
}
