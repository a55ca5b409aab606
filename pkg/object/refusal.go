package object

import (
	"fmt"
	"strings"
)

// RefusalCode identifies why an operation was not accepted. Codes are stable:
// programs may rely on them. docs/API.md says how to respond to each.
type RefusalCode string

// The codes of operations that are not accepted.
const (
	Invalid             RefusalCode = "invalid"
	Contradiction       RefusalCode = "contradiction"
	Conflict            RefusalCode = "conflict"
	NotFound            RefusalCode = "not-found"
	ForceNeeded         RefusalCode = "force-needed"
	Unauthorized        RefusalCode = "unauthorized"
	MethodNotAllowed    RefusalCode = "method-not-allowed"
	TooLarge            RefusalCode = "too-large"
	Gone                RefusalCode = "gone"
	TooMany             RefusalCode = "too-many"
	OperationReused     RefusalCode = "operation-id-reused"
	PlatformUnavailable RefusalCode = "platform-unavailable"
	OutcomeUnknown      RefusalCode = "outcome-unknown"
	NotReady            RefusalCode = "not-ready"
	Failed              RefusalCode = "failed"
)

// Refusal is an error response of the resource API. The operation changed
// nothing, unless the code is OutcomeUnknown: then it may have been accepted, or
// may still be. Sending it again with the same operation identifier shows which.
type Refusal struct {
	Code RefusalCode `json:"code"`
	// Field is the path of the invalid field. It is empty if the error concerns
	// no single field.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	// Hint says how to correct the request or what to do next.
	Hint string `json:"hint,omitempty"`
	// Mistakes lists all errors in the objects of the operation.
	// Field, Message and Hint describe the first one.
	Mistakes []ItemError `json:"mistakes,omitempty"`
}

// ItemError is an error in one object of an operation.
type ItemError struct {
	ID
	FieldError
}

// Error implements error.
func (e ItemError) Error() string { return e.String() + ": " + e.FieldError.Error() }

// ItemErrors lists the errors in the objects of an operation.
type ItemErrors []ItemError

// NewItemErrors converts the field errors of one object to ItemErrors.
func NewItemErrors(id ID, errs FieldErrors) ItemErrors {
	itemErrs := make(ItemErrors, len(errs))
	for i, err := range errs {
		itemErrs[i] = ItemError{ID: id, FieldError: err}
	}
	return itemErrs
}

// Refusal returns a refusal that lists the errors, or nil if there are none.
func (e ItemErrors) Refusal(code RefusalCode) *Refusal {
	if len(e) == 0 {
		return nil
	}
	first := e[0]
	return &Refusal{Code: code, Field: first.Field, Message: first.String() + ": " + first.Message, Hint: first.Hint, Mistakes: e}
}

// NewRefusal returns a refusal that concerns no single field.
func NewRefusal(code RefusalCode, hint, format string, args ...any) *Refusal {
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
