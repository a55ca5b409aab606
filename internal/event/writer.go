package event

import (
	"io"
	"sync"
	"sync/atomic"
)

// Writer passes lines on to another writer in a goroutine of its own. It never
// blocks: a line that finds its buffer full is dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	failed  atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// NewWriter returns a Writer that holds at most the given number of lines.
func NewWriter(out io.Writer, lines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() + w.failed.Load() }

// Close writes the lines that are held and waits. No line may be written after.
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
