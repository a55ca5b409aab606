package entry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
)

// TestTicketPathIsRouted guards against calls whose path is that of tickets and which get no route, though their method is not that of tickets.
func TestTicketPathIsRouted(t *testing.T) {
	tests := map[string]struct {
		method, path string
		routed       bool
	}{
		"tickets":       {http.MethodPost, "/v1/tickets", false},
		"another path":  {http.MethodPost, "/v1/tickets/1", true},
		"GET":           {http.MethodGet, "/v1/tickets", true},
		"DELETE":        {http.MethodDelete, "/v1/tickets", true},
		"PUT, a query":  {http.MethodPut, "/v1/tickets?count=0", true},
		"POST, a query": {http.MethodPost, "/v1/tickets?count=0", false},
	}
	p := &fakePeers{answer: func(int64, *call.Request) (*call.Answer, error) { return ok(), nil }}
	handler := newEntryWith(t, p, unlimitedQuota{}, map[string]object.Spec{
		"v1": object.RouteSpec{PathPrefix: "/v1", Service: "peals", Urgency: object.Normal, Open: true},
	})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(test.method, test.path, nil))
			qt.Check(t, recorder.Header().Get(header.Verdict) == "ran", qt.Equals, test.routed, qt.Commentf("%d %s", recorder.Code, recorder.Body))
		})
	}
}
