package client_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

const (
	soundStatus  = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + `{"host":"host"}`
	brokenStatus = `{"host":"none"}`
)

// TestBrokenFields guards against an answer that is taken for a node's although its header
// has a line that is no field. The next node is asked instead.
func TestBrokenFields(t *testing.T) {
	for name, field := range map[string]string{
		"blank inside":           "X Field: 1",
		"blank before the colon": "X-Field : 1",
		"control":                "X\x00Field: 1",
		"control in the value":   "X-Field: \x01",
		"no name":                ": 1",
	} {
		for framing, end := range map[string]string{"length": "Content-Length: 15\r\n\r\n", "no length": "\r\n"} {
			t.Run(name+", "+framing, func(t *testing.T) {
				testBrokenAnswer(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n"+end+brokenStatus)
			})
		}
	}
}

// TestInvalidStatuses guards against an answer that is taken for a node's although its status
// is none of a final response.
func TestInvalidStatuses(t *testing.T) {
	refusal := `{"code":"conflict"}`
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "700", "999", "2000", "2x0", "-01"} {
		for name, body := range map[string]string{"body": brokenStatus, "no body": "", "refusal": refusal} {
			t.Run(status+", "+name, func(t *testing.T) {
				testBrokenAnswer(t, fmt.Sprintf("HTTP/1.1 %s Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
			})
		}
	}
}

// TestBrokenOff guards against a part of an answer that is taken for the whole.
func TestBrokenOff(t *testing.T) {
	for name, part := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\n\r\n" + brokenStatus[:10],
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + brokenStatus[:10],
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + brokenStatus[:10],
	} {
		t.Run(name, func(t *testing.T) {
			node := serve(t, func(c *standin.RawConn) {
				_ = c.Write(part)
				time.Sleep(5 * time.Millisecond)
				c.Reset()
			})
			alone := client.Client{Nodes: []string{node}}
			_, err := alone.Status(t.Context())
			qt.Check(t, err, qt.ErrorIs, client.ErrUnreachable)
		})
	}
}

// testBrokenAnswer has the first of two nodes answer each request with the given bytes, and
// checks that the client takes the answers of the second.
func testBrokenAnswer(t *testing.T, broken string) {
	var asked atomic.Int64
	first := serve(t, func(c *standin.RawConn) {
		asked.Add(1)
		_ = c.Write(broken)
	})
	second := serve(t, func(c *standin.RawConn) { _ = c.Write(soundStatus) })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	both := client.Client{Nodes: []string{first, second}}
	status, err := both.Status(ctx)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, status.Host, qt.Equals, "host")
	qt.Check(t, asked.Load(), qt.Equals, int64(1))

	alone := client.Client{Nodes: []string{first}}
	_, err = alone.Status(ctx)
	qt.Check(t, err, qt.ErrorIs, client.ErrUnreachable)
	_, err = alone.WithdrawKey(ctx, "operation", "key")
	qt.Check(t, err, qt.ErrorIs, client.ErrUnreachable)
	err = alone.Watch(ctx, object.KindService, 1, func(client.Event) error { return nil })
	qt.Check(t, err, qt.ErrorIs, client.ErrUnreachable)
}

// serve returns the URL of a node that answers one request on each connection.
func serve(t *testing.T, answer func(*standin.RawConn)) string {
	server, err := standin.NewRawServer(func(c *standin.RawConn) {
		if _, err := c.ReadRequest(); err == nil {
			answer(c)
		}
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + server.Address()
}
