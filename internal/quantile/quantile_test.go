package quantile_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/quantile"
)

// TestConvergence checks the mean of the estimates, after a warm-up, for durations
// distributed evenly between 0 and 1 second.
func TestConvergence(t *testing.T) {
	tests := map[string]struct {
		rise, fall  float64
		least, most time.Duration
	}{
		"median":          {0.05, 0.05, 400 * time.Millisecond, 600 * time.Millisecond},
		"95th percentile": {0.095, 0.005, 850 * time.Millisecond, time.Second},
		"5th percentile":  {0.005, 0.095, 10 * time.Millisecond, 150 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 5))
			var e quantile.Estimate
			var sum time.Duration
			const warmUp, counted = 1000, 4000
			for i := range warmUp + counted {
				e.Observe(time.Duration(random.Float64()*float64(time.Second)), test.rise, test.fall)
				if i >= warmUp {
					sum += e.Value()
				}
			}
			mean := sum / counted
			qt.Check(t, mean >= test.least && mean <= test.most, qt.IsTrue, qt.Commentf("mean estimate %s", mean))
		})
	}
}

func ExampleEstimate() {
	var e quantile.Estimate
	e.Observe(10*time.Millisecond, 0.5, 0.1)
	e.Observe(40*time.Millisecond, 0.5, 0.1)
	fmt.Println(e.Value())
	// Output: 15ms
}
