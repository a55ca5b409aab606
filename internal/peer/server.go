package peer

import (
	"bufio"
	"container/list"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/event"
)

// closeTimeout bounds how long Server.Close leaves open the connections of calls in
// progress.
const closeTimeout = 300 * time.Millisecond

// acceptRetryDelay is the time after which Serve accepts again when the process has no
// free descriptor.
const acceptRetryDelay = 50 * time.Millisecond

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
	// handshakes holds the connections whose handshake is not complete, the oldest
	// first, and maxHandshakes limits their number; 0 means no limit.
	handshakes    list.List
	maxHandshakes int
	wg            conc.WaitGroup
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

// SetMaxHandshakes limits how many connections may be without a complete handshake. The
// oldest of more is closed. Any client can open such connections, unlike those of nodes.
// It must be called before Serve.
func (s *Server) SetMaxHandshakes(n int) { s.maxHandshakes = n }

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
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			time.Sleep(acceptRetryDelay) // Descriptors become free when connections end.
			continue
		}
		if err != nil {
			return err
		}
		if shaking := s.track(conn); shaking != nil {
			s.wg.Go(func() { s.serve(conn, shaking) })
		}
	}
}

func (s *Server) serve(conn net.Conn, shaking *list.Element) {
	defer s.untrack(conn)
	reader := bufio.NewReader(conn)
	session, err := serverHandshake(conn, reader, s.secret, s.compact)
	s.endHandshake(shaking)
	if err != nil {
		connectionsRefused.Add(1)
		eventRefused.Log(event.Fields{"remote": conn.RemoteAddr().String(), "error": err.Error()})
		return
	}
	s.rpc.ServeCodec(serverCodec{newMessageConn(conn, reader, s.generations, session)})
}

// track records an open connection, so that Close closes it, and its handshake. If the
// server is closed, track closes the connection and returns nil.
func (s *Server) track(conn net.Conn) (shaking *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return nil
	}
	if s.maxHandshakes > 0 && s.handshakes.Len() >= s.maxHandshakes {
		oldest := s.handshakes.Remove(s.handshakes.Front()).(net.Conn)
		_ = oldest.Close()
		handshakesEnded.Add(1)
	}
	s.conns[conn] = struct{}{}
	return s.handshakes.PushBack(conn)
}

func (s *Server) endHandshake(shaking *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshakes.Remove(shaking) // Does nothing if track has removed it.
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
