package client_test

import (
	"context"
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
