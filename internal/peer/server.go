package peer

import (
	"bufio"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/event"
)

// closeTimeout bounds how long Server.Close leaves open the connections of calls in
// progress.
const closeTimeout = 300 * time.Millisecond

// GenerationTracker supplies this node's configuration generation, which is sent
// with every frame, and is told the generations received from other nodes.
type GenerationTracker interface {
	// Current returns the generation that is in force on this node.
	Current() uint64
	// Observe is called with the generation of another node and that node's peer
	// address, for each frame received.
	Observe(generation uint64, address string)
}

// Server serves the calls of other nodes. Receivers must be registered before
// Serve.
type Server struct {
	secret      []byte
	generations GenerationTracker
	// compact is unset only in tests, where the server then is one of an earlier build.
	compact bool
	rpc     *rpc.Server

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	conns    map[net.Conn]struct{}
	wg       conc.WaitGroup
}

// NewServer returns a server that accepts connections from nodes that know the
// fleet's secret.
func NewServer(secret []byte, generations GenerationTracker) *Server {
	return &Server{
		secret:      secret,
		generations: generations,
		compact:     true,
		rpc:         rpc.NewServer(),
		conns:       make(map[net.Conn]struct{}),
	}
}

// Register makes the receiver's methods callable as "name.Method".
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Serve accepts connections until Close. It returns nil after Close.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return listener.Close()
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if s.track(conn) {
			s.wg.Go(func() { s.serve(conn) })
		}
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.untrack(conn)
	reader := bufio.NewReader(conn)
	session, err := serverHandshake(conn, reader, s.secret, s.compact)
	if err != nil {
		connectionsRefused.Add(1)
		eventRefused.Log(event.Fields{"remote": conn.RemoteAddr().String(), "error": err.Error()})
		return
	}
	s.rpc.ServeCodec(serverCodec{newMessageConn(conn, reader, s.generations, session)})
}

// track records an open connection, so that Close closes it. If the server is
// closed, track closes the connection and returns false.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close stops accepting connections and calls, and waits for the calls in progress. Their
// answers are still sent if they are ready within closeTimeout.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.conns {
		// A connection from which nothing more can be read is closed once the calls
		// that were read from it are answered.
		_ = conn.SetReadDeadline(time.Now())
	}
	s.mu.Unlock()
	timer := time.AfterFunc(closeTimeout, s.closeConns)
	defer timer.Stop()
	s.wg.Wait()
	return nil
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
