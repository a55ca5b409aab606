// Package httpconn provides connections for a transport of net/http that are given up after
// an invalid response, and that know what net/http does not tell: whether anything of a request
// was written to them, and whether a response of HTTP/1.0 had a transfer coding.
//
// To net/http a connection is idle as soon as all of a response was read, before its user
// has seen the response. If the response turns out to be invalid, where the next one begins
// is unknown, and another request may have got the connection already.
package httpconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Conn is a connection of a transport. It hides the other methods of the connection that it
// wraps, so that every write passes Write. A [Use] tells it where requests begin and end.
type Conn struct {
	net.Conn
	// state is unwritten, written or sealed.
	state atomic.Uint32
	// used is held by the current request, from acquire to release.
	used sync.Mutex
	// ended is set once a write has found that the other side has ended its stream.
	ended atomic.Bool
	// givenUp is set after an invalid response, or if ended is. It is guarded by used.
	givenUp bool
	oldHead oldHead
}

// The states of a connection: nothing, or something, of the current request was written, or
// nothing can be written any more.
const (
	unwritten = iota
	written
	sealed
)

// New returns a Conn that wraps conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// DialFunc opens a connection, as [net/http.Transport.DialContext] does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections with dial and wraps them in a Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}

// Write implements net.Conn. It discards the rest of a request if the other side has ended its
// stream in order and takes nothing more, as a server may that responds early: to net/http a
// failed write would be the end of the request, although the response can still be read.
func (c *Conn) Write(p []byte) (int, error) {
	first := c.state.CompareAndSwap(unwritten, written)
	if !first && c.state.Load() == sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, syscall.EPIPE) && (!first || n > 0) {
		c.ended.Store(true)
		return len(p), nil
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.oldHead.observe(p[:n])
	return n, err
}

// acquire marks the start of a request on the connection. It waits until the request before
// is released.
func (c *Conn) acquire() {
	c.used.Lock()
	if c.ended.Load() {
		c.giveUp()
	}
	c.state.CompareAndSwap(written, unwritten)
	c.oldHead.expect()
}

// giveUp closes the connection, and prevents further writes.
func (c *Conn) giveUp() {
	c.givenUp = true
	c.state.Store(sealed)
	_ = c.Close()
}

// release ends the request that has acquired the connection.
func (c *Conn) release(valid bool) {
	if !valid {
		c.giveUp()
	}
	c.used.Unlock()
}

// seal prevents further writes if none has begun since acquire, and reports whether so.
// Net/http may write in the background, so that checking alone would not be enough.
func (c *Conn) seal() bool {
	if !c.state.CompareAndSwap(unwritten, sealed) {
		return c.state.Load() == sealed
	}
	_ = c.Close()
	return true
}

// Use is the use of connections by one request: of one, or of several if net/http finds that
// a connection is closed. The zero value has used none. Its methods must not be called by
// several goroutines at once.
type Use struct {
	// conn is the connection that the request has acquired, nil if none.
	conn *Conn
	// written is set if the request may have been written to an earlier connection.
	written bool
}

// Acquire begins the use of a connection that net/http has got for the request, as
// [net/http/httptrace.ClientTrace.GotConn] reports it. It waits until the response to the
// request before on that connection has been judged. Connections of other types are ignored.
func (u *Use) Acquire(conn net.Conn) {
	if u.conn != nil {
		u.written = !u.Seal()
		u.Release(true)
	}
	if c, ok := conn.(*Conn); ok {
		c.acquire()
		u.conn = c
	}
}

// Seal prevents further writes of the request if none has begun, and reports whether so.
func (u *Use) Seal() bool { return !u.written && u.conn != nil && u.conn.seal() }

// GivenUp reports whether the connection had been given up when the request got it, because
// of an invalid response or because the other side had ended its stream. Nothing is written
// to such a connection.
func (u *Use) GivenUp() bool { return u.conn != nil && u.conn.givenUp }

// Release ends the use of connections. Unless the response was valid, or there was none, the
// connection is closed and takes no other request.
func (u *Use) Release(valid bool) {
	if u.conn != nil {
		u.conn.release(valid)
		u.conn = nil
	}
}
