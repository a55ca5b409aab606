package platform_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/standin"
)

// TestConnectionOfInvalidResponse guards against a connection that is used again after an
// invalid response, which ends with its head. The next write gets another connection.
func TestConnectionOfInvalidResponse(t *testing.T) {
	const (
		writers    = 16
		writesEach = 500
		writes     = int64(writers * writesEach)
	)
	spoiler := &standin.Spoiler{
		Invalid: "HTTP/1.1 200 OK\r\nX Field: 1\r\nContent-Length: 0\r\n\r\n",
		Every:   100,
		Valid:   func(*http.Request) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" },
	}
	server, err := standin.NewRawServer(spoiler.Serve)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = server.Close() }()
	classify := func(int, []byte, bool) error { return nil }
	service := platform.NewCustomService("store", server.Address(), 5*time.Second, classify)
	defer service.Close()
	var unknown, failed atomic.Int64
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range writesEach {
				_, _, err := service.Do(context.Background(), platform.ServiceRequest{Method: http.MethodPost, Path: "/", Body: []byte("{}"), Write: true})
				switch {
				case errors.Is(err, platform.ErrOutcomeUnknown):
					unknown.Add(1)
				case err != nil:
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	qt.Check(t, spoiler.Reused(), qt.Equals, int64(0))
	qt.Check(t, unknown.Load(), qt.Equals, spoiler.Spoiled())
	qt.Check(t, failed.Load(), qt.Equals, int64(0))
	qt.Check(t, spoiler.Requests(), qt.Equals, writes)
}
