package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// relayChunkBytes is the buffer size of one read from a connection.
	relayChunkBytes = 16 << 10
	// relayQueueChunks is the largest number of queued chunks for one direction
	// of a connection.
	relayQueueChunks = 256
)

// Direction is a bit set of the directions of a relay's traffic.
type Direction uint8

// The directions: ToTarget is from the relay's clients to its target, and FromTarget
// is the reverse.
const (
	ToTarget Direction = 1 << iota
	FromTarget
	BothDirections = ToTarget | FromTarget
)

// Relay forwards TCP connections to a target, and can block and delay their traffic.
// Blocked traffic behaves as in a network that drops all packets: connections stay
// open, new ones are accepted, and data that is sent meanwhile arrives after Restore.
type Relay struct {
	listener   net.Listener
	target     string
	toTarget   link
	fromTarget link

	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup

	mu sync.Mutex
	// resets counts the calls of Reset. It tells whether Reset was called while a
	// connection to the target was being opened; that connection is then reset too.
	resets int
	conns  map[net.Conn]struct{}
}

// NewRelay starts a relay to target that listens on a free loopback port.
func NewRelay(target string) (*Relay, error) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := Listen(ctx, "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, err
	}
	r := &Relay{
		listener: listener,
		target:   target,
		ctx:      ctx,
		cancel:   cancel,
		conns:    map[net.Conn]struct{}{},
	}
	r.group.Go(r.accept)
	return r, nil
}

// Address returns the host and port on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut blocks all traffic in the directions d until Restore is called.
func (r *Relay) Cut(d Direction) { r.forEachLink(d, (*link).block) }

// Restore lets blocked traffic in the directions d through again.
func (r *Relay) Restore(d Direction) { r.forEachLink(d, (*link).restore) }

// Delay delays data that is sent in the directions d by delay. It does not affect
// data that the relay has already read.
func (r *Relay) Delay(d Direction, delay time.Duration) {
	r.forEachLink(d, func(l *link) { l.setDelay(delay) })
}

// Reset closes all connections with TCP resets. The relay still accepts new ones.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resets++
	for conn := range r.conns {
		abort(conn)
	}
}

// Close closes the listener, resets all connections, and waits for the goroutines
// that serve them.
func (r *Relay) Close() error {
	r.cancel()
	err := r.listener.Close()
	r.Reset()
	r.group.Wait()
	return err
}

func (r *Relay) forEachLink(d Direction, change func(*link)) {
	if d&ToTarget != 0 {
		change(&r.toTarget)
	}
	if d&FromTarget != 0 {
		change(&r.fromTarget)
	}
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.serve(conn) })
	}
}

// serve forwards one connection of a client until both directions have ended.
func (r *Relay) serve(client net.Conn) {
	resets := r.resetCount()
	var dialer net.Dialer
	target, err := dialer.DialContext(r.ctx, "tcp", r.target)
	if err != nil {
		abort(client)
		return
	}
	r.track(resets, client, target)
	defer r.untrack(client, target)
	var directions conc.WaitGroup
	directions.Go(func() { r.forward(&r.toTarget, target, client) })
	directions.Go(func() { r.forward(&r.fromTarget, client, target) })
	directions.Wait()
}

func (r *Relay) resetCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resets
}

// track registers connections for Reset. It resets them at once if r.resets is no
// longer equal to resets.
func (r *Relay) track(resets int, conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.conns[conn] = struct{}{}
		if resets != r.resets {
			abort(conn)
		}
	}
}

func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.conns, conn)
		_ = conn.Close()
	}
}

// chunk is the result of one read: data, or the error that ended the connection,
// or both. It is delivered at or after the time due.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

// forward copies data from one connection to another. It holds the data back while
// the link is blocked, and for the link's delay.
func (r *Relay) forward(l *link, to, from net.Conn) {
	chunks := make(chan chunk, relayQueueChunks)
	ctx, cancel := context.WithCancel(r.ctx)
	var reader conc.WaitGroup
	reader.Go(func() { read(ctx, l, from, chunks) })
	for c := range chunks {
		if err := deliver(ctx, l, to, c); err != nil {
			abort(to)
			abort(from)
			break
		}
	}
	cancel()
	reader.Wait()
}

// read reads chunks from a connection until an error or the end of the data.
func read(ctx context.Context, l *link, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		data := make([]byte, relayChunkBytes)
		n, err := from.Read(data)
		c := chunk{due: time.Now().Add(l.currentDelay()), data: data[:n], err: err}
		select {
		case chunks <- c:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver writes one chunk once it is due and the link is not blocked.
func deliver(ctx context.Context, l *link, to net.Conn, c chunk) error {
	if !sleepContext(ctx, time.Until(c.due)) {
		return ctx.Err()
	}
	if err := l.awaitRestored(ctx); err != nil {
		return err
	}
	if _, err := to.Write(c.data); err != nil {
		return err
	}
	if !errors.Is(c.err, io.EOF) {
		return c.err
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// abort closes a connection with a TCP reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// link is the state of one direction of a relay, for all its connections.
type link struct {
	mu    sync.Mutex
	delay time.Duration
	// restored is closed when the link is restored. It is nil if the link is not
	// blocked.
	restored chan struct{}
}

func (l *link) block() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.restored == nil {
		l.restored = make(chan struct{})
	}
}

func (l *link) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.restored != nil {
		close(l.restored)
		l.restored = nil
	}
}

func (l *link) setDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

func (l *link) currentDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

// awaitRestored waits until the link is not blocked, or until ctx ends.
func (l *link) awaitRestored(ctx context.Context) error {
	for {
		l.mu.Lock()
		restored := l.restored
		l.mu.Unlock()
		if restored == nil {
			return nil
		}
		select {
		case <-restored:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
