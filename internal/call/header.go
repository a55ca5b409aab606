package call

import (
	"net/http"
	"strings"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of the header without what belongs to one connection.
func EndToEnd(h http.Header) http.Header {
	named := h["Connection"]
	h = h.Clone()
	for _, list := range named {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	return h
}
