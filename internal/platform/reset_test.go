package platform_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/standin"
)

// TestServiceResetDuringUpload guards against the part of a response that arrives before a
// reset and is taken for a complete one, because the reset is reported to the writer of the
// request's body.
func TestServiceResetDuringUpload(t *testing.T) {
	const uploadBytes = 16 << 20 // More than a service that does not read can take.
	for name, test := range map[string]struct {
		write bool
		want  error
	}{
		"write": {true, platform.ErrOutcomeUnknown},
		"read":  {false, platform.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewRawServer(func(c *standin.RawConn) {
				if c.ReadBytes(1000) == nil && c.Write("HTTP/1.1 200 OK\r\n\r\n{}") == nil {
					c.Reset()
				}
			})
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = server.Close() }()
			classify := func(int, []byte, bool) error { return nil }
			service := platform.NewCustomService("store", server.Address(), 5*time.Second, classify)
			defer service.Close()
			standin.WrapConns(service.Transport(), standin.NewFailureConn)
			_, _, err = service.Do(context.Background(), platform.ServiceRequest{
				Method: http.MethodPost, Path: "/", Body: make([]byte, uploadBytes), Write: test.write,
			})
			qt.Check(t, err, qt.ErrorIs, test.want)
		})
	}
}
