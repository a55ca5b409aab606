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

// TestServiceInvalidStatus guards against a status that is none being taken for the
// service's response, and against using its connection again. The outcome of the write is
// unknown.
func TestServiceInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "700", "999"} {
		for name, rest := range map[string]string{
			"body": "Content-Length: 2\r\n\r\n{}", "no body": "Content-Length: 0\r\n\r\n", "no length": "\r\n",
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				var connections atomic.Int64
				server, err := standin.NewRawServer(func(c *standin.RawConn) {
					connections.Add(1)
					for first := connections.Load() == 1; ; {
						if _, err := c.ReadRequest(); err != nil {
							return
						}
						answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
						if first {
							answer = "HTTP/1.1 " + status + " Status\r\n" + rest
						}
						if c.Write(answer) != nil {
							return
						}
					}
				})
				qt.Assert(t, err, qt.IsNil)
				classify := func(int, []byte, bool) error { return nil }
				service := platform.NewCustomService("store", server.Address(), 5*time.Second, classify)
				write := platform.ServiceRequest{Method: http.MethodPost, Path: "/", Write: true}
				_, _, err = service.Do(context.Background(), write)
				qt.Check(t, err, qt.ErrorIs, platform.ErrOutcomeUnknown)
				_, _, err = service.Do(context.Background(), write)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, connections.Load(), qt.Equals, int64(2))
				service.Close()
				_ = server.Close()
			})
		}
	}
}
