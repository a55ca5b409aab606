package standin

import (
	"net/http"
	"sync/atomic"
)

// Spoiler responds to the requests of a RawServer, to some of them with an invalid response,
// and counts the requests that come on a connection after such a response.
type Spoiler struct {
	// Valid returns the response to a request.
	Valid func(*http.Request) string
	// Invalid is the response to each request whose number is a multiple of Every.
	Invalid string
	Every   int64

	requests, spoiled, reused atomic.Int64
}

// Serve handles a connection.
func (s *Spoiler) Serve(c *RawConn) {
	for spoiled := false; ; {
		r, err := c.ReadRequest()
		if err != nil {
			return
		}
		if spoiled {
			s.reused.Add(1)
		}
		response := s.Valid(r)
		if s.requests.Add(1)%s.Every == 0 {
			s.spoiled.Add(1)
			response, spoiled = s.Invalid, true
		}
		if c.Write(response) != nil {
			return
		}
	}
}

// Requests returns the number of requests so far.
func (s *Spoiler) Requests() int64 { return s.requests.Load() }

// Spoiled returns the number of invalid responses so far.
func (s *Spoiler) Spoiled() int64 { return s.spoiled.Load() }

// Reused returns the number of requests on connections after an invalid response.
func (s *Spoiler) Reused() int64 { return s.reused.Load() }
