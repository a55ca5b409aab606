package socket

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the time between two checks of a connection whose data is
	// not all acknowledged. The time is extended by up to checkAlignment.
	checkInterval = 250 * time.Millisecond
	// checkAlignment is the unit of the times of checks. A host with many connections
	// makes its checks together, at most ten times a second: waking an idle processor
	// takes several times as long as a check.
	checkAlignment = 100 * time.Millisecond
	// probeInterval is the longest time between two probes of a closed window.
	probeInterval = time.Second
	// lingerTimeout is how long the kernel keeps a stalled connection that its
	// program does not check, because it is closed or has no processor time.
	lingerTimeout = 30 * time.Second
)

// Conn is a TCP connection that fails when the other host stops responding, and
// stays open while that host responds, also if nothing reads there.
//
// TCP_USER_TIMEOUT does not tell the two apart: the kernel counts the time for which
// the receive window is closed, although the other host answers the probes of it. A
// Conn therefore looks at the connection while written data is not acknowledged. If
// the connection is stalled it extends the option's timeout, and then watches itself
// whether the probes are answered.
type Conn struct {
	*net.TCPConn
	raw syscall.RawConn
	// accepted is set if the other host opened the connection.
	accepted bool
	// writes is the number of writes in progress.
	writes atomic.Int32
	// ending tells Read how the connection ended.
	ending ending
	// watched is set while the timer of the next check runs.
	watched atomic.Bool

	mu     sync.Mutex
	closed bool
	timer  *time.Timer
	// pendingSince is a time before the first byte that is not acknowledged was
	// written, zero if there is none.
	pendingSince time.Time
	// earlier is the state at the last check, if data was pending then.
	earlier sending
	// extended is set while the option differs from userTimeout, since stalledSince.
	extended     bool
	stalledSince time.Time
	// normalInterval is the longest time between two probes otherwise, while an option
	// limits it to probeInterval, else 0.
	normalInterval time.Duration
}

// newConn returns a Conn that takes over the TCP connection. Accepted is set if the other
// host opened it.
func newConn(conn net.Conn, accepted bool) (*Conn, error) {
	tcp := conn.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return &Conn{TCPConn: tcp, raw: raw, accepted: accepted}, nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(-1)
	c.watch()
	c.ending.writing.Lock()
	defer c.ending.writing.Unlock()
	n, err := c.TCPConn.Write(p)
	c.ending.observe(err)
	return n, err
}

// copyBytes is the size of the buffers of ReadFrom, that of io.Copy.
const copyBytes = 32 << 10

// copyBuffers holds buffers of ReadFrom that are not in use. net/http calls it for each
// request with a body, and for most of them the buffer would be the largest allocation.
var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// ReadFrom implements io.ReaderFrom by means of Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	return io.CopyBuffer(struct{ io.Writer }{c}, r, buffer[:])
}

// Read implements net.Conn. It returns io.EOF only if the other host has ended its stream in
// order.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) {
		return n, c.endOfStream()
	}
	c.ending.observe(err)
	return n, err
}

// WriteTo implements io.WriterTo by means of Read.
func (c *Conn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// Close implements net.Conn. On an accepted connection, which carries answers, data that
// was written before is still sent if the other host goes on to respond, also if nothing
// reads there for some seconds. On one that was dialed, requests that nobody waits for are
// dropped after userTimeout.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
	switch {
	case !c.watched.Load():
	case c.accepted:
		c.linger()
	default:
		c.restore()
	}
	return c.TCPConn.Close()
}

// StalledFor returns for how long the other host has taken no data, or too little to
// empty the send buffer, although it responds. It is 0 if the connection is not
// stalled. A stall is found after up to checkInterval and checkAlignment.
func (c *Conn) StalledFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.extended {
		return 0
	}
	return time.Since(c.stalledSince)
}

// stop ends the checks.
func (c *Conn) stop() {
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
}

// watch begins to check the connection, unless it is checked already.
func (c *Conn) watch() {
	if c.watched.Load() || !c.watched.CompareAndSwap(false, true) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingSince.IsZero() {
		c.pendingSince = time.Now()
	}
	c.scheduleCheck()
}

func (c *Conn) scheduleCheck() {
	switch {
	case c.closed:
	case c.timer == nil:
		c.timer = time.AfterFunc(timeToCheck(time.Now()), c.check)
	default:
		c.timer.Reset(timeToCheck(time.Now()))
	}
}

// timeToCheck returns the time from now to the next check, at least checkInterval, which
// ends at a multiple of checkAlignment.
func timeToCheck(now time.Time) time.Duration {
	due := now.Add(checkInterval + checkAlignment - 1)
	return due.Truncate(checkAlignment).Sub(now)
}

// check looks at the written data, and schedules the next check unless all of it is
// acknowledged. Where the kernel does not tell about the data, the connection keeps
// userTimeout and is not checked again.
func (c *Conn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.watched.Store(false) // A write from now on schedules a check itself.
	writing := c.writes.Load() > 0
	s, err := c.sending()
	switch {
	case err != nil:
		c.watched.Store(true)
		return
	case !s.pending() && !writing:
		c.restore()
		return
	case c.extended && s.unanswered():
		c.abort()
		return
	case c.extended || s.stalled(c.earlier):
		c.extend()
	}
	c.earlier = s
	c.watched.Store(true)
	c.scheduleCheck()
}

// sending returns the state of the written data.
func (c *Conn) sending() (s sending, err error) {
	ctlErr := c.raw.Control(func(fd uintptr) { s, err = readSending(int(fd)) })
	if ctlErr != nil {
		return s, ctlErr
	}
	return s, err
}

// extend keeps the kernel from ending the connection because its window is closed.
// The kernel counts from some time after pendingSince.
func (c *Conn) extend() {
	if !c.extended {
		c.extended = true
		c.stalledSince = time.Now()
		c.probeOften()
		stalls.Add(1)
	}
	limit := lingerTimeout
	if c.normalInterval == 0 {
		limit = probeInterval // The kernel sends a probe when the timeout is due.
	}
	_ = c.setOption(unix.TCP_USER_TIMEOUT, time.Since(c.pendingSince)+limit)
}

// probeOften sets the longest time between two probes to probeInterval, if the kernel
// has an option for it.
func (c *Conn) probeOften() {
	var ms int
	var optErr error
	err := c.raw.Control(func(fd uintptr) {
		ms, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_RTO_MAX_MS)
	})
	if err != nil || optErr != nil || c.setOption(unix.TCP_RTO_MAX_MS, probeInterval) != nil {
		return
	}
	c.normalInterval = time.Duration(ms) * time.Millisecond
}

// probeNormally undoes probeOften.
func (c *Conn) probeNormally() {
	if c.normalInterval == 0 {
		return
	}
	_ = c.setOption(unix.TCP_RTO_MAX_MS, c.normalInterval)
	c.normalInterval = 0
}

// restore undoes extend.
func (c *Conn) restore() {
	c.pendingSince = time.Time{}
	c.earlier = sending{}
	if !c.extended {
		return
	}
	c.extended = false
	_ = c.setOption(unix.TCP_USER_TIMEOUT, userTimeout)
	c.probeNormally()
}

// linger makes the kernel go on to send the remaining data once the connection is
// closed, also if the window is closed or closes then.
func (c *Conn) linger() {
	s, err := c.sending()
	if err != nil || !s.pending() {
		return
	}
	_ = c.setOption(unix.TCP_USER_TIMEOUT, time.Since(c.pendingSince)+lingerTimeout)
	c.probeNormally() // Else the kernel would soon give up a closed connection.
}

// abort ends the connection, whose other host does not respond. Reads and writes in
// progress return an error.
func (c *Conn) abort() {
	aborts.Add(1)
	c.stop()
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// setOption sets a TCP option whose value is a time.
func (c *Conn) setOption(option int, d time.Duration) error {
	var optErr error
	err := c.raw.Control(func(fd uintptr) { optErr = setMilliseconds(int(fd), option, d) })
	if err != nil {
		return err
	}
	return optErr
}
