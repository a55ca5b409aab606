package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/verdict"
)

func TestOf(t *testing.T) {
	refused := verdict.New(verdict.NotRun, verdict.Overloaded, "queue full")
	tests := map[string]struct {
		err  error
		want verdict.Verdict
	}{
		"verdict error":         {err: refused, want: verdict.NotRun},
		"wrapped verdict error": {err: fmt.Errorf("call: %w", refused), want: verdict.NotRun},
		"other error":           {err: errors.New("connection reset"), want: verdict.MayHaveRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, verdict.Of(test.err), qt.Equals, test.want)
		})
	}
}

func TestTextRoundTrip(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		text, err := v.MarshalText()
		qt.Assert(t, err, qt.IsNil)
		var decoded verdict.Verdict
		qt.Assert(t, decoded.UnmarshalText(text), qt.IsNil)
		qt.Assert(t, decoded, qt.Equals, v)
	}
	var v verdict.Verdict
	qt.Assert(t, v.UnmarshalText([]byte("maybe")), qt.IsNotNil)
}
