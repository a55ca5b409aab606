package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// NonRepeatable is the way in which a caller marks requests that must not run
// more than once.
type NonRepeatable string

// The ways to mark requests. The empty value means NonRepeatableNone: the requests
// may run more than once.
const (
	NonRepeatableNone   NonRepeatable = "none"
	NonRepeatableKey    NonRepeatable = "key"
	NonRepeatableTicket NonRepeatable = "ticket"
	// NonRepeatableUnkeyed is for requests that must not run more than once, but
	// have neither an idempotency key nor a ticket.
	NonRepeatableUnkeyed NonRepeatable = "unnamed"
)

// Stream is a series of calls in a plan. Calls start at random times, whether or
// not earlier ones have ended. The stream ends after Count calls or DurationS
// seconds, whichever comes first; 0 means no bound, and at least one of them must
// be set.
type Stream struct {
	Account string `json:"account"`
	// Key is the client account's API key. It is empty for a route that needs no
	// key.
	Key    string `json:"key,omitempty"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
	// Rate is the mean number of calls per second.
	Rate float64 `json:"rate"`
	// Urgency is a label in the report; it is not sent.
	Urgency       string        `json:"urgency,omitempty"`
	NonRepeatable NonRepeatable `json:"non-repeatable,omitempty"`
	// DeadlineMs is the time limit of a call with all its attempts, in
	// milliseconds; 0 means that the call has no deadline.
	DeadlineMs int `json:"deadline-ms,omitempty"`
	// Retries is the largest number of retries of a call. It is retried on any
	// error, without a delay.
	Retries int `json:"retries,omitempty"`
	// Copies is the number of copies of each call that are sent concurrently,
	// all with the same idempotency key or ticket, and each to a different entry
	// node if there are enough. 0 means 1.
	Copies    int     `json:"spread,omitempty"`
	Count     int     `json:"count,omitempty"`
	DurationS float64 `json:"duration-s,omitempty"`
}

// ParsePlan parses a plan: a list of streams, in JSON with comments and trailing
// commas.
func ParsePlan(text []byte) ([]Stream, error) {
	// The parser requires a line break after a comment, which the end of the file
	// may lack.
	standard, err := hujson.Standardize(append(bytes.Clone(text), '\n'))
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var plan []Stream
	if err := decoder.Decode(&plan); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	for i, stream := range plan {
		if err := stream.check(); err != nil {
			return nil, fmt.Errorf("plan: stream %d: %w", i, err)
		}
	}
	return plan, nil
}

func (s Stream) check() error {
	switch {
	case s.Account == "":
		return fmt.Errorf("account is missing")
	case s.Method == "" || !strings.HasPrefix(s.Path, "/"):
		return fmt.Errorf("method or path is missing")
	case s.Rate <= 0:
		return fmt.Errorf("rate must be positive")
	case s.Count <= 0 && s.DurationS <= 0:
		return fmt.Errorf("count or duration-s must be positive")
	case s.Copies < 0:
		return fmt.Errorf("spread must not be negative")
	}
	switch s.NonRepeatable {
	case "", NonRepeatableNone, NonRepeatableKey, NonRepeatableTicket, NonRepeatableUnkeyed:
		return nil
	default:
		return fmt.Errorf("non-repeatable %q is none of none, key, ticket, unnamed", s.NonRepeatable)
	}
}

// repeatable reports whether the stream's requests may run more than once.
func (s Stream) repeatable() bool {
	return s.NonRepeatable == "" || s.NonRepeatable == NonRepeatableNone
}

// deadline returns the time limit of a call, or 0 if it has none.
func (s Stream) deadline() time.Duration {
	return time.Duration(s.DeadlineMs) * time.Millisecond
}

// hasTimeLeft reports whether a call that was scheduled at the given time has at
// least a millisecond left before its deadline, and so may be retried.
func (s Stream) hasTimeLeft(scheduled time.Time) bool {
	return s.DeadlineMs <= 0 || time.Until(scheduled.Add(s.deadline())) >= time.Millisecond
}

// includesCall reports whether the stream includes call n, counted from 0, at
// elapsed time after its start.
func (s Stream) includesCall(n int, elapsed time.Duration) bool {
	if s.Count > 0 && n >= s.Count {
		return false
	}
	return s.DurationS <= 0 || elapsed.Seconds() < s.DurationS
}
