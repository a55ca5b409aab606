package standin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"curranthold.example/curranthold/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// exchange sends one request and returns the status and body of the response. The
// status is 0 if there is no complete response.
func exchange(t *testing.T, method, url, body string, headers ...string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(responseBody)
}

func TestPlatformControl(t *testing.T) {
	p := standin.NewPlatform(1)
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	control := server.URL + "/control"
	status, _ := exchange(t, "POST", control, `{"outage":true,"delay-ms":3}`)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	status, _ = exchange(t, "POST", control, `{"outrage":true}`) // an unknown field
	qt.Assert(t, status, qt.Equals, http.StatusBadRequest)
	status, body := exchange(t, "POST", control, `{"lose-answers":0.5}`)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Equals, `{"outage":true,"delay-ms":3,"lose-answers":0.5,"late-effects-ms":0}`)
	status, _ = exchange(t, "POST", server.URL+"/v1/table/get", `{"keys":["a"]}`)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	_, body = exchange(t, "GET", control+"/stats", "")
	qt.Assert(t, body, qt.Contains, `"refused":1`)
}
