package owner

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/verdict"
)

// TestInvalidResponsesAreReported checks that each response that is not passed on is counted,
// and that one of them is logged with the identifier of its request.
func TestInvalidResponsesAreReported(t *testing.T) {
	const calls = 5
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		response string
		code     verdict.Code
		event    *event.Event
		status   int
	}{
		"status":                {"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", verdict.StatusInvalid, eventStatusInvalid, 0},
		"blank in a name":       {ok + "X Field: 1\r\nContent-Length: 0\r\n\r\n", verdict.HeadInvalid, eventHeadInvalid, 200},
		"blank in a trailer":    {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX Field: 1\r\n\r\n", verdict.HeadInvalid, eventHeadInvalid, 200},
		"control byte in head":  {ok + "X\x01Field: 1\r\n\r\n", verdict.BackendBroken, eventResponseBroken, 0},
		"part of a head":        {ok, verdict.BackendBroken, eventResponseBroken, 0},
		"part of a body":        {ok + "Content-Length: 5\r\n\r\npart", verdict.BackendBroken, eventResponseBroken, 200},
		"part of chunks":        {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\npart", verdict.BackendBroken, eventResponseBroken, 200},
		"reset, without length": {ok + "\r\npart", verdict.BackendBroken, eventResponseBroken, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewRawServer(func(c *standin.RawConn) {
				if _, err := c.ReadRequest(); err != nil {
					return
				}
				_ = c.Write(test.response)
				if strings.HasPrefix(name, "reset") {
					time.Sleep(5 * time.Millisecond)
					c.Reset()
				}
			})
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = server.Close() }()
			o, err := New(Config{AnswerBytes: 1024, Admission: admission.New(admission.Config{})})
			qt.Assert(t, err, qt.IsNil)
			o.Announce(Announcement{Service: "peals", Address: server.Address(), Slots: 1})

			lines := memory.New()
			defer log.SetHandler(log.Log.(*log.Logger).Handler)
			log.SetHandler(lines)
			kind := invalidKinds[test.code]
			defer func(kind invalidKind) { invalidKinds[test.code] = kind }(kind)
			kind.lines = rate.NewLimiter(0, 1) // One line in all.
			invalidKinds[test.code] = kind
			before := kind.count.Value()
			for range calls {
				var answer call.Answer
				o.Call(context.Background(), &call.Request{ID: "1", RequestID: "request", Service: "peals", Target: "/", Remaining: 5 * time.Second}, &answer)
				qt.Check(t, answer.Err.Code, qt.Equals, test.code, qt.Commentf("%v", answer.Err))
			}
			qt.Check(t, kind.count.Value()-before, qt.Equals, int64(calls))
			var logged []*log.Entry
			for _, entry := range lines.Entries {
				if entry.Message == test.event.Name() {
					logged = append(logged, entry)
				}
			}
			qt.Assert(t, logged, qt.HasLen, 1)
			qt.Check(t, logged[0].Fields["request"], qt.Equals, "request")
			qt.Check(t, logged[0].Fields["status"], qt.Equals, test.status)
		})
	}
}
