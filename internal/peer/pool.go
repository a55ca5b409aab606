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
	// dialTimeout bounds the opening of a connection to another node.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long a connection without calls is kept.
	idleTimeout = time.Minute
)

// Pool keeps one connection to each node that is called. It implements Caller.
type Pool struct {
	secret  []byte
	address string
	clock   Generations

	mu     sync.Mutex
	closed bool
	conns  map[string]*pooled
	done   chan struct{}
	wg     conc.WaitGroup
}

// pooled is one connection of a pool, or the attempt to open it.
type pooled struct {
	opened   chan struct{}
	client   *rpc.Client
	err      error
	lastUsed time.Time
	inUse    int
}

// NewPool returns a pool for the node that listens at the given peer address.
func NewPool(secret []byte, address string, clock Generations) *Pool {
	p := &Pool{
		secret:  secret,
		address: address,
		clock:   clock,
		conns:   make(map[string]*pooled),
		done:    make(chan struct{}),
	}
	p.wg.Go(p.closeIdle)
	return p
}

// Call implements Caller. When ctx ends, the call's outcome is abandoned; the
// other node is not told.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.acquire(ctx, address)
	if err != nil {
		callsNotSent.Add(1)
		return fmt.Errorf("%w: %s: %w", ErrNotSent, address, err)
	}
	defer p.release(c)
	message := &outgoing{args: args}
	pending := c.client.Go(method, message, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		callsBroken.Add(1)
		return fmt.Errorf("%w: %w", ErrBroken, ctx.Err())
	case <-pending.Done:
		return p.outcome(address, c, message, pending.Error)
	}
}

// outcome classifies the error of a finished net/rpc call.
func (p *Pool) outcome(address string, c *pooled, message *outgoing, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		return err
	}
	p.drop(address, c)
	if !message.written.Load() {
		callsNotSent.Add(1)
		return fmt.Errorf("%w: %s: %w", ErrNotSent, address, err)
	}
	callsBroken.Add(1)
	return fmt.Errorf("%w: %s: %w", ErrBroken, address, err)
}

// acquire returns the open connection to the address, opening it if need be.
func (p *Pool) acquire(ctx context.Context, address string) (*pooled, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, net.ErrClosed
	}
	c, ok := p.conns[address]
	if !ok {
		c = &pooled{opened: make(chan struct{})}
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

func (p *Pool) release(c *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inUse--
	c.lastUsed = time.Now()
}

// open dials the address and performs the handshake.
func (p *Pool) open(address string, c *pooled) {
	client, err := p.dial(address)
	p.mu.Lock()
	c.client, c.err = client, err
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

func (p *Pool) dial(address string) (*rpc.Client, error) {
	dialer := socket.Dialer(dialTimeout)
	dialer.LocalAddr = p.source()
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	if err := clientHandshake(conn, reader, p.secret, p.address); err != nil {
		_ = conn.Close()
		return nil, err
	}
	connectionsOpened.Add(1)
	return rpc.NewClientWithCodec(clientCodec{newLink(conn, reader, p.clock, address)}), nil
}

// source returns the IP address from which connections are opened: that of the
// node's own peer address, also on a host with several.
func (p *Pool) source() net.Addr {
	own, err := netip.ParseAddrPort(p.address)
	if err != nil || own.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: own.Addr().AsSlice()}
}

// drop forgets a broken connection and closes it.
func (p *Pool) drop(address string, c *pooled) {
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	_ = c.client.Close()
}

// closeIdle closes connections that were not used for idleTimeout.
func (p *Pool) closeIdle() {
	ticker := time.NewTicker(idleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case now := <-ticker.C:
			for _, client := range p.takeIdle(now) {
				_ = client.Close()
			}
		}
	}
}

func (p *Pool) takeIdle(now time.Time) []*rpc.Client {
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

// Close closes all connections and waits until none is being opened.
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
	p.mu.Unlock()
	p.wg.Wait()
	return nil
}
