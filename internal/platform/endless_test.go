package platform_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/standin"
)

// TestServiceWithoutEnd has the service send a response that never ends. The request
// must fail before its timeout, after the client has read little.
func TestServiceWithoutEnd(t *testing.T) {
	const maxSent = 24 << 20 // The limit of a body, and what the buffers of both sockets hold.
	tests := map[string]struct{ begin, forever string }{
		"status line":  {"HTTP/1.1 200 ", "O"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n"},
		"body":         {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"trailer":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-T: 1\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			server, err := standin.NewRawServer(func(c *standin.RawConn) {
				if _, err := c.ReadRequest(); err != nil || c.Write(test.begin) != nil {
					return
				}
				sent.Store(int64(c.WriteForever(test.forever)))
			})
			qt.Assert(t, err, qt.IsNil)
			service := platform.NewCustomService("store", server.Address(), 5*time.Second, func(int, []byte, bool) error { return platform.ErrUnavailable })
			began := time.Now()
			_, _, err = service.Do(context.Background(), platform.ServiceRequest{Method: http.MethodPost, Path: "/", Write: true})
			qt.Check(t, err, qt.ErrorIs, platform.ErrOutcomeUnknown)
			qt.Check(t, time.Since(began) < 4*time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
			service.Close()
			qt.Check(t, server.Close(), qt.IsNil)
			qt.Check(t, sent.Load() < maxSent, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
		})
	}
}
