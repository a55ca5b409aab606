package owner_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/owner"
)

// TestFraming guards against a change in how a request's body is announced to a backend
// server, and against a body that is lost.
func TestFraming(t *testing.T) {
	const chunked, none = "Transfer-Encoding: chunked", ""
	tests := map[string]struct{ method, body, framing string }{
		"GET without body":      {http.MethodGet, "", none},
		"HEAD without body":     {http.MethodHead, "", none},
		"OPTIONS without body":  {http.MethodOptions, "", none},
		"DELETE without body":   {http.MethodDelete, "", none},
		"PROPFIND without body": {"PROPFIND", "", none},
		"POST without body":     {http.MethodPost, "", chunked},
		"PUT without body":      {http.MethodPut, "", chunked},
		"own without body":      {"REPORT", "", chunked},
		"GET with body":         {http.MethodGet, "whole", "Content-Length: 5"},
		"DELETE with body":      {http.MethodDelete, "whole", "Content-Length: 5"},
		"POST with body":        {http.MethodPost, "whole", "Content-Length: 5"},
		"POST with large body":  {http.MethodPost, strings.Repeat("x", 70_000), "Content-Length: 70000"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = listener.Close() }()
			received := make(chan rawRequest, 1)
			go func() { received <- receiveRaw(listener) }()
			r := request()
			r.Method, r.Body = test.method, []byte(test.body)
			var answer call.Answer
			newOwner(t, listener.Addr().String(), owner.Config{}).Call(context.Background(), r, &answer)
			qt.Assert(t, answer.Err == nil, qt.IsTrue)
			got := <-received
			qt.Check(t, got.framing, qt.Equals, test.framing)
			qt.Check(t, got.body == test.body, qt.IsTrue)
		})
	}
}

// rawRequest is a request with the lines of its head that announce its body.
type rawRequest struct{ framing, body string }

// receiveRaw accepts a connection and answers one request.
func receiveRaw(listener net.Listener) rawRequest {
	conn, err := listener.Accept()
	if err != nil {
		return rawRequest{}
	}
	defer func() { _ = conn.Close() }()
	var raw bytes.Buffer
	r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &raw)))
	if err != nil {
		return rawRequest{}
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	head, _, _ := strings.Cut(raw.String(), "\r\n\r\n")
	var framing []string
	for _, line := range strings.Split(head, "\r\n") {
		if strings.HasPrefix(line, "Content-Length:") || strings.HasPrefix(line, "Transfer-Encoding:") {
			framing = append(framing, line)
		}
	}
	return rawRequest{strings.Join(framing, ", "), string(body)}
}
