package proof

import (
	"context"
	"io"
	"net"
	"sync"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/standin"
)

// gateway accepts the connections that other nodes make to the node of one host. It
// forwards each through a relay for the zone that the connection comes from, so
// that a test can cut the host off from single zones.
type gateway struct {
	fleet    *fleet
	zone     string
	target   string
	listener net.Listener

	mu     sync.Mutex
	relays map[string]*standin.Relay
	cut    func(from, to string) bool
}

func newGateway(f *fleet, h *host) *gateway {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", h.address(peerPort))
	qt.Assert(f.t, err, qt.IsNil)
	g := &gateway{
		fleet:    f,
		zone:     h.plan.zone,
		target:   h.address(peerListenPort),
		listener: listener,
		relays:   make(map[string]*standin.Relay),
		cut:      func(string, string) bool { return false },
	}
	go g.accept()
	f.t.Cleanup(g.close)
	return g
}

func (g *gateway) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.forward(conn)
	}
}

// forward copies data in both directions between the connection and a connection to
// the relay for its source zone.
func (g *gateway) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	relay := g.relayFrom(g.fleet.zoneOf(source))
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

func (g *gateway) relayFrom(zone string) *standin.Relay {
	g.mu.Lock()
	defer g.mu.Unlock()
	if relay := g.relays[zone]; relay != nil {
		return relay
	}
	relay, err := standin.NewRelay(g.target)
	if err != nil {
		return nil
	}
	g.relays[zone] = relay
	g.applyCut(zone, relay)
	return relay
}

// setCut sets the function that decides which zones are cut off from this host,
// and applies it to all relays.
func (g *gateway) setCut(cut func(from, to string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
	for zone, relay := range g.relays {
		g.applyCut(zone, relay)
	}
}

func (g *gateway) applyCut(zone string, relay *standin.Relay) {
	if g.cut(zone, g.zone) {
		relay.Cut(standin.BothDirections)
		return
	}
	relay.Restore(standin.BothDirections)
}

func (g *gateway) close() {
	_ = g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, relay := range g.relays {
		_ = relay.Close()
	}
}
