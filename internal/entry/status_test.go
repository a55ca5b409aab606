package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/verdict"
)

// TestStatusOfAnswer guards against the answer of another node, perhaps of an earlier
// build, whose status is none: the handler panicked, or the caller got it.
func TestStatusOfAnswer(t *testing.T) {
	tests := map[string]int{
		"none": 0, "negative": -1, "two digits": 20, "informational": 103, "switching protocols": 101,
		"600": 600, "999": 999, "four digits": 2000,
	}
	for name, status := range tests {
		t.Run(name, func(t *testing.T) {
			p := &fakePeers{answer: func(int64, *call.Request) (*call.Answer, error) {
				return &call.Answer{Status: status, Body: []byte("x")}, nil
			}}
			recorder := httptest.NewRecorder()
			newEntry(t, p).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/records", nil))
			qt.Check(t, recorder.Code, qt.Equals, http.StatusBadGateway)
			qt.Check(t, recorder.Header().Get(header.Verdict), qt.Equals, verdict.MayHaveRun.String())
			qt.Check(t, recorder.Body.String(), qt.Contains, string(verdict.StatusInvalid))
		})
	}
}

// TestFieldsOfAnswer guards against the answer of another node, perhaps of an earlier build,
// whose header has a field that is not one of HTTP.
func TestFieldsOfAnswer(t *testing.T) {
	tests := map[string]http.Header{
		"blank inside":           {"X Field": {"1"}},
		"blank before the colon": {"X-Field ": {"1"}},
		"control":                {"X-Fi\x00eld": {"1"}},
		"line end in a name":     {"X-Field: 1\r\nX-Other": {"1"}},
		"no name":                {"": {"1"}},
		"line end in a value":    {"X-Field": {"1", "1\r\nX-Other: 1"}},
		"control in a value":     {"X-Field": {"\x00"}},
	}
	for name, fields := range tests {
		t.Run(name, func(t *testing.T) {
			p := &fakePeers{answer: func(int64, *call.Request) (*call.Answer, error) {
				return &call.Answer{Status: http.StatusOK, Header: fields, Body: []byte("x")}, nil
			}}
			recorder := httptest.NewRecorder()
			newEntry(t, p).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/records", nil))
			qt.Check(t, recorder.Code, qt.Equals, http.StatusBadGateway)
			qt.Check(t, recorder.Header().Get(header.Verdict), qt.Equals, verdict.MayHaveRun.String())
			qt.Check(t, recorder.Body.String(), qt.Contains, string(verdict.HeadInvalid))
			qt.Check(t, p.calls.Load(), qt.Equals, int64(1)) // The route is non-repeatable.
		})
	}
}

// FuzzResponseHead sends mutated responses of a backend server through an owner and an
// entry. No handler may panic, and the caller gets a final status.
func FuzzResponseHead(f *testing.F) {
	for _, status := range []string{
		"200", "204", "304", "500", "000", "001", "099", "+20", "-01", "0", "20", "2000", "2x0", "",
		"100", "101", "103", "150", "199", "600", "700", "999",
	} {
		f.Add([]byte("HTTP/1.1 " + status + " Status\r\nContent-Length: 2\r\n\r\nok"))
	}
	for _, head := range []string{
		"HTTP/1.0 200\r\n\r\nok",
		"HTTP/2.0 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
		"HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n\x00\x01",
		"HTTP/1.1 200 OK\r\nConnection: close, X-A\r\nX-A: 1\r\nTrailer: X-B\r\n\r\n",
		"HTTP/1.1 200 OK\r\n: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x00: \x7f\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-A: 1\r\n folded\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 None\r\n\r\n",
		"HTTP/1.1 503 Busy\r\n" + header.Refused + ": x\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 Slow\r\n" + header.RateLimit + ": -1\r\n" + header.Leaving + ": x\r\nRetry-After: x\r\n\r\n",
		"nonsense",
	} {
		f.Add([]byte(head))
	}
	var sent atomic.Value
	server, err := standin.NewRawServer(func(c *standin.RawConn) {
		if _, err := c.ReadRequest(); err == nil {
			_ = c.Write(sent.Load().(string))
		}
	})
	qt.Assert(f, err, qt.IsNil)
	f.Cleanup(func() { _ = server.Close() })
	controller := admission.New(admission.Config{})
	f.Cleanup(controller.Close)
	o, err := owner.New(owner.Config{AnswerBytes: 1 << 20, Admission: controller})
	qt.Assert(f, err, qt.IsNil)
	o.Announce(owner.Announcement{Service: "peals", Address: server.Address(), Slots: 4})
	p := &fakePeers{answer: func(_ int64, r *call.Request) (*call.Answer, error) {
		var answer call.Answer
		o.Call(context.Background(), r, &answer)
		return &answer, nil
	}}
	handler := newEntry(f, p)
	f.Fuzz(func(t *testing.T, response []byte) {
		sent.Store(string(response))
		recorder := httptest.NewRecorder()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		handler.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodPost, "/records", nil))
		qt.Check(t, recorder.Code >= 200 && recorder.Code <= 599, qt.IsTrue, qt.Commentf("status %d for %q", recorder.Code, response))
	})
}
