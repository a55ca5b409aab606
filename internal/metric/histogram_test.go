package metric_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/metric"
)

func TestHistogram(t *testing.T) {
	h := metric.NewGroup("histogram-test").Histogram("took-us")
	for i := range 1000 {
		h.Record(time.Duration(i+1) * time.Millisecond)
	}
	h.Record(-time.Second)
	h.Record(time.Hour)
	var got map[string]float64
	qt.Assert(t, json.Unmarshal([]byte(h.String()), &got), qt.IsNil)
	qt.Check(t, got["count"], qt.Equals, 1002.0)
	const tolerance = 0.02
	for name, want := range map[string]float64{"p50": 500e3, "p90": 900e3, "p99": 990e3, "max": 60e6} {
		qt.Check(t, got[name] > want*(1-tolerance) && got[name] < want*(1+tolerance), qt.IsTrue, qt.Commentf("%s is %g", name, got[name]))
	}
}
