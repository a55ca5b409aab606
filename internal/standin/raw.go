package standin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/sourcegraph/conc"
)

// RawServer is a server whose connections are handled by a function that reads
// requests and writes arbitrary bytes, so that it can misbehave in ways that a
// server of net/http can't.
type RawServer struct {
	listener net.Listener
	serve    func(*RawConn)

	mu     sync.Mutex
	closed bool
	conns  map[*RawConn]struct{}
	wg     conc.WaitGroup
}

// NewRawServer returns a server on a loopback address that calls serve for each
// connection, and closes the connection when serve returns.
func NewRawServer(serve func(*RawConn)) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // It does not block.
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: listener, serve: serve, conns: make(map[*RawConn]struct{})}
	s.wg.Go(s.accept)
	return s, nil
}

// Address returns the host and port at which the server listens.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

func (s *RawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // Close has closed the listener.
		}
		c := &RawConn{conn: conn, reader: bufio.NewReader(conn)}
		if s.track(c) {
			s.wg.Go(func() {
				defer s.untrack(c)
				s.serve(c)
			})
		}
	}
}

// track records an open connection, so that Close closes it. If the server is
// closed, track closes the connection and returns false.
func (s *RawServer) track(c *RawConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.conn.Close()
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// untrack closes a connection. It does so with the lock held, so that Close doesn't
// find the connection closed already and report that as an error.
func (s *RawServer) untrack(c *RawConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.conn.Close()
}

// Close closes all connections and waits for their functions to return.
func (s *RawServer) Close() error {
	s.mu.Lock()
	s.closed = true
	err := s.listener.Close()
	for c := range s.conns {
		err = errors.Join(err, c.conn.Close())
	}
	s.mu.Unlock()
	s.wg.Wait()
	return err
}

// RawConn is a connection of a RawServer.
type RawConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// ReadRequest reads one request with its body, which is then empty in the result.
func (c *RawConn) ReadRequest() (*http.Request, error) {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// ReadBytes reads and discards n bytes.
func (c *RawConn) ReadBytes(n int64) error {
	_, err := io.CopyN(io.Discard, c.reader, n)
	return err
}

// CloseWrite ends the stream to the other side in order. The other direction stays open.
func (c *RawConn) CloseWrite() error {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.CloseWrite()
}

// Write writes the text as it is. It fails once the other side has closed the
// connection and noticed that more arrives.
func (c *RawConn) Write(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// WriteForever writes the text over and over until the other side closes the
// connection, and returns the number of bytes written.
func (c *RawConn) WriteForever(text string) int {
	chunk := []byte(strings.Repeat(text, max(4096/len(text), 1)))
	total := 0
	for {
		n, err := c.conn.Write(chunk)
		total += n
		if err != nil {
			return total
		}
	}
}

// AwaitClose reads and discards what the other side sends until it closes the
// connection.
func (c *RawConn) AwaitClose() { _, _ = io.Copy(io.Discard, c.reader) }

// Reset closes the connection with a TCP reset.
func (c *RawConn) Reset() { abort(c.conn) }
