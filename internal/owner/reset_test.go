package owner_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// uploadBytes is the size of a body that a backend server which does not read can't
	// take, uploadStartBytes the part of it that such a server reads.
	uploadBytes      = 16 << 20
	uploadStartBytes = 1000
	// headWithoutLength is the head of a response whose body ends with the connection.
	headWithoutLength = "HTTP/1.1 200 OK\r\n\r\n"
)

// upload returns a request with a body of uploadBytes that must not run twice.
func upload() *call.Request {
	r := named("first", 5*time.Second)
	r.Method, r.NonRepeatable = http.MethodPost, true
	r.Body = make([]byte, uploadBytes)
	return r
}

// TestResetDuringUpload guards against the part of a response that arrives before a reset
// and is taken for a complete one, because the reset is reported to the writer of the
// request's body.
func TestResetDuringUpload(t *testing.T) {
	o, _ := rawOwner(t, owner.Config{}, func(c *standin.RawConn) {
		if c.ReadBytes(uploadStartBytes) != nil {
			return
		}
		_ = c.Write(headWithoutLength + strings.Repeat("x", 300))
		c.Reset()
	})
	standin.WrapConns(o.Transport(), standin.NewFailureConn)
	var answer call.Answer
	o.Call(context.Background(), upload(), &answer)
	qt.Assert(t, answer.Err != nil, qt.IsTrue, qt.Commentf("status %d with %d bytes", answer.Status, len(answer.Body)))
	qt.Check(t, answer.Err.Verdict, qt.Equals, verdict.MayHaveRun)
	qt.Check(t, answer.Err.Code, qt.Equals, verdict.BackendBroken)
	qt.Check(t, answer.Body, qt.HasLen, 0)
}

// TestSoundAnswerWithoutLength guards against refusing a response that ends with its stream,
// in order.
func TestSoundAnswerWithoutLength(t *testing.T) {
	body := strings.Repeat("x", 300)
	tests := map[string]func(c *standin.RawConn){
		"after the upload": func(c *standin.RawConn) {
			if _, err := c.ReadRequest(); err == nil {
				_ = c.Write(headWithoutLength + body)
			}
		},
		"before the upload was read": func(c *standin.RawConn) {
			if c.ReadBytes(uploadStartBytes) == nil && c.Write(headWithoutLength+body) == nil && c.CloseWrite() == nil {
				time.Sleep(100 * time.Millisecond) // The upload stays blocked.
				c.AwaitClose()
			}
		},
		"while the upload is read": func(c *standin.RawConn) {
			if c.ReadBytes(uploadStartBytes) == nil && c.Write(headWithoutLength+body) == nil && c.CloseWrite() == nil {
				c.AwaitClose()
			}
		},
	}
	for name, serve := range tests {
		t.Run(name, func(t *testing.T) {
			o, _ := rawOwner(t, owner.Config{}, serve)
			var answer call.Answer
			o.Call(context.Background(), upload(), &answer)
			qt.Assert(t, answer.Err == nil, qt.IsTrue, qt.Commentf("%v", answer.Err))
			qt.Check(t, answer.Status, qt.Equals, http.StatusOK)
			qt.Check(t, string(answer.Body), qt.Equals, body)
		})
	}
}

// lateReadConn is a connection on which a Read returns only after a Write has failed: soon after
// it, or once the connection is closed.
type lateReadConn struct {
	net.Conn
	failed, closed    chan struct{}
	noteFail, noteEnd func()
}

func newLateReadConn(conn net.Conn) net.Conn {
	c := &lateReadConn{Conn: conn, failed: make(chan struct{}), closed: make(chan struct{})}
	c.noteFail = sync.OnceFunc(func() { close(c.failed) })
	c.noteEnd = sync.OnceFunc(func() { close(c.closed) })
	return c
}

// Write implements net.Conn.
func (c *lateReadConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.noteFail()
	}
	return n, err
}

// Read implements net.Conn.
func (c *lateReadConn) Read(p []byte) (int, error) {
	select {
	case <-c.failed:
	case <-c.closed:
	}
	select {
	case <-c.closed:
	case <-time.After(50 * time.Millisecond):
	}
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *lateReadConn) Close() error {
	c.noteEnd()
	return c.Conn.Close()
}

// TestResetAfterSoundAnswer guards against losing a response that ended in order, because the
// write of the request's body fails before the response is read.
func TestResetAfterSoundAnswer(t *testing.T) {
	body := strings.Repeat("x", 300)
	for name, head := range map[string]string{
		"no length": headWithoutLength,
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n",
		"no answer": "",
	} {
		t.Run(name, func(t *testing.T) {
			o, _ := rawOwner(t, owner.Config{}, func(c *standin.RawConn) {
				if c.ReadBytes(uploadStartBytes) != nil {
					return
				}
				if head != "" {
					_ = c.Write(head + body)
				}
				_ = c.CloseWrite()
				c.Reset()
			})
			standin.WrapConns(o.Transport(), newLateReadConn)
			for range 2 { // The second request gets another connection.
				var answer call.Answer
				o.Call(context.Background(), upload(), &answer)
				if head == "" {
					qt.Assert(t, answer.Err != nil, qt.IsTrue)
					qt.Check(t, answer.Err.Verdict, qt.Equals, verdict.MayHaveRun)
					continue
				}
				qt.Assert(t, answer.Err == nil, qt.IsTrue, qt.Commentf("%v", answer.Err))
				qt.Check(t, string(answer.Body), qt.Equals, body)
			}
		})
	}
}
