package owner_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
)

// TestConnectionOfInvalidResponse guards against a connection that is used again after an
// invalid response: to net/http it is idle once the head of a response without a body was
// read. The next request gets another connection, and runs once.
func TestConnectionOfInvalidResponse(t *testing.T) {
	const (
		callers   = 16
		callsEach = 500
		calls     = int64(callers * callsEach)
	)
	for name, invalid := range map[string]string{
		"status": "HTTP/1.1 600 None\r\nContent-Length: 0\r\n\r\n",
		"field":  "HTTP/1.1 200 OK\r\nX Field: 1\r\nContent-Length: 0\r\n\r\n",
		"echo":   response(200, "another", "", ""),
	} {
		t.Run(name, func(t *testing.T) {
			spoiler := &standin.Spoiler{Invalid: invalid, Every: 100, Valid: func(r *http.Request) string {
				return response(200, r.Header.Get(header.RequestID), "", "whole")
			}}
			config := owner.Config{
				WarmStart: true,
				Service:   func(string) (object.ServiceSpec, bool) { return object.ServiceSpec{}, true },
			}
			o, server := rawOwner(t, config, spoiler.Serve)
			o.Announce(owner.Announcement{Service: "peals", Address: server.Address(), Slots: 10 * callers})
			var served atomic.Int64
			var wg sync.WaitGroup
			for caller := range callers {
				wg.Go(func() {
					for n := range callsEach {
						var answer call.Answer
						o.Call(context.Background(), named(fmt.Sprintf("%d-%d", caller, n), 5*time.Second), &answer)
						if answer.Err == nil {
							served.Add(1)
						}
					}
				})
			}
			wg.Wait()
			qt.Check(t, spoiler.Reused(), qt.Equals, int64(0))
			qt.Check(t, spoiler.Requests(), qt.Equals, calls)
			qt.Check(t, served.Load(), qt.Equals, calls-spoiler.Spoiled())
		})
	}
}
