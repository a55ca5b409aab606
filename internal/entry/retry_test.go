package entry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/entry"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// newEntryWithRefusingService returns an entry that calls two services: the backend
// servers of "peals" refuse every call, those of "bells" serve every call. It also
// returns the number of attempts sent by service, and the number of attempts that
// were marked as repeated.
func newEntryWithRefusingService(t *testing.T, retryShare float64) (*entry.Entry, map[string]int, *int) {
	idle := admission.Load{Limit: 10, Slots: 10, ShedFrom: object.UrgencyCount}
	sent := make(map[string]int)
	repeated := new(int)
	p := &fakePeers{answer: func(_ int64, r *call.Request) (*call.Answer, error) {
		sent[r.Service]++
		if r.Repeated {
			*repeated++
		}
		answer := &call.Answer{Status: http.StatusOK}
		if r.Service == "peals" {
			answer = refusal(verdict.NotRun, verdict.BackendRefused)
		}
		answer.Load, answer.Offered = idle, true
		return answer, nil
	}}
	e := newTokenlessEntry(t, map[string][]string{
		"peals": {"peals-1", "peals-2", "peals-3"},
		"bells": {"bells-1", "bells-2", "bells-3"},
	}, 10, map[string]object.Spec{
		"peals": object.ServiceSpec{},
		"bells": object.ServiceSpec{},
		"read":  object.RouteSpec{PathPrefix: "/peals", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 2},
		"ring":  object.RouteSpec{PathPrefix: "/bells", Service: "bells", Urgency: object.Normal, Open: true, Attempts: 2},
	}, func(c *entry.Config) { c.Peers, c.RetryShare = p, retryShare })
	return e, sent, repeated
}

// TestRetriesByService sends many calls to a service that serves and few to one that
// refuses. The retries at the refusing service must be limited to a share of the
// calls to that service, not of all calls.
func TestRetriesByService(t *testing.T) {
	const (
		share      = 0.1
		burst      = 2
		bellsCalls = 1000
		pealsCalls = 200
		allowed    = share*pealsCalls + burst
	)
	e, sent, _ := newEntryWithRefusingService(t, share)
	e.SetRetryBurst(burst)
	handler := e.CallerHandler()
	for i := range bellsCalls {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/bells", nil))
		if i%(bellsCalls/pealsCalls) == 0 {
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/peals", nil))
		}
	}
	retries := sent["peals"] - pealsCalls
	qt.Check(t, retries <= int(allowed), qt.IsTrue, qt.Commentf("%d retries for %d calls, %.0f allowed", retries, pealsCalls, allowed))
	qt.Check(t, retries >= share*pealsCalls/2, qt.IsTrue, qt.Commentf("%d retries for %d calls", retries, pealsCalls))
}

// TestRepeatIsMarked has backend servers refuse each attempt of a call. The second
// attempt must be marked as repeated: the first one reached a backend server and may
// have caused nested calls, which the second one causes again.
func TestRepeatIsMarked(t *testing.T) {
	e, sent, repeated := newEntryWithRefusingService(t, 1)
	e.CallerHandler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/peals", nil))
	qt.Check(t, sent["peals"], qt.Equals, 2)
	qt.Check(t, *repeated, qt.Equals, 1)
}
