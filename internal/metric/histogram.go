package metric

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowest and highest bound the times that a histogram tells apart, in
	// microseconds; what is longer counts as highest.
	lowest  = 1
	highest = 60_000_000
	// digits is the number of significant decimal digits.
	digits = 2
)

// Histogram is a distribution of times since the start of the process. Its methods
// may be called concurrently.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// summary is a histogram as it is served. Times are in microseconds.
type summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P90   int64   `json:"p90"`
	P99   int64   `json:"p99"`
	P999  int64   `json:"p999"`
	Max   int64   `json:"max"`
}

// Histogram publishes a histogram. It is called once for each name.
func (g Group) Histogram(name string) *Histogram {
	h := &Histogram{values: hdrhistogram.New(lowest, highest, digits)}
	g.values.Set(name, h)
	return h
}

// Record counts one time.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(max(d.Microseconds(), lowest), highest)) // In range.
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	encoded, _ := json.Marshal(summary{ // Numbers always encode.
		Count: h.values.TotalCount(),
		Mean:  h.values.Mean(),
		P50:   h.values.ValueAtQuantile(50),
		P90:   h.values.ValueAtQuantile(90),
		P99:   h.values.ValueAtQuantile(99),
		P999:  h.values.ValueAtQuantile(99.9),
		Max:   h.values.Max(),
	})
	return string(encoded)
}
