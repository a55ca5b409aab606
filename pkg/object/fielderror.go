package object

import (
	"encoding/json"
	"errors"
	"strings"
)

// FieldError is an error in one field of an object.
type FieldError struct {
	// Field is the path of the field, such as spec.rate. It is empty if the
	// error concerns the object as a whole.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	// Hint describes the values that are accepted.
	Hint string `json:"hint,omitempty"`
}

// Error implements error.
func (e FieldError) Error() string {
	text := e.Message
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	if e.Hint != "" {
		text += " (" + e.Hint + ")"
	}
	return text
}

// FieldErrors lists all errors that were found in an object.
type FieldErrors []FieldError

// Error implements error.
func (e FieldErrors) Error() string {
	texts := make([]string, len(e))
	for i, fieldError := range e {
		texts[i] = fieldError.Error()
	}
	return strings.Join(texts, "; ")
}

// Err returns e as an error, or nil if e is empty.
func (e FieldErrors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// withParent returns a copy of e with parent put before each field path.
func (e FieldErrors) withParent(parent string) FieldErrors {
	prefixed := make(FieldErrors, len(e))
	for i, fieldError := range e {
		fieldError.Field = joinPath(parent, fieldError.Field)
		prefixed[i] = fieldError
	}
	return prefixed
}

func joinPath(parent, field string) string {
	if parent == "" || field == "" {
		return parent + field
	}
	return parent + "." + field
}

// unknownFieldPrefix identifies the error for an unknown field, for which
// encoding/json has no type.
const unknownFieldPrefix = "json: unknown field "

// fieldErrors converts an error of the JSON decoder to FieldErrors whose paths
// begin with parent.
func fieldErrors(parent string, err error) FieldErrors {
	var converted FieldErrors
	if errors.As(err, &converted) {
		return converted.withParent(parent)
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return FieldErrors{{
			Field:   joinPath(parent, typeError.Field),
			Message: "a JSON " + typeError.Value + " cannot stand here",
			Hint:    "expected " + jsonType(typeError),
		}}
	}
	if quoted, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		return FieldErrors{{
			Field:   joinPath(parent, strings.Trim(quoted, `"`)),
			Message: "there is no such field",
			Hint:    "see docs/API.md for the fields",
		}}
	}
	return FieldErrors{{Field: parent, Message: strings.TrimPrefix(err.Error(), "json: ")}}
}

// jsonType describes the JSON value that would have been accepted.
func jsonType(e *json.UnmarshalTypeError) string {
	switch e.Type.Kind().String() {
	case "bool":
		return "true or false"
	case "string":
		return "a string"
	case "struct", "map":
		return "an object"
	case "slice":
		return "a list"
	default:
		return "a number (" + e.Type.String() + ")"
	}
}

func unknownKind(kind Kind) FieldError {
	names := make([]string, 0, len(specDecoders))
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return FieldError{
		Field:   "kind",
		Message: "there is no kind " + quote(string(kind)),
		Hint:    "one of " + strings.Join(names, ", "),
	}
}
