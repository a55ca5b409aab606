package socket

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
)

// ending is what a Conn knows of the way in which its connection ended. The zero value
// knows of no failure.
//
// The kernel reports the failure of a connection once, to whichever of Read and Write comes
// first. A Read after that gets the end of the stream, as if the other host had sent all
// that it had to send.
type ending struct {
	// writing is held during a Write, until its error has been observed.
	writing sync.Mutex
	// failure is the first failure of the connection, nil if there was none.
	failure atomic.Pointer[error]
}

// observe keeps err, the error of a Read or Write or nil, if it is a failure of the
// connection. EPIPE is none: the connection failed after the other host had ended its
// stream, or its failure was reported before.
func (e *ending) observe(err error) {
	if err != nil { // Else no memory is allocated.
		e.keepFailure(err)
	}
}

func (e *ending) keepFailure(err error) {
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		e.failure.CompareAndSwap(nil, &err)
	}
}

// awaitWrite waits until the error of a Write in progress has been observed.
func (e *ending) awaitWrite() {
	e.writing.Lock()
	defer e.writing.Unlock()
}

// endOfStream returns the error of a Read to which the kernel has reported the end of the
// stream: the failure of the connection or, if there was none, io.EOF.
func (c *Conn) endOfStream() error {
	if s, err := c.sending(); err == nil && s.closed {
		// The failure may be that of a Write which has not returned yet. It does not
		// block, since the kernel has given the connection up.
		c.ending.awaitWrite()
	}
	if failure := c.ending.failure.Load(); failure != nil {
		return *failure
	}
	return io.EOF
}
