package history_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/history"
	"curranthold.example/curranthold/pkg/verdict"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func call(id, key string, v verdict.Verdict, code verdict.Code) history.Call {
	c := history.Call{
		RequestID: id, Account: "a", Key: key, Route: "r", NonRepeatable: true,
		Start: at(10), End: at(20), Verdict: v, Code: string(code),
	}
	if v == verdict.Ran && code == "" {
		c.Status, c.AnswerFor, c.AnswerAccount = 200, id, "a"
	}
	return c
}

func run(id, key string, ms int) history.Run {
	return history.Run{RequestID: id, Account: "a", Key: key, Route: "r", Backend: "b", At: at(ms)}
}

func TestCheck(t *testing.T) {
	misdirected := call("1", "", verdict.Ran, "")
	misdirected.AnswerFor = "2"
	otherAccount := call("1", "", verdict.Ran, "")
	otherAccount.AnswerAccount = "b"
	unidentified := call("1", "", verdict.Ran, "")
	unidentified.AnswerFor = ""
	otherKey := call("1", "", verdict.MayHaveRun, "")
	otherKey.Account = "b"
	repeatable := call("1", "", verdict.Ran, "")
	repeatable.NonRepeatable = false
	otherRoute := run("2", "k", 12)
	otherRoute.Route, otherRoute.Account = "s", ""

	tests := map[string]struct {
		calls []history.Call
		runs  []history.Run
		want  []history.Kind
	}{
		"no violation": {
			calls: []history.Call{call("1", "k", verdict.Ran, ""), call("2", "k", verdict.Ran, verdict.AlreadyRan)},
			runs:  []history.Run{run("1", "k", 15)},
		},
		"key ran twice": {
			calls: []history.Call{call("1", "k", verdict.Ran, ""), call("2", "k", verdict.Ran, "")},
			runs:  []history.Run{run("1", "k", 12), run("2", "k", 14)},
			want:  []history.Kind{history.KeyRanTwice},
		},
		"key on another route": {
			calls: []history.Call{call("1", "k", verdict.Ran, "")},
			runs:  []history.Run{run("1", "k", 12), otherRoute},
		},
		"request ran twice": {
			calls: []history.Call{call("1", "", verdict.Ran, "")},
			runs:  []history.Run{run("1", "", 12), run("1", "", 14)},
			want:  []history.Kind{history.RequestRanTwice},
		},
		"repeatable ran twice": {
			calls: []history.Call{repeatable},
			runs:  []history.Run{run("1", "", 12), run("1", "", 14)},
		},
		"not-run but ran later": {
			calls: []history.Call{call("1", "k", verdict.NotRun, verdict.Overloaded)},
			runs:  []history.Run{run("1", "k", 50)},
			want:  []history.Kind{history.NotRunButRan},
		},
		"not-run after key ran": {
			calls: []history.Call{call("0", "k", verdict.MayHaveRun, ""), call("1", "k", verdict.NotRun, verdict.QuotaExceeded)},
			runs:  []history.Run{run("0", "k", 5)},
			want:  []history.Kind{history.NotRunAfterKeyRan},
		},
		"not-run before key ran": {
			calls: []history.Call{call("0", "k", verdict.MayHaveRun, ""), call("1", "k", verdict.NotRun, verdict.Overloaded)},
			runs:  []history.Run{run("0", "k", 30)},
		},
		"answer of another request": {
			calls: []history.Call{misdirected}, runs: []history.Run{run("1", "", 12)},
			want: []history.Kind{history.MisdirectedAnswer},
		},
		"answer of another account": {
			calls: []history.Call{otherAccount}, runs: []history.Run{run("1", "", 12)},
			want: []history.Kind{history.MisdirectedAnswer},
		},
		"answer without request identifier": {
			calls: []history.Call{unidentified}, runs: []history.Run{run("1", "", 12)},
			want: []history.Kind{history.AnswerUnidentified},
		},
		"run for another account": {
			calls: []history.Call{otherKey}, runs: []history.Run{run("1", "", 12)},
			want: []history.Kind{history.WrongAccount},
		},
		"run without call": {
			runs: []history.Run{run("1", "", 12)},
			want: []history.Kind{history.RunWithoutCall},
		},
		"ran without run": {
			calls: []history.Call{call("1", "k", verdict.Ran, verdict.AlreadyRan)},
			want:  []history.Kind{history.RanWithoutRun},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []history.Kind
			for _, v := range history.Check(test.calls, test.runs) {
				got = append(got, v.Kind)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

func TestRoundTrip(t *testing.T) {
	var buf bytes.Buffer
	w := history.NewWriter(&buf)
	want := call("1", "k", verdict.NotRun, verdict.Overloaded)
	qt.Assert(t, w.Call(want), qt.IsNil)
	got, err := history.ReadCalls(bytes.NewReader(buf.Bytes()))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, []history.Call{want})

	truncated := append(bytes.Clone(buf.Bytes()), `{"request-id":`...)
	got, err = history.ReadCalls(bytes.NewReader(truncated))
	qt.Assert(t, err, qt.ErrorIs, history.ErrIncompleteLine)
	qt.Assert(t, got, qt.HasLen, 1)

	_, err = history.ReadRuns(strings.NewReader("{}\nnonsense\n"))
	qt.Assert(t, err, qt.ErrorMatches, "history: line 2: .*")
}

func ExampleCheck() {
	runs := []history.Run{run("1", "k", 12), run("2", "k", 14)}
	calls := []history.Call{call("1", "k", verdict.Ran, ""), call("2", "k", verdict.Ran, "")}
	for _, v := range history.Check(calls, runs) {
		fmt.Println(v.Kind, v.Key)
	}
	// Output: key-ran-twice k
}
