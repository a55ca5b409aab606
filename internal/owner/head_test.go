package owner_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/verdict"
)

// brokenFields returns lines of a response's header, by kind, that are no field of HTTP: the
// name is none, or a byte of the name or the value is not allowed there.
func brokenFields() map[string]string {
	fields := map[string]string{
		"blank inside":           "X Field: 1",
		"blanks inside":          "X  Long  Field: 1",
		"blank before the colon": "X-Field : 1",
		"blank first":            " X-Field: 1",
		"only a blank":           " : 1",
		"name on two lines":      "X\r\n Field: 1",
		"no name":                ": 1",
		"no colon":               "X-Field",
		"length inside":          "Content Length: 2",
		"length":                 "Content-Length : 2",
		"transfer coding":        "Transfer-Encoding : chunked",
		"connection":             "Connection : close",
		"request identifier":     header.RequestID + " : other",
		"refusal":                header.Refused + " : overloaded",
		"leaving":                header.Leaving + " : 1",
		"byte above ASCII":       "X-F\xc3\xa4ld: 1",
		"delimiter":              "X(Field): 1",
	}
	for _, c := range controlBytes() {
		control := string([]byte{c})
		fields[fmt.Sprintf("%#x first", c)] = control + "X-Field: 1"
		fields[fmt.Sprintf("%#x inside", c)] = "X-F" + control + "ield: 1"
		fields[fmt.Sprintf("%#x before the colon", c)] = "X-Field" + control + ": 1"
		if c != '\t' {
			fields[fmt.Sprintf("%#x in the value", c)] = "X-Field: a" + control + "b"
		}
	}
	return fields
}

// controlBytes returns the control bytes other than the line feed, which ends a line.
func controlBytes() []byte {
	controls := []byte{0x7f}
	for c := range byte(' ') {
		if c != '\n' {
			controls = append(controls, c)
		}
	}
	return controls
}

// TestBrokenFields guards against a response that is passed on although a line of its header
// is no field: the caller would get the line, or a body that is not the backend server's.
func TestBrokenFields(t *testing.T) {
	tests := map[string]struct{ status, rest string }{
		"length":     {"200 OK", "Content-Length: 4\r\n\r\nbody"},
		"no body":    {"200 OK", "Content-Length: 0\r\n\r\n"},
		"chunks":     {"200 OK", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"no length":  {"200 OK", "\r\nbody"},
		"no content": {"204 No Content", "\r\n"},
		"refusal":    {"503 Busy", header.Refused + ": overloaded\r\nContent-Length: 0\r\n\r\n"},
	}
	for kind, field := range brokenFields() {
		for framing, test := range tests {
			start := "HTTP/1.1 " + test.status + "\r\n"
			ends := framing == "no length"
			t.Run(kind+", "+framing+", first line", func(t *testing.T) {
				testBrokenHead(t, start+field+"\r\nX-Other: 1\r\n"+test.rest, ends)
			})
			if field[0] == ' ' || field[0] == '\t' {
				continue // Behind another line it continues the value of that one.
			}
			t.Run(kind+", "+framing+", second line", func(t *testing.T) {
				testBrokenHead(t, start+"X-Other: 1\r\n"+field+"\r\n"+test.rest, ends)
			})
		}
	}
}

// TestUnusualStatusLine guards against refusing a response whose status line is unusual and
// valid.
func TestUnusualStatusLine(t *testing.T) {
	for name, line := range map[string]string{
		"no reason":               "HTTP/1.1 200",
		"empty reason":            "HTTP/1.1 200 ",
		"tab in the reason":       "HTTP/1.1 200 very\tgood",
		"bytes above ASCII":       "HTTP/1.1 200 gr\xfc\xdfe",
		"later version of HTTP/1": "HTTP/1.9 200 OK",
	} {
		t.Run(name, func(t *testing.T) {
			testSoundResponse(t, line+"\r\nContent-Length: 4\r\n\r\nbody", "body")
		})
	}
}

// TestBrokenTrailers is TestBrokenFields for the trailer of a body in chunks.
func TestBrokenTrailers(t *testing.T) {
	for kind, field := range brokenFields() {
		t.Run(kind, func(t *testing.T) {
			testBrokenHead(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+field+"\r\n\r\n", false)
		})
	}
}

// testBrokenHead is testBrokenResponse for a response whose head is invalid to net/http or to
// the owner.
func testBrokenHead(t *testing.T, broken string, ends bool) {
	code := testBrokenResponse(t, broken, ends)
	qt.Check(t, code == verdict.HeadInvalid || code == verdict.BackendBroken, qt.IsTrue, qt.Commentf("%s", code))
}

// testBrokenResponse has a backend server send a response that must not be passed on, and
// close the connection then if ends is set. The connection must not be used again. It returns
// the code of the caller's error.
func testBrokenResponse(t *testing.T, broken string, ends bool) verdict.Code {
	var connections atomic.Int64
	o, _ := rawOwner(t, owner.Config{}, func(c *standin.RawConn) {
		connections.Add(1)
		for {
			r, err := c.ReadRequest()
			if err != nil {
				return
			}
			if r.Header.Get(header.RequestID) == "second" {
				_ = c.Write(response(200, "second", "", "second's"))
				continue
			}
			if c.Write(broken) != nil || ends {
				return
			}
		}
	})
	var answer call.Answer
	o.Call(context.Background(), named("first", 5*time.Second), &answer)
	qt.Assert(t, answer.Err != nil, qt.IsTrue, qt.Commentf("status %d, header %q, body %q", answer.Status, answer.Header, answer.Body))
	qt.Check(t, answer.Err.Verdict, qt.Equals, verdict.MayHaveRun, qt.Commentf("%v", answer.Err))
	code := answer.Err.Code
	qt.Check(t, answer.Status, qt.Equals, 0)
	used := connections.Load()
	answer = call.Answer{}
	o.Call(context.Background(), named("second", 5*time.Second), &answer)
	qt.Check(t, string(answer.Body), qt.Equals, "second's", qt.Commentf("%v", answer.Err))
	qt.Check(t, connections.Load(), qt.Equals, used+1)
	return code
}

// TestUnusualFields guards against refusing a response whose fields are unusual and valid.
func TestUnusualFields(t *testing.T) {
	for name, field := range map[string]string{
		"all characters of names": "X!#$%&'*+-.^_`|~09azAZ: 1",
		"no value":                "X-Field:",
		"no blank":                "X-Field:1",
		"tabs around the value":   "X-Field:\t1\t",
		"bytes above ASCII":       "X-Field: \xe4\xff",
		"two lines":               "X-Field: 1\r\n 2",
		"colons in the value":     "X-Field: a : b",
	} {
		t.Run(name, func(t *testing.T) {
			testSoundResponse(t, "HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 4\r\n\r\nbody", "body")
		})
	}
}

// testSoundResponse has a backend server send a response that must be passed on with the body.
func testSoundResponse(t *testing.T, sound, body string) {
	o, _ := rawOwner(t, owner.Config{}, func(c *standin.RawConn) {
		if _, err := c.ReadRequest(); err == nil {
			_ = c.Write(sound)
		}
	})
	var answer call.Answer
	o.Call(context.Background(), named("first", 5*time.Second), &answer)
	qt.Assert(t, answer.Err == nil, qt.IsTrue, qt.Commentf("%v", answer.Err))
	qt.Check(t, string(answer.Body), qt.Equals, body)
}

// TestBrokenFraming guards against a response whose head does not say for sure where its body
// ends.
func TestBrokenFraming(t *testing.T) {
	const chunks = "4\r\nbody\r\n0\r\n\r\n"
	tests := map[string]string{
		"HTTP/1.0, chunks":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.0, chunks and length": "HTTP/1.0 200 OK\r\nContent-Length: 4\r\ntransfer-encoding: chunked\r\n\r\nbody",
		"HTTP/1.0, kept open":         "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody",
		"HTTP/1.0, no body":           "HTTP/1.0 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0, long head":         "HTTP/1.0 200 OK\r\nX-Long: " + strings.Repeat("x", 6000) + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"two codings":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
		"coding other than chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody",
		"chunks twice":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"two lengths":                 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
		"list of lengths":             "HTTP/1.1 200 OK\r\nContent-Length: 4, 5\r\n\r\nbody",
		"length with a sign":          "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody",
		"negative length":             "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody",
		"hexadecimal length":          "HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n\r\nbody",
		"empty length":                "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nbody",
		"length too large":            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nbody",
		"invalid length, chunks":      "HTTP/1.1 200 OK\r\nContent-Length: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"invalid length, no content":  "HTTP/1.1 204 No Content\r\nContent-Length: x\r\n\r\n",
		"size of a chunk":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+" + chunks,
		"end of a chunk":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbodyX\r\n0\r\n\r\n",
	}
	for name, broken := range tests {
		t.Run(name, func(t *testing.T) {
			testBrokenHead(t, broken, strings.HasPrefix(broken, "HTTP/1.0"))
		})
	}
}

// TestBrokenStatusLine guards against a response that is passed on although its status line is
// none of HTTP/1. Net/http takes the reason phrase as it is.
func TestBrokenStatusLine(t *testing.T) {
	lines := map[string]string{
		"later version":         "HTTP/2.0 200 OK",
		"earlier version":       "HTTP/0.9 200 OK",
		"version in lower case": "http/1.1 200 OK",
		"blank first":           " HTTP/1.1 200 OK",
		"tab before the status": "HTTP/1.1\t200 OK",
		"tab after the status":  "HTTP/1.1 200\tOK",
		"empty line first":      "\r\nHTTP/1.1 200 OK",
		"no status":             "HTTP/1.1 OK",
	}
	for _, c := range controlBytes() {
		control := string([]byte{c})
		lines[fmt.Sprintf("%#x first", c)] = control + "HTTP/1.1 200 OK"
		lines[fmt.Sprintf("%#x in the version", c)] = "HTTP/1" + control + ".1 200 OK"
		lines[fmt.Sprintf("%#x in the status", c)] = "HTTP/1.1 2" + control + "0 OK"
		if c != '\t' {
			lines[fmt.Sprintf("%#x in the reason", c)] = "HTTP/1.1 200 O" + control + "K"
		}
	}
	for name, line := range lines {
		t.Run(name, func(t *testing.T) {
			testBrokenHead(t, line+"\r\nContent-Length: 4\r\n\r\nbody", false)
		})
	}
}

// TestOldVersion guards against refusing a sound response of HTTP/1.0.
func TestOldVersion(t *testing.T) {
	tests := map[string]string{
		"length":            "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"no length":         "HTTP/1.0 200 OK\r\nX-Field: Transfer-Encoding: chunked\r\n\r\nbody",
		"connection kept":   "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbody",
		"bare line feeds":   "HTTP/1.0 200 OK\nContent-Length: 4\n\nbody",
		"one byte a packet": "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	}
	for name, sound := range tests {
		t.Run(name, func(t *testing.T) {
			o, _ := rawOwner(t, owner.Config{}, func(c *standin.RawConn) {
				for {
					if _, err := c.ReadRequest(); err != nil {
						return
					}
					pieces := []string{sound}
					if name == "one byte a packet" {
						pieces = strings.Split(sound, "")
					}
					for _, piece := range pieces {
						if c.Write(piece) != nil {
							return
						}
						time.Sleep(time.Millisecond)
					}
					if name != "connection kept" {
						return
					}
				}
			})
			for _, id := range []string{"first", "second"} {
				var answer call.Answer
				o.Call(context.Background(), named(id, 5*time.Second), &answer)
				qt.Assert(t, answer.Err == nil, qt.IsTrue, qt.Commentf("%v", answer.Err))
				qt.Check(t, string(answer.Body), qt.Equals, "body")
			}
		})
	}
}
