package event_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/event"
)

// blockedWriter blocks until it is released, like a pipe without a reader.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := event.NewWriter(out, 2)
	for range 10 {
		n, err := w.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, 5)
	}
	close(out.release)
	qt.Assert(t, w.Close(), qt.IsNil)
	written := int64(bytes.Count(out.Bytes(), []byte("\n")))
	qt.Assert(t, written+w.Dropped(), qt.Equals, int64(10))
	qt.Assert(t, w.Dropped() >= 7, qt.IsTrue)
}
