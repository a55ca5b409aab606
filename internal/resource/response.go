package resource

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"curranthold.example/curranthold/internal/audit"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

var httpStatus = map[object.RefusalCode]int{
	object.Invalid:             http.StatusUnprocessableEntity,
	object.Contradiction:       http.StatusUnprocessableEntity,
	object.ForceNeeded:         http.StatusUnprocessableEntity,
	object.OperationReused:     http.StatusUnprocessableEntity,
	object.Conflict:            http.StatusConflict,
	object.NotFound:            http.StatusNotFound,
	object.Unauthorized:        http.StatusUnauthorized,
	object.MethodNotAllowed:    http.StatusMethodNotAllowed,
	object.TooLarge:            http.StatusRequestEntityTooLarge,
	object.Gone:                http.StatusGone,
	object.TooMany:             http.StatusTooManyRequests,
	object.PlatformUnavailable: http.StatusServiceUnavailable,
	object.NotReady:            http.StatusServiceUnavailable,
	object.OutcomeUnknown:      http.StatusGatewayTimeout,
	object.Failed:              http.StatusInternalServerError,
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message) // It fails only if the client has disconnected.
}

func writeRefusal(w http.ResponseWriter, err error) {
	var refusal *object.Refusal
	if !errors.As(err, &refusal) {
		refusal = object.NewRefusal(object.Failed, "", "the node failed to answer")
	}
	status, ok := httpStatus[refusal.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	writeJSON(w, status, refusal)
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, object.NewRefusal(object.NotFound, "see docs/API.md for the paths", "there is no such path"))
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, object.NewRefusal(object.MethodNotAllowed, "see docs/API.md for the methods", "the path does not take the method %s", r.Method))
}

func handlePanic(w http.ResponseWriter, _ *http.Request, _ any) {
	writeRefusal(w, object.NewRefusal(object.Failed, "", "the node failed to answer"))
}

// readBody reads the request's body within limits on its size and the read time.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // Fails only in tests, with httptest.ResponseRecorder.
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, object.NewRefusal(object.TooLarge, "split the operation", "the body is larger than %d bytes", maxBodyBytes)
	}
	if err != nil {
		return nil, object.NewRefusal(object.Invalid, "send it again", "the body did not arrive whole")
	}
	return data, nil
}

// queryNumber returns a numeric query parameter, or fallback if it is absent.
func queryNumber(r *http.Request, name string, fallback uint64) (uint64, *object.Refusal) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalidField(name, "the parameter "+name+" is not a number", "a whole number from 0")
	}
	return value, nil
}

func invalidField(field, message, hint string) *object.Refusal {
	return &object.Refusal{Code: object.Invalid, Field: field, Message: message, Hint: hint}
}

func auditMessage(records []audit.Record, limit int) client.Audit {
	page := client.Audit{Records: []client.Record{}}
	for _, record := range records {
		redacted := record.Redacted()
		message := client.Record{
			Generation: redacted.Generation, OperationID: redacted.OperationID,
			Operator: redacted.Operator, Action: redacted.Action, At: redacted.At,
		}
		for _, edit := range redacted.Edits {
			message.Edits = append(message.Edits, client.Edit{ID: edit.ID, Before: edit.Before, After: edit.After})
		}
		page.Records = append(page.Records, message)
	}
	if len(records) == limit {
		page.Next = records[len(records)-1].Generation
	}
	return page
}
