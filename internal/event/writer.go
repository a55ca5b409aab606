package event

import (
	"io"
	"sync"
	"sync/atomic"
)

// Writer writes lines to another writer asynchronously. Write never blocks: if the
// buffer is full, it drops the line and counts it.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	failed  atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// NewWriter returns a Writer that buffers at most the given number of lines.
func NewWriter(out io.Writer, lines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a copy of one line, or drops it if the buffer is full. It never
// returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or failed to be written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() + w.failed.Load() }

// Close waits until the buffered lines are written. Write must not be called after
// or during Close.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.lines) })
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.failed.Add(1)
		}
	}
}
