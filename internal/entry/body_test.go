package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/clientlimit"
	"curranthold.example/curranthold/pkg/verdict"
)

// countingReader counts what is read of a body without end.
type countingReader struct{ read int64 }

func (r *countingReader) Read(p []byte) (int, error) {
	r.read += int64(len(p))
	return len(p), nil
}

// newBodyEntry returns an entry that can read bodies.
func newBodyEntry(t *testing.T, bytesInFlight, memory int64) *Entry {
	const requestBytes = 1 << 20
	e, err := New(Config{
		RequestBytes: requestBytes, BytesInFlight: bytesInFlight,
		Clients: clientlimit.New(clientlimit.Limits{MemoryBytes: memory, MaxBodyBytes: requestBytes}),
	})
	qt.Assert(t, err, qt.IsNil)
	return e
}

// TestReadBody guards against bodies that are cut off, accepted beyond the limit or read
// though they were announced too large, and against memory that stays reserved.
func TestReadBody(t *testing.T) {
	tests := map[string]struct {
		size, declared int64
		want           verdict.Code
	}{
		"none":                 {0, 0, ""},
		"one byte":             {1, 1, ""},
		"one byte, undeclared": {1, -1, ""},
		"empty, undeclared":    {0, -1, ""},
		"first piece":          {firstBodyBytes, firstBodyBytes, ""},
		"more":                 {firstBodyBytes + 1, firstBodyBytes + 1, ""},
		"more, undeclared":     {firstBodyBytes + 1, -1, ""},
		"largest":              {1 << 20, 1 << 20, ""},
		"largest, undeclared":  {1 << 20, -1, ""},
		"too large":            {1<<20 + 1, 1<<20 + 1, verdict.RequestTooLarge},
		"too large undeclared": {1<<20 + 1, -1, verdict.RequestTooLarge},
		"incomplete":           {5, 10, verdict.BadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newBodyEntry(t, 4<<20, 64<<20)
			sent := bytes.Repeat([]byte{'x'}, int(test.size))
			r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(sent))
			r.ContentLength = test.declared
			body, release, err := e.readBody(httptest.NewRecorder(), r)
			if test.want == "" {
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, bytes.Equal(body, sent), qt.IsTrue)
				qt.Check(t, e.bodies.inUse.Load() >= test.size, qt.IsTrue)
			} else {
				qt.Check(t, verdict.From(err).Code, qt.Equals, test.want)
				qt.Check(t, verdict.Of(err), qt.Equals, verdict.NotRun)
			}
			release()
			qt.Check(t, e.bodies.inUse.Load(), qt.Equals, int64(0))
			qt.Check(t, e.config.Clients.InUse(clientlimit.Bodies), qt.Equals, int64(0))
		})
	}
}

// TestAnnouncedBodyIsNotRead guards against reading a body that was announced too large.
func TestAnnouncedBodyIsNotRead(t *testing.T) {
	e := newBodyEntry(t, 4<<20, 64<<20)
	endless := new(countingReader)
	r := httptest.NewRequest(http.MethodPost, "/", endless)
	r.ContentLength = 4 << 30
	w := httptest.NewRecorder()
	_, release, err := e.readBody(w, r)
	release()
	qt.Check(t, verdict.From(err).Code, qt.Equals, verdict.RequestTooLarge)
	qt.Check(t, endless.read, qt.Equals, int64(0))
	qt.Check(t, w.Header().Get("Connection"), qt.Equals, "close")
}

// TestBodiesTogether guards against bodies that exceed their memory together, and against
// clients that only announce bodies and keep others from sending theirs.
func TestBodiesTogether(t *testing.T) {
	limits := map[string]struct{ bytesInFlight, memory int64 }{
		"bytes in flight": {8 << 20, 0},
		"memory":          {0, 64 << 20},
	}
	for name, limit := range limits {
		t.Run(name, func(t *testing.T) {
			e := newBodyEntry(t, limit.bytesInFlight, limit.memory)
			started := make(chan struct{})
			for range 100 { // Each announces 1 MiB and sends nothing.
				pending, announcer := io.Pipe()
				defer func() { _ = announcer.CloseWithError(errors.New("left")) }()
				r := httptest.NewRequest(http.MethodPost, "/", nil)
				r.Body, r.ContentLength = startedReader{pending, started}, 1<<20
				go func() { _, release, _ := e.readBody(httptest.NewRecorder(), r); release() }()
				<-started
			}
			var held int
			for ; ; held++ {
				r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", 1<<20)))
				body, release, err := e.readBody(httptest.NewRecorder(), r)
				defer release()
				if err != nil {
					qt.Check(t, verdict.From(err).Code, qt.Equals, verdict.Overloaded)
					qt.Check(t, verdict.Of(err), qt.Equals, verdict.NotRun)
					break
				}
				qt.Assert(t, len(body), qt.Equals, 1<<20)
				qt.Assert(t, held < 100, qt.IsTrue)
			}
			qt.Check(t, held >= 3, qt.IsTrue, qt.Commentf("%d", held))
		})
	}
}

// startedReader is a body that sends on started when its first read begins.
type startedReader struct {
	*io.PipeReader
	started chan struct{}
}

func (r startedReader) Read(p []byte) (int, error) {
	r.started <- struct{}{}
	return r.PipeReader.Read(p)
}
