package platform_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/standin"
)

// TestServiceInvalidStatus guards against a status that is none being taken for the
// service's response, and against using its connection again. The outcome of the write is
// unknown.
func TestServiceInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "700", "999"} {
		for name, rest := range map[string]string{
			"body": "Content-Length: 2\r\n\r\n{}", "no body": "Content-Length: 0\r\n\r\n", "no length": "\r\n",
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				testBrokenResponse(t, "HTTP/1.1 "+status+" Status\r\n"+rest, false)
			})
		}
	}
}

// TestServiceBrokenFields guards against a response that is taken for the service's although
// its header or its trailer has a line that is no field.
func TestServiceBrokenFields(t *testing.T) {
	responses := map[string]string{
		"body":    "FIELD\r\nContent-Length: 2\r\n\r\n{}",
		"no body": "FIELD\r\nContent-Length: 0\r\n\r\n",
		"trailer": "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nFIELD\r\n\r\n",
	}
	for kind, field := range map[string]string{
		"blank inside":           "X Field: 1",
		"blank before the colon": "Content-Length : 1",
		"control":                "X\x01Field: 1",
		"control in the value":   "X-Field: \x00",
		"no name":                ": 1",
	} {
		for name, rest := range responses {
			t.Run(kind+", "+name, func(t *testing.T) {
				testBrokenResponse(t, "HTTP/1.1 200 OK\r\n"+strings.ReplaceAll(rest, "FIELD", field), false)
			})
		}
	}
}

// TestServiceBrokenFraming guards against a write that is taken for done because of a response
// of HTTP/1.0 with a transfer coding.
func TestServiceBrokenFraming(t *testing.T) {
	testBrokenResponse(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", true)
}

// testBrokenResponse has the service answer a write with a response that must not be taken
// for one, and close the connection then if ends is set. The outcome of the write is unknown,
// and its connection is not used again.
func testBrokenResponse(t *testing.T, broken string, ends bool) {
	var connections atomic.Int64
	server, err := standin.NewRawServer(func(c *standin.RawConn) {
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		first := connections.Add(1) == 1
		if first {
			answer = broken
		}
		for {
			if _, err := c.ReadRequest(); err != nil {
				return
			}
			if c.Write(answer) != nil || (first && ends) {
				return
			}
		}
	})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = server.Close() }()
	classify := func(int, []byte, bool) error { return nil }
	service := platform.NewCustomService("store", server.Address(), 5*time.Second, classify)
	defer service.Close()
	write := platform.ServiceRequest{Method: http.MethodPost, Path: "/", Write: true}
	_, _, err = service.Do(context.Background(), write)
	qt.Check(t, err, qt.ErrorIs, platform.ErrOutcomeUnknown)
	_, _, err = service.Do(context.Background(), write)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, connections.Load(), qt.Equals, int64(2))
}
