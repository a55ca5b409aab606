package object

import (
	"fmt"
	"strings"
)

// Reason identifies why an operation was not accepted. Reasons are stable:
// programs may rely on them. docs/API.md says how to respond to each.
type Reason string

// The reasons for which operations are not accepted.
const (
	Invalid             Reason = "invalid"
	Contradiction       Reason = "contradiction"
	Conflict            Reason = "conflict"
	NotFound            Reason = "not-found"
	ForceNeeded         Reason = "force-needed"
	Unauthorized        Reason = "unauthorized"
	MethodNotAllowed    Reason = "method-not-allowed"
	TooLarge            Reason = "too-large"
	Gone                Reason = "gone"
	TooMany             Reason = "too-many"
	OperationReused     Reason = "operation-id-reused"
	PlatformUnavailable Reason = "platform-unavailable"
	OutcomeUnknown      Reason = "outcome-unknown"
	NotReady            Reason = "not-ready"
	Failed              Reason = "failed"
)

// Refusal is an error response of the resource API. The operation changed
// nothing, unless the reason is OutcomeUnknown: then it may have been accepted, or
// may still be. Sending it again with the same operation identifier shows which.
type Refusal struct {
	Code Reason `json:"code"`
	// Field is the path of the invalid field. It is empty if the error concerns
	// no single field.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	// Hint says how to correct the request or what to do next.
	Hint string `json:"hint,omitempty"`
	// Mistakes lists all errors that were found in the objects of the operation.
	// Field, Message and Hint describe the first one.
	Mistakes []Mistake `json:"mistakes,omitempty"`
}

// Mistake is an error in one object of an operation.
type Mistake struct {
	ID
	FieldError
}

// Error implements error.
func (m Mistake) Error() string { return m.String() + ": " + m.FieldError.Error() }

// Mistakes lists the errors in the objects of an operation.
type Mistakes []Mistake

// MistakesOf converts the field errors of one object to Mistakes.
func MistakesOf(id ID, errs FieldErrors) Mistakes {
	mistakes := make(Mistakes, len(errs))
	for i, err := range errs {
		mistakes[i] = Mistake{ID: id, FieldError: err}
	}
	return mistakes
}

// Refusal returns a refusal that lists the mistakes, or nil if there are none.
func (m Mistakes) Refusal(code Reason) *Refusal {
	if len(m) == 0 {
		return nil
	}
	first := m[0]
	return &Refusal{Code: code, Field: first.Field, Message: first.String() + ": " + first.Message, Hint: first.Hint, Mistakes: m}
}

// Refuse returns a refusal that concerns no single field.
func Refuse(code Reason, hint, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Hint: hint}
}

// Error implements error.
func (r *Refusal) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s", r.Code, r.Message)
	if r.Field != "" {
		fmt.Fprintf(&text, " [%s]", r.Field)
	}
	if r.Hint != "" {
		fmt.Fprintf(&text, " (%s)", r.Hint)
	}
	return text.String()
}
