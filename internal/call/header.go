package call

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded. They include
// Content-Length, which is set again wherever a body is sent.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of the header without the hop-by-hop headers, including
// those that its Connection header lists.
func EndToEnd(h http.Header) http.Header {
	h = h.Clone()
	RemoveHopByHop(h)
	return h
}

// RemoveHopByHop removes the hop-by-hop headers from h, including those that its
// Connection header lists.
func RemoveHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name) // The names are canonical already.
	}
}
