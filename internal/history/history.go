// Package history records what callers and backend servers observed during a test,
// and checks the records against the guarantees given to callers.
//
// Records are JSON lines. A backend server writes one [Run] for each execution of a
// request, a caller one [Call] for each call. [Check] needs the records of all
// callers and all backend servers of one test.
package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"curranthold.example/curranthold/pkg/verdict"
)

// maxLineLength limits one line of a history, in bytes, newline included.
const maxLineLength = 1 << 20

// readBufferSize is the size of the read buffer, in bytes.
const readBufferSize = 64 << 10

// Run is one execution of a request at a backend server. It is written when the
// execution begins.
type Run struct {
	// RequestID is the request identifier that the backend server received.
	RequestID string `json:"request-id"`
	// Account is the client account that the backend server received.
	Account string `json:"client-account,omitempty"`
	// Key is the idempotency key or the ticket, empty if there was none.
	Key string `json:"key,omitempty"`
	// Route is the name of the route, the same as in the Call that caused the run.
	Route   string    `json:"route"`
	Backend string    `json:"backend"`
	At      time.Time `json:"at"`
}

// Call is one call as its caller observed it.
type Call struct {
	RequestID string `json:"request-id"`
	// Account is the client account whose client key the caller presented, empty
	// if it presented none.
	Account string `json:"client-account,omitempty"`
	// Key is the idempotency key or the ticket, empty if there was none.
	Key           string `json:"key,omitempty"`
	Route         string `json:"route"`
	Entry         string `json:"entry"`
	NonRepeatable bool   `json:"non-repeatable,omitempty"`
	// Start is the time at which the caller sent the request, End the time at which
	// it had received the whole response or gave up.
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
	Status int       `json:"status,omitempty"`
	// Verdict is the verdict of a refusal, Ran for a backend server's response, and
	// MayHaveRun for a call that ended without a response.
	Verdict verdict.Verdict `json:"verdict"`
	// Code is the code of a refusal, empty for a backend server's response.
	Code string `json:"code,omitempty"`
	// AnswerFor and AnswerAccount are the request identifier and the client account
	// in the body of the response, in which the backend server echoes what it
	// received.
	AnswerFor     string `json:"answer-for,omitempty"`
	AnswerAccount string `json:"answer-account,omitempty"`
}

// Writer writes records as JSON lines. It is safe for concurrent use. Each record is
// written with a single Write, so that a killed process leaves at most one
// incomplete line.
type Writer struct {
	mu sync.Mutex
	w  io.Writer
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{w: w}
}

// Call writes the record of a call.
func (w *Writer) Call(c Call) error {
	return w.write(c)
}

// Run writes the record of a run.
func (w *Writer) Run(r Run) error {
	return w.write(r)
}

func (w *Writer) write(record any) error {
	line, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	line = append(line, '\n')
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.w.Write(line); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// ErrIncompleteLine means that the last line of a history is incomplete, as when its
// writer was killed. The records before that line are returned with the error.
var ErrIncompleteLine = errors.New("history: last line is incomplete")

// ReadCalls reads the records of calls. With an error it also returns the records
// before the line that could not be read.
func ReadCalls(r io.Reader) ([]Call, error) {
	return read[Call](r)
}

// ReadRuns reads the records of runs. With an error it also returns the records
// before the line that could not be read.
func ReadRuns(r io.Reader) ([]Run, error) {
	return read[Run](r)
}

func read[T any](r io.Reader) ([]T, error) {
	lines := bufio.NewReaderSize(r, readBufferSize)
	var records []T
	for number := 1; ; number++ {
		line, err := readLine(lines)
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return records, nil
		}
		if errors.Is(err, io.EOF) {
			return records, ErrIncompleteLine
		}
		if err != nil {
			return records, fmt.Errorf("history: line %d: %w", number, err)
		}
		var record T
		if err := json.Unmarshal(line, &record); err != nil {
			return records, fmt.Errorf("history: line %d: %w", number, err)
		}
		records = append(records, record)
	}
}

// readLine returns the next line with its newline. At the end of the input it
// returns the rest of the input, which may be empty, and io.EOF.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLineLength {
			return nil, fmt.Errorf("longer than %d bytes", maxLineLength)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
