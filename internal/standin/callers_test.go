package standin_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/header"
)

// fakeEntryNode is an entry node that refuses the first request with each
// idempotency key or ticket, and serves all other requests, except for those to
// /no-body and /broken, which always fail. It issues the same three tickets to each
// request for tickets.
type fakeEntryNode struct {
	mu sync.Mutex
	// arrivals counts the requests by key or ticket.
	arrivals map[string]int
}

func (e *fakeEntryNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/tickets" {
		_, _ = w.Write([]byte(`{"tickets":["t1","t2","t3"]}`))
		return
	}
	requestKey := r.Header.Get(header.IdempotencyKey) + r.Header.Get(header.Ticket)
	e.mu.Lock()
	e.arrivals[requestKey]++
	first := e.arrivals[requestKey] == 1
	e.mu.Unlock()
	switch {
	case r.URL.Path == "/no-body":
		w.WriteHeader(http.StatusBadGateway)
	case r.URL.Path == "/broken":
		panic(http.ErrAbortHandler)
	case first && requestKey != "":
		w.Header().Set(header.Verdict, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"verdict":"not-run","code":"overloaded","message":"full"}`))
	default:
		_ = json.NewEncoder(w).Encode(standin.Answer{RequestID: r.Header.Get(header.RequestID), Account: "captains"})
	}
}

func TestCallers(t *testing.T) {
	const key = "ch1.captains.secret"
	refusedOnce := []standin.RefusalCount{{Code: "overloaded", Verdict: "not-run", Count: 3}}
	tests := map[string]struct {
		stream standin.Stream
		want   standin.GroupReport
	}{
		"repeatable": {
			stream: standin.Stream{Account: "captains"},
			want:   standin.GroupReport{Account: "captains", Sent: 3, Attempts: 3, Served: 3},
		},
		"idempotency key, no retry": {
			stream: standin.Stream{Account: "captains", NonRepeatable: "key"},
			want:   standin.GroupReport{Account: "captains", Sent: 3, Attempts: 3, Refused: refusedOnce},
		},
		"ticket with retries": {
			stream: standin.Stream{Account: "captains", NonRepeatable: "ticket", Retries: 5},
			want:   standin.GroupReport{Account: "captains", Sent: 3, Attempts: 6, Served: 3},
		},
		"spread": {
			stream: standin.Stream{Account: "captains", NonRepeatable: "key", Copies: 3},
			want:   standin.GroupReport{Account: "captains", Sent: 9, Attempts: 9, Served: 6, Refused: refusedOnce},
		},
		"broken": {
			stream: standin.Stream{Account: "captains", Path: "/broken", Retries: 1},
			want: standin.GroupReport{
				Account: "captains", Sent: 3, Attempts: 6,
				Refused: []standin.RefusalCount{{Code: "no-answer", Count: 3}},
			},
		},
		"error without a body": {
			stream: standin.Stream{Account: "captains", Path: "/no-body"},
			want: standin.GroupReport{
				Account: "captains", Sent: 3, Attempts: 3,
				Refused: []standin.RefusalCount{{Code: "status-502", Count: 3}},
			},
		},
		"response for another account": {
			stream: standin.Stream{Account: "others", Urgency: "urgent"},
			want: standin.GroupReport{
				Account: "others", Urgency: "urgent", Sent: 3, Attempts: 3, Served: 3, Misdirected: 3,
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(&fakeEntryNode{arrivals: map[string]int{}})
			defer server.Close()
			records := make(recordChannel, 100)
			s := test.stream
			s.Key, s.Method, s.Rate, s.Count, s.DeadlineMs = key, "POST", 1e4, 3, 60_000
			if s.Path == "" {
				s.Path = "/claims"
			}
			callers := standin.NewCallers(standin.CallersConfig{
				Entries: []string{strings.TrimPrefix(server.URL, "http://")},
				Plan:    []standin.Stream{s}, Seed: 1, MaxInFlight: 10, Calls: records,
			})
			report := callers.Run(t.Context())
			qt.Assert(t, report.Groups, qt.HasLen, 1)
			got := report.Groups[0]
			got.P50Ms, got.P99Ms, got.MaxMs = 0, 0, 0
			if test.want.Refused == nil {
				test.want.Refused = []standin.RefusalCount{}
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
			qt.Assert(t, records, qt.HasLen, test.want.Attempts)
			for range test.want.Attempts {
				qt.Assert(t, <-records, qt.Not(qt.Contains), key)
			}
		})
	}
}

func TestReportTable(t *testing.T) {
	report := standin.Report{Groups: []standin.GroupReport{
		{
			Account: "captains", Urgency: "normal", Sent: 10, Attempts: 14, Served: 7, Late: 1, Unsent: 2,
			Refused: []standin.RefusalCount{
				{Code: "no-answer", Count: 1},
				{Code: "overloaded", Verdict: "not-run", Count: 2},
			},
			P50Ms: 1.25, P99Ms: 20, MaxMs: 31.04,
		},
		{Account: "funerals", Urgency: "urgent", Sent: 5, Attempts: 5, Served: 5, P50Ms: 1, P99Ms: 1, MaxMs: 1},
	}}
	var text strings.Builder
	qt.Assert(t, report.WriteTable(&text), qt.IsNil)
	qt.Assert(t, "\n"+text.String(), qt.Equals, `
CLIENT ACCOUNT  URGENCY  SENT  ATTEMPTS  SERVED  LATE  REFUSED  UNSENT  MISDIRECTED  P50 MS  P99 MS  MAX MS
captains        normal   10    14        7       1     3        2       0            1.2     20.0    31.0
funerals        urgent   5     5         5       0     0        0       0            1.0     1.0     1.0

REFUSED   URGENCY  CODE        VERDICT  CALLS
captains  normal   no-answer   -        1
captains  normal   overloaded  not-run  2
`)
}

func TestParsePlan(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"comments":               {text: `[{"account":"a","method":"GET","path":"/x","rate":1,"count":2,}] // done`},
		"unknown field":          {text: `[{"acount":"a"}]`, want: `.*unknown field "acount"`},
		"without bound":          {text: `[{"account":"a","method":"GET","path":"/x","rate":1}]`, want: `.*count or duration-s.*`},
		"without rate":           {text: `[{"account":"a","method":"GET","path":"/x","count":2}]`, want: `.*rate must be positive`},
		"unknown non-repeatable": {text: `[{"account":"a","method":"GET","path":"/x","rate":1,"count":2,"non-repeatable":"no"}]`, want: `.*is none of.*`},
		"spread":                 {text: `[{"account":"a","method":"GET","path":"/x","rate":1,"count":2,"spread":-1}]`, want: `.*spread must not be negative`},
		"no list":                {text: `{`, want: `plan: .*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan, err := standin.ParsePlan([]byte(test.text))
			if test.want != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.want)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, plan, qt.HasLen, 1)
		})
	}
}
