package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/header"
)

// recordChannel is a writer that sends each write, which is one record, on the
// channel.
type recordChannel chan string

func (c recordChannel) Write(p []byte) (int, error) {
	c <- string(p)
	return len(p), nil
}

// startBackend starts a backend server that does not announce itself. It returns
// the backend server, its URL and its records of runs.
func startBackend(t *testing.T, config standin.BackendConfig) (*standin.Backend, string, recordChannel) {
	runs := make(recordChannel, 100)
	config.Runs = runs
	b := standin.NewBackend(config)
	server := httptest.NewServer(b.Handler())
	t.Cleanup(func() {
		server.Close()
		qt.Check(t, b.Close(), qt.IsNil)
	})
	return b, server.URL, runs
}

func TestBackendRefusesAboveSlots(t *testing.T) {
	b, url, runs := startBackend(t, standin.BackendConfig{Service: "rota", Slots: 1, ServiceTime: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", url+"/claims", nil)
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set(header.RequestID, "r1")
	req.Header.Set(header.IdempotencyKey, "k1")
	var group conc.WaitGroup
	group.Go(func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	})
	var run standin.Run
	qt.Assert(t, json.Unmarshal([]byte(<-runs), &run), qt.IsNil)
	run.At = time.Time{}
	qt.Assert(t, run, qt.Equals, standin.Run{RequestID: "r1", Key: "k1", Route: "POST /claims"})

	resp, err := http.Post(url+"/claims", "", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Body.Close(), qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, resp.Header.Get(header.Refused), qt.Equals, "overloaded")
	cancel() // the backend server abandons the request of a client that disconnected
	group.Wait()
	http.DefaultClient.CloseIdleConnections()
	for b.Stats().Abandoned == 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, b.Stats(), qt.Equals, standin.BackendStats{Runs: 1, Refused: 1, Abandoned: 1, MaxConcurrent: 1})
}

// serve has the backend server handle a request with the given deadline header, none if
// empty. It returns the status of the response, 0 if the connection is reset.
func serve(b *standin.Backend, deadlineMs string) (status int) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			panic(cause)
		}
		status = 0
	}()
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	if deadlineMs != "" {
		req.Header.Set(header.Deadline, deadlineMs)
	}
	recorder := httptest.NewRecorder()
	b.Handler().ServeHTTP(recorder, req)
	return recorder.Code
}

func TestBackendCrashesInColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const downtime = 50 * time.Millisecond
		b := standin.NewBackend(standin.BackendConfig{
			Slots: 10, ServiceTime: time.Hour, ColdSlots: 1, ColdRequests: 100, CrashOverruns: 3, Downtime: downtime,
		})
		started := time.Now()
		var first int
		var group conc.WaitGroup
		group.Go(func() { first = serve(b, "30") })
		synctest.Wait()
		var statuses []int
		for range 3 {
			statuses = append(statuses, serve(b, ""))
		}
		group.Wait()
		qt.Assert(t, statuses, qt.DeepEquals, []int{503, 503, 0}) // the third overrun causes the crash
		qt.Assert(t, time.Since(started), qt.Equals, downtime)
		qt.Assert(t, first, qt.Equals, 0) // the crash loses the request that runs
		stats := b.Stats()
		qt.Assert(t, stats.Runs, qt.Equals, int64(1))
		qt.Assert(t, stats.Crashes, qt.Equals, int64(1))
		qt.Assert(t, stats.ColdOverruns, qt.Equals, 3)
		qt.Assert(t, stats.Cold, qt.IsTrue)
	})
}

func TestBackendCountsKeyLeaks(t *testing.T) {
	b, url, runs := startBackend(t, standin.BackendConfig{Slots: 1})
	tests := map[string]struct{ path, body, header string }{
		"header": {header: "ch1.captain.secret"},
		"body":   {body: `{"note":"ch1.captain.secret"}`},
		"query":  {path: "/?key=ch1.captain.secret"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status, _ := exchange(t, "POST", url+test.path, test.body, "Authorization", test.header)
			qt.Assert(t, status, qt.Equals, http.StatusInternalServerError)
		})
	}
	qt.Assert(t, b.Stats().KeyLeaks, qt.Equals, int64(len(tests)))
	qt.Assert(t, runs, qt.HasLen, 0)
}

func TestBackendFaults(t *testing.T) {
	tests := map[string]struct {
		faults  standin.BackendFaults
		headers []string
		status  int
		// runs is the expected number of runs, or -1 if it is random.
		runs int
	}{
		"none":                             {status: 200, runs: 1},
		"refuse":                           {faults: standin.BackendFaults{Refuse: 1}, status: 503},
		"truncate":                         {faults: standin.BackendFaults{Truncate: 1}, status: 0, runs: 1},
		"reset":                            {faults: standin.BackendFaults{ResetConnections: 1}, status: 0, runs: -1},
		"deadline":                         {faults: standin.BackendFaults{ServiceTimeMs: 1e6}, headers: []string{header.Deadline, "5"}, status: 504, runs: 1},
		"deadline passed":                  {headers: []string{header.Deadline, "0"}, status: 503},
		"bad deadline":                     {headers: []string{header.Deadline, "soon"}, status: 503},
		"crossed without a second request": {faults: standin.BackendFaults{SwapResponses: true}, status: 200, runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, url, _ := startBackend(t, standin.BackendConfig{Slots: 1})
			b.SetFaults(test.faults)
			status, _ := exchange(t, "GET", url+"/peals", "", test.headers...)
			qt.Assert(t, status, qt.Equals, test.status)
			if test.runs >= 0 {
				qt.Assert(t, b.Stats().Runs, qt.Equals, int64(test.runs))
			}
		})
	}
}

func TestBackendSwapsResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := standin.NewBackend(standin.BackendConfig{Slots: 2})
		b.SetFaults(standin.BackendFaults{SwapResponses: true, ServiceTimeMs: 20})
		recorders := [2]*httptest.ResponseRecorder{httptest.NewRecorder(), httptest.NewRecorder()}
		var group conc.WaitGroup
		for i, recorder := range recorders {
			req := httptest.NewRequest("GET", "/", nil)
			req.Header.Set(header.RequestID, fmt.Sprint(i))
			group.Go(func() { b.Handler().ServeHTTP(recorder, req) })
		}
		group.Wait()
		for i, other := range []string{"1", "0"} {
			qt.Assert(t, recorders[i].Header().Get(header.RequestID), qt.Equals, other)
			qt.Assert(t, recorders[i].Body.String(), qt.Contains, `"request-id":"`+other+`"`)
		}
	})
}

func TestBackendAnnouncesAndMakesNestedCalls(t *testing.T) {
	_, deep, _ := startBackend(t, standin.BackendConfig{Service: "archive", Slots: 1})
	announced := make(chan standin.Announcement, 100)
	withdrawn := make(chan string, 1)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != "/v1/announce":
			status, body := exchange(t, r.Method, deep+r.URL.Path, "", header.RequestID, r.Header.Get(header.CallToken)+"-nested")
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		case r.Method == http.MethodPost:
			var a standin.Announcement
			qt.Check(t, json.NewDecoder(r.Body).Decode(&a), qt.IsNil)
			announced <- a
		default:
			withdrawn <- r.Method + " " + r.URL.RawQuery
		}
	}))
	defer node.Close()
	listener, err := standin.Listen(t.Context(), "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	b := standin.NewBackend(standin.BackendConfig{
		Service: "dispatch", Address: listener.Addr().String(), Node: strings.TrimPrefix(node.URL, "http://"),
		Slots: 2, Connections: 9, ColdSlots: 1, ColdRequests: 5,
		Calls: []standin.NestedCall{{Method: "GET", Path: "/sites"}},
	})
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { qt.Check(t, b.Serve(ctx, listener), qt.IsNil) })
	a := <-announced
	a.Incarnation = ""
	qt.Assert(t, a, qt.Equals, standin.Announcement{
		Service: "dispatch", Address: listener.Addr().String(), Slots: 2, Connections: 9, Cold: true,
	})
	_, body := exchange(t, "POST", "http://"+listener.Addr().String()+"/jobs", "", header.CallToken, "token")
	var response standin.Answer
	qt.Assert(t, json.Unmarshal([]byte(body), &response), qt.IsNil)
	qt.Assert(t, response.Nested, qt.HasLen, 1)
	qt.Assert(t, response.Nested[0].RequestID, qt.Equals, "token-nested")
	qt.Assert(t, response.Nested[0].Digest, qt.HasLen, 16)
	b.SetFaults(standin.BackendFaults{Cold: true}) // starts a cold start that is not announced
	cold := true
	for n := 0; cold && n < 3; n++ { // announcements sent before the change may still arrive
		cold = (<-announced).Cold
	}
	qt.Assert(t, cold, qt.IsFalse)
	qt.Assert(t, b.Stats().Cold, qt.IsTrue)
	stop()
	qt.Assert(t, <-withdrawn, qt.Equals, "DELETE service=dispatch")
	group.Wait()
	qt.Assert(t, b.Close(), qt.IsNil)
	_, err = net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNotNil)
}
