package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/socket"
)

const (
	// dialTimeout is the timeout of a dial to another node.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long a connection without calls is kept open.
	idleTimeout = time.Minute
	// stallTimeout is how long a connection may be stalled before it takes no more
	// calls.
	stallTimeout = 2 * time.Second
)

// Pool keeps one connection to each node that it calls. It implements Caller.
type Pool struct {
	secret      []byte
	address     string
	generations GenerationTracker
	// compact is unset only in tests, where the pool then is one of an earlier build.
	compact bool

	mu     sync.Mutex
	closed bool
	conns  map[string]*pooledConn
	// retired holds the connections that take no more calls but still have some.
	retired map[*pooledConn]struct{}
	done    chan struct{}
	wg      conc.WaitGroup
}

// stallingConn is a connection that knows for how long the other node has not read, 0
// if it reads.
type stallingConn interface {
	StalledFor() time.Duration
}

// pooledConn is one connection of a pool, or an attempt to open one. The channel
// opened is closed when the attempt has ended; client or err is set by then.
type pooledConn struct {
	opened   chan struct{}
	conn     stallingConn
	client   *rpc.Client
	err      error
	lastUsed time.Time
	inUse    int
}

// NewPool returns a pool for the node that listens at the given peer address.
func NewPool(secret []byte, address string, generations GenerationTracker) *Pool {
	p := &Pool{
		secret:      secret,
		address:     address,
		generations: generations,
		compact:     true,
		conns:       make(map[string]*pooledConn),
		retired:     make(map[*pooledConn]struct{}),
		done:        make(chan struct{}),
	}
	p.wg.Go(p.closeIdle)
	return p
}

// Call implements Caller. When ctx ends, it returns without waiting for the result;
// the other node is not notified.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.acquire(ctx, address)
	if err != nil {
		callsNotSent.Add(1)
		return fmt.Errorf("%w: %s: %w", ErrNotSent, address, err)
	}
	defer p.release(c)
	request := newRequestBody(args)
	response := &responseBody{reply: reply}
	done := make(chan *rpc.Call, 1)
	if err := p.start(func() { c.client.Go(method, request, response, done) }); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNotSent, address, err)
	}
	var pending *rpc.Call
	select {
	case <-ctx.Done():
		return abandon(ctx, address, request)
	case pending = <-done:
	}
	if response.err != nil {
		callsBroken.Add(1)
		return fmt.Errorf("%w: %s: reply: %w", ErrBroken, address, response.err)
	}
	return p.outcome(address, c, request, pending.Error)
}

// start runs send in the background, since it blocks while the other node does not read.
func (p *Pool) start(send func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return net.ErrClosed
	}
	p.wg.Go(send)
	return nil
}

// abandon ends a call whose context has ended, and returns its error.
func abandon(ctx context.Context, address string, request *requestBody) error {
	if request.abandon() {
		callsNotSent.Add(1)
		return fmt.Errorf("%w: %s: %w", ErrNotSent, address, ctx.Err())
	}
	callsBroken.Add(1)
	return fmt.Errorf("%w: %w", ErrBroken, ctx.Err())
}

// outcome converts the error of a finished net/rpc call to one that Call returns,
// and retires the connection if it may be broken.
func (p *Pool) outcome(address string, c *pooledConn, request *requestBody, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		return err
	}
	p.retire(address, c)
	if !request.started() {
		callsNotSent.Add(1)
		return fmt.Errorf("%w: %s: %w", ErrNotSent, address, err)
	}
	callsBroken.Add(1)
	return fmt.Errorf("%w: %s: %w", ErrBroken, address, err)
}

// acquire returns an open connection to the address, opening one if there is none.
// The caller must release it.
func (p *Pool) acquire(ctx context.Context, address string) (*pooledConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, net.ErrClosed
	}
	c, ok := p.conns[address]
	if ok && c.stalled() {
		p.retireLocked(address, c)
		ok = false
	}
	if !ok {
		c = &pooledConn{opened: make(chan struct{})}
		p.conns[address] = c
		p.wg.Go(func() { p.open(address, c) })
	}
	c.inUse++
	p.mu.Unlock()
	select {
	case <-c.opened:
	case <-ctx.Done():
		p.release(c)
		return nil, ctx.Err()
	}
	if c.err != nil {
		p.release(c)
		return nil, c.err
	}
	return c, nil
}

// stalled reports whether the other node has not read for stallTimeout. Only the holder
// of the pool's lock may call it.
func (c *pooledConn) stalled() bool {
	return c.conn != nil && c.conn.StalledFor() >= stallTimeout
}

func (p *Pool) release(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inUse--
	c.lastUsed = time.Now()
	if _, retired := p.retired[c]; retired && c.inUse == 0 {
		delete(p.retired, c)
		_ = c.client.Close()
	}
}

// open dials the address and performs the handshake.
func (p *Pool) open(address string, c *pooledConn) {
	conn, client, err := p.dial(address)
	p.mu.Lock()
	c.conn, c.client, c.err = conn, client, err
	if p.closed && err == nil {
		c.err = net.ErrClosed
		_ = client.Close()
	}
	if c.err != nil && p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	close(c.opened)
}

func (p *Pool) dial(address string) (stallingConn, *rpc.Client, error) {
	dialer := socket.Dialer(dialTimeout)
	dialer.LocalAddr = p.localAddr()
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	reader := bufio.NewReader(conn)
	compact, err := clientHandshake(conn, reader, p.secret, p.address, p.compact)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	connectionsOpened.Add(1)
	session := session{remote: address, compact: compact}
	client := rpc.NewClientWithCodec(&clientCodec{messageConn: newMessageConn(conn, reader, p.generations, session)})
	return conn.(stallingConn), client, nil
}

// localAddr returns the local address for outgoing connections: the IP address of
// this node's own peer address, so that a host with several addresses uses that
// one. It returns nil if the peer address is unspecified or holds a host name.
func (p *Pool) localAddr() net.Addr {
	own, err := netip.ParseAddrPort(p.address)
	if err != nil || own.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: own.Addr().AsSlice()}
}

// retire removes a connection from the pool. It is closed once its calls have ended: the
// failure of one of them need not affect the others.
func (p *Pool) retire(address string, c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retireLocked(address, c)
}

// retireLocked is retire for a holder of the lock.
func (p *Pool) retireLocked(address string, c *pooledConn) {
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	if c.inUse == 0 {
		_ = c.client.Close()
		return
	}
	p.retired[c] = struct{}{}
}

// closeIdle closes connections that have been idle for longer than idleTimeout,
// until the pool is closed.
func (p *Pool) closeIdle() {
	ticker := time.NewTicker(idleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case now := <-ticker.C:
			for _, client := range p.removeIdle(now) {
				_ = client.Close()
			}
		}
	}
}

func (p *Pool) removeIdle(now time.Time) []*rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	var idle []*rpc.Client
	for address, c := range p.conns {
		if c.inUse == 0 && c.client != nil && now.Sub(c.lastUsed) > idleTimeout {
			delete(p.conns, address)
			idle = append(idle, c.client)
		}
	}
	return idle
}

// Close closes all connections and waits for those that are being opened.
func (p *Pool) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	close(p.done)
	for _, c := range p.conns {
		if c.client != nil {
			_ = c.client.Close()
		}
	}
	for c := range p.retired {
		_ = c.client.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
	return nil
}
