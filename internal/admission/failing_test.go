package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFailureRate checks which outcomes count as failures of the backend
// server.
func TestFailureRate(t *testing.T) {
	tests := map[string]struct {
		samples []sample
		// least and most bound the rate after 40 requests that cycle through
		// the samples.
		least, most float64
	}{
		"all served":                   {[]sample{{outcome: Succeeded}}, 0, 0},
		"half refused":                 {[]sample{{outcome: Succeeded}, {outcome: Refused}}, 0.35, 0.5},
		"half failed":                  {[]sample{{outcome: Succeeded}, {outcome: Failed}}, 0.35, 0.5},
		"half failed in a nested call": {[]sample{{outcome: Succeeded}, {outcome: FailedNested}}, 0, 0},
		"half broken":                  {[]sample{{outcome: Succeeded}, {outcome: Broken}}, 0.35, 0.5},
		"half expired":                 {[]sample{{outcome: Succeeded}, {outcome: Broken, expired: true}}, 0, 0},
		"half broken in a nested call": {[]sample{{outcome: Succeeded}, {outcome: Broken, nested: true}}, 0, 0},
		"half abandoned":               {[]sample{{outcome: Succeeded}, {outcome: Abandoned}}, 0, 0},
		"all refused":                  {[]sample{{outcome: Refused}}, 0.8, 1},
		"all ignored":                  {[]sample{{outcome: Abandoned}}, 0, 0},
		"one in ten refused":           {append(make([]sample, 9), sample{outcome: Refused}), 0.06, 0.1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var f failureRate
			now := time.Unix(1000, 0)
			for i := range 40 {
				now = now.Add(10 * time.Millisecond)
				f.observe(test.samples[i%len(test.samples)], now)
			}
			value := f.value(now)
			qt.Check(t, value >= test.least && value <= test.most, qt.IsTrue, qt.Commentf("%.2f", value))
			qt.Check(t, f.value(now.Add(10*failureTimeConstant)) < 0.01, qt.IsTrue)
		})
	}
}

// TestOneFailure checks that a single failure yields a low rate.
func TestOneFailure(t *testing.T) {
	var f failureRate
	now := time.Unix(1000, 0)
	f.observe(sample{outcome: Failed}, now)
	qt.Assert(t, f.value(now) <= 0.2, qt.IsTrue)
}

// BenchmarkFailing observes an outcome and reads the rate.
func BenchmarkFailing(b *testing.B) {
	var f failureRate
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		f.observe(sample{outcome: Succeeded}, now)
		_ = f.value(now)
	}
}
