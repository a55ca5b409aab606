package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"
)

// FuzzClassify checks that only a refusal by the service itself is taken to mean
// that a write had no effect.
func FuzzClassify(f *testing.F) {
	f.Add(http.StatusServiceUnavailable, []byte(`{"code":"unavailable"}`), true)
	f.Add(http.StatusConflict, []byte(`{"code":"unavailable"}`), true)
	f.Add(http.StatusTemporaryRedirect, []byte(``), false)
	f.Add(http.StatusBadGateway, []byte(`{"code":`), true)
	f.Fuzz(func(t *testing.T, status int, body []byte, write bool) {
		err := classify(serviceResponse{status: status, body: body}, write)
		if err == nil {
			t.Fatal("no error")
		}
		var refusal Refusal
		fromService := json.Unmarshal(body, &refusal) == nil && refusal.Code != ""
		if write && !fromService && !errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("error %v for a write, want ErrOutcomeUnknown: the response is not from the service", err)
		}
	})
}
