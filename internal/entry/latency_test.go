package entry

import (
	"testing"
	"time"
)

// BenchmarkTimes measures recording a latency and reading the hedging delay.
func BenchmarkTimes(b *testing.B) {
	var latencies routeLatencies
	b.ReportAllocs()
	for b.Loop() {
		latencies.observe("lookups", time.Millisecond)
		latencies.delay("lookups")
	}
}
