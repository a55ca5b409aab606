package owner_test

import (
	"context"
	"net/http"
	"strings"
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
	o.WrapConns(standin.NewFailureConn)
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
