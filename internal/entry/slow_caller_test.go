package entry

import (
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowWriter is the response writer of a caller that reads slowly.
type slowWriter struct {
	http.ResponseWriter
	bytesPerS int
	deadline  time.Time
	written   int
}

func (w *slowWriter) SetWriteDeadline(deadline time.Time) error {
	w.deadline = deadline
	return nil
}

func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(len(p)) * time.Second / time.Duration(w.bytesPerS))
	if time.Now().After(w.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	w.written += len(p)
	return len(p), nil
}

// TestSlowCallerGetsWholeBody guards against a large answer that is cut off because its
// caller takes longer than the timeout for all of it, though it goes on reading.
func TestSlowCallerGetsWholeBody(t *testing.T) {
	tests := map[string]struct {
		bytes, bytesPerS, want int
	}{
		"fast":         {bytes: 1 << 20, bytesPerS: 100 << 20, want: 1 << 20},
		"slow":         {bytes: 1 << 20, bytesPerS: 4 << 10, want: 1 << 20},
		"no body":      {bytes: 0, bytesPerS: 1, want: 0},
		"hardly reads": {bytes: 1 << 20, bytesPerS: 100, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &slowWriter{bytesPerS: test.bytesPerS}
				new(Entry).writeBody(w, make([]byte, test.bytes))
				qt.Check(t, w.written, qt.Equals, test.want)
			})
		})
	}
}
