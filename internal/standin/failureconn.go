package standin

import (
	"net"
	"sync"
)

// FailureConn is a connection whose failure the kernel reports to a Write, and to no Read:
// after the first Read, which gets the response, the next waits until a Write has failed.
// That Write does not return before a Read has seen the end.
type FailureConn struct {
	net.Conn
	reads                int
	writeFailed, readEnd chan struct{}
	endWrite, endRead    func()
}

// NewFailureConn returns a FailureConn that passes all to conn.
func NewFailureConn(conn net.Conn) net.Conn {
	c := &FailureConn{Conn: conn, writeFailed: make(chan struct{}), readEnd: make(chan struct{})}
	c.endWrite = sync.OnceFunc(func() { close(c.writeFailed) })
	c.endRead = sync.OnceFunc(func() { close(c.readEnd) })
	return c
}

// Write implements net.Conn.
func (c *FailureConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.endWrite()
		<-c.readEnd
	}
	return n, err
}

// Read implements net.Conn.
func (c *FailureConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		<-c.writeFailed
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.endRead()
	}
	return n, err
}

// Close implements net.Conn.
func (c *FailureConn) Close() error {
	c.endWrite()
	c.endRead()
	return c.Conn.Close()
}
