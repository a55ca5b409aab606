package standin

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Run is the record of a request that a backend server ran.
type Run struct {
	RequestID string    `json:"request-id"`
	Account   string    `json:"client-account"`
	Key       string    `json:"key"`
	Route     string    `json:"route"`
	Backend   string    `json:"backend"`
	At        time.Time `json:"at"`
}

// recorder writes records as JSON lines. It writes each line with a single call, so
// that a process that is killed rarely leaves a partial line.
type recorder struct {
	mu sync.Mutex
	w  io.Writer
}

// record writes one record. It does nothing if w is nil.
func (r *recorder) record(value any) error {
	if r.w == nil {
		return nil
	}
	line, err := json.Marshal(value)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err = r.w.Write(append(line, '\n'))
	return err
}
