package proof

import (
	"context"
	"io"
	"net"
	"sync"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/standin"
)

// peerProxy accepts the connections that other nodes make to the node of one host. It
// forwards each through a relay for the zone that the connection comes from, so
// that a test can partition the host from individual zones.
type peerProxy struct {
	fleet    *fleet
	zone     string
	target   string
	listener net.Listener

	mu sync.Mutex
	// relays holds the relay for the connections from each zone.
	relays map[string]*standin.Relay
	// blocked reports whether connections from one zone to another are blocked.
	blocked func(from, to string) bool
}

func newPeerProxy(f *fleet, h *host) *peerProxy {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", h.address(peerPort))
	qt.Assert(f.t, err, qt.IsNil)
	p := &peerProxy{
		fleet:    f,
		zone:     h.spec.zone,
		target:   h.address(peerListenPort),
		listener: listener,
		relays:   make(map[string]*standin.Relay),
		blocked:  func(string, string) bool { return false },
	}
	go p.accept()
	f.t.Cleanup(p.close)
	return p
}

func (p *peerProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward copies data in both directions between the connection and a connection to
// the relay for its source zone.
func (p *peerProxy) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	relay := p.relayFrom(p.fleet.zoneOf(source))
	if relay == nil {
		return
	}
	outbound, err := net.Dial("tcp", relay.Address())
	if err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(outbound, conn)
		_ = outbound.Close()
	}()
	_, _ = io.Copy(conn, outbound)
}

func (p *peerProxy) relayFrom(zone string) *standin.Relay {
	p.mu.Lock()
	defer p.mu.Unlock()
	if relay := p.relays[zone]; relay != nil {
		return relay
	}
	relay, err := standin.NewRelay(p.target)
	if err != nil {
		return nil
	}
	p.relays[zone] = relay
	p.applyBlocked(zone, relay)
	return relay
}

// setBlocked sets the function that decides from which zones the connections to
// this host are blocked, and applies it to all relays.
func (p *peerProxy) setBlocked(blocked func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	for zone, relay := range p.relays {
		p.applyBlocked(zone, relay)
	}
}

// applyBlocked blocks or restores the relay for the connections from a zone.
func (p *peerProxy) applyBlocked(zone string, relay *standin.Relay) {
	if p.blocked(zone, p.zone) {
		relay.Cut(standin.BothDirections)
		return
	}
	relay.Restore(standin.BothDirections)
}

func (p *peerProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, relay := range p.relays {
		_ = relay.Close()
	}
}
