package metric

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minMicroseconds and maxMicroseconds bound the recorded times; times outside
	// are recorded as the nearer bound.
	minMicroseconds = 1
	maxMicroseconds = 60_000_000
	// significantDigits is the precision of a histogram in decimal digits.
	significantDigits = 2
)

// Histogram is the distribution of the times recorded since the process started.
// Its methods may be called concurrently.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// summary is the published form of a histogram. Times are in microseconds.
type summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P90   int64   `json:"p90"`
	P99   int64   `json:"p99"`
	P999  int64   `json:"p999"`
	Max   int64   `json:"max"`
}

// Histogram publishes and returns a new histogram. Each name may be used only once.
func (g Group) Histogram(name string) *Histogram {
	h := &Histogram{values: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)}
	g.values.Set(name, h)
	return h
}

// Record records one time.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)) // Fails only out of range.
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	encoded, _ := json.Marshal(summary{ // A struct of finite numbers always encodes.
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
