package history_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/history"
)

func TestMaxInWindow(t *testing.T) {
	at := func(seconds ...float64) (events []time.Time) {
		for _, s := range seconds {
			events = append(events, time.Unix(1000, 0).Add(time.Duration(s*float64(time.Second))))
		}
		return events
	}
	tests := map[string]struct {
		events []time.Time
		want   int
	}{
		"no event":                   {nil, 0},
		"one event":                  {at(0), 1},
		"one window apart":           {at(0, 1), 2},
		"more than one window apart": {at(0, 1.001), 1},
		"most in the middle":         {at(0, 2, 2.1, 2.9, 5), 3},
		"several at the same time":   {at(3, 3, 3), 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, history.MaxInWindow(test.events, time.Second), qt.Equals, test.want)
		})
	}
}
