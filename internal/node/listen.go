package node

import (
	"context"
	"errors"
	"expvar"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/sys/unix"

	"curranthold.example/curranthold/internal/clientlimit"
	"curranthold.example/curranthold/internal/resource"
	"curranthold.example/curranthold/internal/settings"
	"curranthold.example/curranthold/internal/socket"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 32 << 10
)

// The parts of the node's descriptors that the connections of each listener may use, in
// sixteenths. The rest is for the node's own connections and those of other nodes.
const (
	descriptorParts     = 16
	callerConnections   = 6
	backendConnections  = 4
	operatorConnections = 1
	readyConnections    = 1
	peerHandshakes      = 1
)

// minConnections is the lowest limit of a listener's connections.
const minConnections = 8

// connectionLimit returns the number of descriptors that the given parts amount to, 0
// if the process has no limit.
func connectionLimit(parts int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return max(int(limit.Cur)*parts/descriptorParts, minConnections)
}

// listeners are the network listeners of a node.
type listeners struct {
	caller   *backlogListener
	backend  net.Listener
	peer     net.Listener
	operator net.Listener
	ready    net.Listener
}

func (l *listeners) open(s settings.Settings) error {
	config := socket.ListenConfig()
	open := func(address string) (net.Listener, error) {
		return config.Listen(context.Background(), "tcp", address)
	}
	var errs [5]error
	l.caller, errs[0] = openBacklog(open(s.CallerAddress))
	l.backend, errs[1] = open(s.BackendAddress)
	l.peer, errs[2] = open(s.PeerBindAddress())
	l.operator, errs[3] = open(s.OperatorAddress)
	if s.ReadyAddress != "" {
		l.ready, errs[4] = open(s.ReadyAddress)
	}
	return errors.Join(errs[:]...)
}

// openBacklog wraps a TCP listener so that its backlog can be drained.
func openBacklog(listener net.Listener, err error) (*backlogListener, error) {
	if err != nil {
		return nil, err
	}
	return newBacklogListener(listener.(*socket.TCPListener)), nil
}

// close closes those listeners that are still open.
func (l *listeners) close() error {
	var errs []error
	listeners := []net.Listener{l.backend, l.peer, l.operator, l.ready}
	if l.caller != nil {
		listeners = append(listeners, l.caller)
	}
	for _, listener := range listeners {
		if listener == nil {
			continue
		}
		if err := listener.Close(); !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// backendHandler returns the handler of the backend server's announcements and
// nested calls. With an adapter, it handles only heartbeats; nested calls then
// arrive at the caller address.
func (n *Node) backendHandler() http.Handler {
	if n.adapter.external() {
		return n.adapter.Heartbeats(n)
	}
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/v1/announce", n.owner.ServeAnnounce)
	router.HandlerFunc(http.MethodDelete, "/v1/announce", n.owner.ServeAnnounce)
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleMethodNotAllowed = false
	router.HandleOPTIONS = false
	router.NotFound = n.entry.NestedHandler()
	return router
}

// operatorHandler returns the handler of the resource API and the metrics. With
// an adapter, it serves only the metrics.
func (n *Node) operatorHandler() http.Handler {
	if n.adapter.external() {
		return expvar.Handler()
	}
	operators := make(map[string]string, len(n.settings.Operators))
	for _, operator := range n.settings.Operators {
		operators[operator.TokenSHA256] = operator.Name
	}
	router := httprouter.New()
	router.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	config := resource.Config{
		Host:          n.settings.Host,
		Zone:          n.settings.AvailabilityZone,
		Configuration: n.configuration,
		Table:         n.table,
		Operators:     operators,
	}
	if n.rollout != nil {
		config.Rollouts = n
	}
	router.NotFound = resource.New(config)
	return router
}

// serve starts an HTTP server with limits on the size and the read time of request
// headers, and on its connections: parts of the node's descriptors.
func (n *Node) serve(listener net.Listener, handler http.Handler, parts int) *http.Server {
	server := newServer(handler)
	n.start(server, n.limit(listener, parts))
	return server
}

// limit returns a listener that bounds what its clients make the node hold.
func (n *Node) limit(listener net.Listener, parts int) net.Listener {
	return clientlimit.Listen(listener, n.clients.Gate(connectionLimit(parts)))
}

// start runs an HTTP server until the shutdown.
func (n *Node) start(server *http.Server, listener net.Listener) {
	n.servers = append(n.servers, server)
	n.wg.Go(func() { _ = server.Serve(listener) })
}

// newServer returns an HTTP server whose listener limit returns.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           clientlimit.Handler(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         clientlimit.ConnState,
		ConnContext:       clientlimit.ConnContext,
		// A caller must not get a success that no backend server gave.
		DisableGeneralOptionsHandler: true,
	}
}
