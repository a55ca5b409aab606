package owner_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
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

// rawOwner returns an owner whose backend server handles its connections with serve.
func rawOwner(t *testing.T, config owner.Config, serve func(*standin.RawConn)) (*owner.Owner, *standin.RawServer) {
	server, err := standin.NewRawServer(serve)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = server.Close() })
	return newOwner(t, server.Address(), config), server
}

// named returns a request with its own identifier.
func named(id string, timeout time.Duration) *call.Request {
	r := request()
	r.ID, r.RequestID, r.Remaining = id+"/1", id, timeout
	return r
}

// response returns a response with a body and, unless id is empty, the identifier of
// a request.
func response(status int, id, extra, body string) string {
	echo := ""
	if id != "" {
		echo = header.RequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s%sContent-Length: %d\r\n\r\n%s", status, echo, extra, len(body), body)
}

// TestSecondCopies has the backend server send the response to an earlier request once
// more, where the response to the next request on the connection is expected. The copy
// must never be taken for the next request's: its caller gets its own response, or an
// error that does not claim that the request has not run.
func TestSecondCopies(t *testing.T) {
	refused := header.Refused + ": overloaded\r\n"
	tests := map[string]string{
		"with its identifier":        response(200, "first", "", "first's"),
		"without identifier":         response(200, "", "", "first's"),
		"without body":               response(200, "first", "", ""),
		"without body or identifier": response(200, "", "", ""),
		"failure, no identifier":     response(500, "", "", "first's"),
		"refusal":                    response(503, "first", refused, "first's"),
		"refusal, no identifier":     response(503, "", refused, ""),
		"status 000":                 "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
		"status 000, own body":       "HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nfirst",
		"status 600, its identifier": "HTTP/1.1 600 None\r\n" + header.RequestID + ": second\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":            "HTTP/1.1 200 OK\r\n" + header.RequestID + ": second\r\nX Field: 1\r\nContent-Length: 0\r\n\r\n",
		"three at once":              strings.Repeat(response(200, "first", "", "first's"), 3),
	}
	moments := map[string]func(c *standin.RawConn, copies string) error{
		"with the first response": func(c *standin.RawConn, copies string) error {
			if err := answerNamed(c, copies); err != nil {
				return err
			}
			return answerNamed(c, "")
		},
		"before the second request": func(c *standin.RawConn, copies string) error {
			if err := answerNamed(c, ""); err != nil {
				return err
			}
			time.Sleep(5 * time.Millisecond)
			if err := c.Write(copies); err != nil {
				return err
			}
			return answerNamed(c, "")
		},
		"before the second response": func(c *standin.RawConn, copies string) error {
			if err := answerNamed(c, ""); err != nil {
				return err
			}
			r, err := c.ReadRequest()
			if err != nil {
				return err
			}
			return c.Write(copies + response(200, r.Header.Get(header.RequestID), "", r.Header.Get(header.RequestID)+"'s"))
		},
	}
	for when, serve := range moments {
		for name, copies := range tests {
			t.Run(when+", "+name, func(t *testing.T) {
				o, _ := rawOwner(t, owner.Config{}, func(c *standin.RawConn) {
					_ = serve(c, copies)
					c.AwaitClose()
				})
				for i, id := range []string{"first", "second", "third", "fourth"} {
					var answer call.Answer
					o.Call(context.Background(), named(id, 300*time.Millisecond), &answer)
					switch {
					case answer.Err != nil:
						qt.Check(t, answer.Err.Verdict, qt.Equals, verdict.MayHaveRun, qt.Commentf("%s: %v", id, answer.Err))
						qt.Check(t, i > 0, qt.IsTrue, qt.Commentf("the first request failed: %v", answer.Err))
					default:
						qt.Check(t, string(answer.Body), qt.Equals, id+"'s")
					}
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
	}
}

// TestSecondCopyAfterChangedAnnouncement guards against a late copy taken for an answer once the announcement has changed.
func TestSecondCopyAfterChangedAnnouncement(t *testing.T) {
	o, server := rawOwner(t, owner.Config{}, func(c *standin.RawConn) {
		if answerNamed(c, "") != nil {
			return
		}
		if _, err := c.ReadRequest(); err != nil {
			return
		}
		_ = c.Write(response(200, "", "", "first's"))
		c.AwaitClose()
	})
	var answer call.Answer
	o.Call(context.Background(), named("first", time.Second), &answer)
	qt.Assert(t, string(answer.Body), qt.Equals, "first's")
	o.Announce(owner.Announcement{Service: "peals", Address: server.Address(), Slots: 4, Cold: true})
	answer = call.Answer{}
	o.Call(context.Background(), named("second", time.Second), &answer)
	qt.Assert(t, answer.Err != nil && answer.Err.Verdict == verdict.MayHaveRun, qt.IsTrue, qt.Commentf("answered with %q", answer.Body))
}

// answerNamed reads a request and responds with its identifier, followed by more.
func answerNamed(c *standin.RawConn, more string) error {
	r, err := c.ReadRequest()
	if err != nil {
		return err
	}
	id := r.Header.Get(header.RequestID)
	return c.Write(response(200, id, "", id+"'s") + more)
}

// TestBrokenOff ends a response before it is complete. It must never be taken for a
// complete one.
func TestBrokenOff(t *testing.T) {
	tests := map[string]func(c *standin.RawConn){
		"status line": func(c *standin.RawConn) { _ = c.Write("HTTP/1.1 200") },
		"header":      func(c *standin.RawConn) { _ = c.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n") },
		"short body":  func(c *standin.RawConn) { _ = c.Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart") },
		"chunk": func(c *standin.RawConn) {
			_ = c.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart")
		},
		"no last chunk": func(c *standin.RawConn) {
			_ = c.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
		},
		"trailer": func(c *standin.RawConn) {
			_ = c.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX-T: 1\r\n")
		},
		"only information": func(c *standin.RawConn) { _ = c.Write("HTTP/1.1 103 Early Hints\r\n\r\n") },
		"long chunks": func(c *standin.RawConn) {
			_ = c.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("x", 4096)+"\r\n", 10))
		},
		"long body": func(c *standin.RawConn) {
			_ = c.Write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 99_999))
		},
		"reset without length": func(c *standin.RawConn) {
			_ = c.Write("HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(5 * time.Millisecond)
			c.Reset()
		},
	}
	for name, serve := range tests {
		t.Run(name, func(t *testing.T) {
			o, _ := rawOwner(t, owner.Config{AnswerBytes: 1 << 20}, func(c *standin.RawConn) {
				if _, err := c.ReadRequest(); err == nil {
					serve(c)
				}
			})
			var answer call.Answer
			o.Call(context.Background(), named("first", time.Second), &answer)
			qt.Assert(t, answer.Err != nil, qt.IsTrue)
			qt.Check(t, answer.Err.Verdict, qt.Equals, verdict.MayHaveRun)
			qt.Check(t, answer.Body, qt.HasLen, 0)
		})
	}
}

// TestWithoutEnd has a backend server send a hundred responses at once that never end.
// The owner must close each connection, report that the request may have run, need
// little memory, and serve other requests meanwhile.
func TestWithoutEnd(t *testing.T) {
	const (
		calls     = 100
		maxMemory = 8 << 20
		// maxEach is what the backend server can send on one connection: the limit
		// of a body, and what the buffers of both sockets hold.
		maxEach = 12 << 20
	)
	tests := map[string]struct{ begin, forever string }{
		"status line":         {"HTTP/1.1 200 ", "O"},
		"header line":         {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":        {"HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n"},
		"informational":       {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"no HTTP at all":      {"", "nonsense "},
		"body without length": {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		"chunk size":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-T: 1\r\n"},
		"body of a refusal":   {"HTTP/1.1 503 Busy\r\n" + header.RequestID + ": ID\r\n" + header.Refused + ": overloaded\r\n\r\n", "x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var sending, most atomic.Int64
			o, server := rawOwner(t, owner.Config{AnswerBytes: 1 << 20}, func(c *standin.RawConn) {
				r, err := c.ReadRequest()
				for err == nil && r.Header.Get(header.RequestID) == "other" {
					_ = c.Write(response(200, "other", "", "other's"))
					r, err = c.ReadRequest()
				}
				if err != nil {
					return
				}
				sending.Add(1)
				defer sending.Add(-1)
				if c.Write(strings.ReplaceAll(test.begin, "ID", r.Header.Get(header.RequestID))) == nil {
					sent := int64(c.WriteForever(test.forever))
					for old := most.Load(); sent > old && !most.CompareAndSwap(old, sent); old = most.Load() {
					}
				}
			})
			o.Announce(owner.Announcement{Service: "peals", Address: server.Address(), Slots: 40 * calls, Incarnation: "large"})
			before := standin.LiveMemory()
			var wg sync.WaitGroup
			answers := make([]call.Answer, calls)
			for i := range answers {
				wg.Go(func() { o.Call(context.Background(), named(fmt.Sprint(i), 10*time.Second), &answers[i]) })
			}
			var other call.Answer
			o.Call(context.Background(), named("other", 2*time.Second), &other)
			qt.Check(t, other.Err == nil, qt.IsTrue, qt.Commentf("%v", other.Err))
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			more := standin.PeakMemory(before, done)
			t.Logf("%.1f MB more at most", float64(more)/(1<<20))
			qt.Check(t, more < maxMemory, qt.IsTrue, qt.Commentf("%d bytes", more))
			for i := range answers {
				if !qt.Check(t, answers[i].Err != nil, qt.IsTrue) {
					continue
				}
				if name == "body of a refusal" {
					qt.Check(t, answers[i].Err.Verdict, qt.Equals, verdict.NotRun, qt.Commentf("%v", answers[i].Err))
				} else {
					qt.Check(t, answers[i].Err.Verdict, qt.Not(qt.Equals), verdict.NotRun)
				}
			}
			for end := time.Now().Add(2 * time.Second); sending.Load() > 0 && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			qt.Check(t, sending.Load(), qt.Equals, int64(0))
			qt.Check(t, most.Load() < maxEach, qt.IsTrue, qt.Commentf("%d bytes", most.Load()))
		})
	}
}

// TestSlowRefusal has a backend server refuse a request with a body that arrives
// slowly. The refusal must not wait for it.
func TestSlowRefusal(t *testing.T) {
	o, _ := rawOwner(t, owner.Config{}, func(c *standin.RawConn) {
		if _, err := c.ReadRequest(); err != nil {
			return
		}
		_ = c.Write("HTTP/1.1 503 Busy\r\n" + header.Refused + ": overloaded\r\nContent-Length: 100\r\n\r\nb")
		c.AwaitClose()
	})
	var answer call.Answer
	began := time.Now()
	o.Call(context.Background(), named("first", 3*time.Second), &answer)
	qt.Assert(t, answer.Err != nil, qt.IsTrue)
	qt.Check(t, answer.Err.Verdict, qt.Equals, verdict.NotRun)
	qt.Check(t, time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
}
