package clientlimit

import (
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkRequest measures a request over a kept-alive connection, with and without the
// limits of this package.
func BenchmarkRequest(b *testing.B) {
	for _, limited := range []bool{false, true} {
		name := map[bool]string{false: "plain", true: "limited"}[limited]
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(b, err, qt.IsNil)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "ok")
			})}
			if limited {
				budget := New(Limits{MemoryBytes: testMemory, MaxHeadBytes: 32 << 10})
				listener = Listen(listener, budget.Gate(100))
				server.Handler, server.ConnState, server.ConnContext = Handler(server.Handler), ConnState, ConnContext
			}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			url := "http://" + listener.Addr().String()
			b.ReportAllocs()
			for b.Loop() {
				response, err := http.Get(url)
				qt.Assert(b, err, qt.IsNil)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
