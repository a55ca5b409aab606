// Package node builds the components of a node and runs them.
package node

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/claim"
	"curranthold.example/curranthold/internal/clientlimit"
	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/entry"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/membership"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/pipeline"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/quota"
	"curranthold.example/curranthold/internal/rollout"
	"curranthold.example/curranthold/internal/settings"
	"curranthold.example/curranthold/internal/tally"
	"curranthold.example/curranthold/pkg/object"
)

const (
	// usedRetryFraction is the fraction of the configured retry percentage that
	// nodes use for their own retries. The rest is reserved for the nested calls of
	// retried calls: these count as retries, but nodes make them even if they have
	// no retry left.
	usedRetryFraction = 0.85
	// retryBurstDivisor divides the fleet's configured burst of retries; the nodes
	// share the result. The rest is reserved for the nested calls of retried calls.
	retryBurstDivisor = 2
	// overageDivisor divides a configured overage. Nodes raise the rates of client
	// accounts and the request rates of cold backend servers by the result; the rest
	// covers inexact estimates and late heartbeats.
	overageDivisor = 2
	// expiryInterval is the time between two checks whether the backend server's
	// announcement has expired.
	expiryInterval = 500 * time.Millisecond
)

// Node is one node of the fleet.
type Node struct {
	settings      settings.Settings
	adapter       Adapter
	platform      *platform.Client
	table         platform.Table
	pool          *peer.Pool
	peers         *peer.Server
	members       *membership.List
	configuration *configuration.Replica
	// quota and claims are nil with an adapter, and tally is nil without one.
	quota     *quota.Manager
	claims    *claim.Claimer
	tally     *tally.Manager
	admission *admission.Controller
	balancer  *balance.Balancer
	// rollout, records and versions are nil if the settings disable rollouts.
	rollout  *rollout.Manager
	records  *rolloutRecords
	versions *versionGate
	// withdrawal is used only with rollouts.
	withdrawal withdrawal
	owner      *owner.Owner
	entry      *entry.Entry
	// leaving holds the hosts that have announced that they are leaving. Only the
	// membership's callback uses it.
	leaving map[string]bool
	// storeEra is the highest era of the platform's store that the node has learned of.
	// Only the configuration's callback uses it.
	storeEra uint64
	pending  pendingHeartbeat
	// retrySlack is settings.Limits.RetrySlack as last loaded.
	retrySlack atomic.Int64
	// accepting is set while the node accepts new calls.
	accepting atomic.Bool

	// memberSnapshot needs no lock: calls of applyMembers never overlap.
	memberSnapshot memberSnapshot
	listeners      listeners
	// clients bounds what clients make the node hold.
	clients *clientlimit.Budget
	servers []*http.Server
	// pipelined is the listener for callers' pipelined requests, nil if none are read ahead.
	pipelined *pipeline.Listener
	wg        conc.WaitGroup
}

// generationSource implements peer.GenerationTracker with a replica of the
// configuration. The replica is set after construction, because the replica and the
// pool depend on each other.
type generationSource struct{ replica *configuration.Replica }

func (g *generationSource) Current() uint64 { return g.replica.Snapshot().Generation() }

func (g *generationSource) Observe(generation uint64, address string) {
	g.replica.ObserveGeneration(generation, address)
}

// New returns a node with the built-in interfaces and opens its listeners. The
// node serves nothing before Run.
func New(s settings.Settings) (*Node, error) { return NewWithAdapter(s, Adapter{}) }

// NewWithAdapter is like New, but takes the node's interfaces from the adapter.
func NewWithAdapter(s settings.Settings, adapter Adapter) (*Node, error) {
	n := &Node{
		settings: s, adapter: adapter, table: adapter.Table, leaving: make(map[string]bool),
		storeEra: configuration.Era(0),
	}
	n.retrySlack.Store(int64(s.Limits.RetrySlack))
	n.clients = clientlimit.New(clientlimit.Limits{
		MemoryBytes:      int64(s.Limits.MemoryBytes),
		MaxHeadBytes:     maxHeaderBytes,
		MaxBodyBytes:     int64(s.Limits.RequestBytes),
		MaxResponseBytes: int64(s.Limits.AnswerBytes),
	})
	n.platform = platform.New(platform.Config{
		TableAddress: s.Platform.TableAddress,
		StoreAddress: s.Platform.ObjectStoreAddress,
		Timeout:      s.PlatformTimeout(),
	})
	if n.table == nil {
		n.table = n.platform
	}
	source := new(generationSource)
	n.pool = peer.NewPool(s.Secret(), s.PeerAddress, source)
	n.peers = peer.NewServer(s.Secret(), source)
	n.peers.SetMaxHandshakes(connectionLimit(peerHandshakes))
	n.configuration = configuration.New(configuration.Config{
		Host: s.Host, Zone: s.AvailabilityZone, Table: n.platform, Store: n.platform.Objects(),
		Source: adapter.Source, Peers: n.pool,
	})
	source.replica = n.configuration
	n.members = membership.New(membership.Config{
		ID: s.Host, Zone: s.AvailabilityZone, Address: s.PeerAddress,
		Seeds: s.Seeds, Peers: n.pool, Table: n.table,
	})
	n.buildCallControl()
	if err := n.buildCallPath(); err != nil {
		return nil, errors.Join(err, n.closeComponents())
	}
	n.subscribe()
	if err := n.listeners.open(s); err != nil {
		return nil, errors.Join(err, n.closeComponents())
	}
	return n, nil
}

// buildCallControl builds the components that limit and route calls.
func (n *Node) buildCallControl() {
	s := n.settings
	if n.adapter.external() {
		n.tally = tally.New(tally.Config{
			Host: s.Host, Zone: s.AvailabilityZone, Incarnation: n.members.Incarnation(), Peers: n.pool,
			ExpectedHosts: n.members.ExpectedHosts,
		})
	} else {
		n.quota = quota.New(quota.Config{
			Host: s.Host, Zone: s.AvailabilityZone, Incarnation: n.members.Incarnation(),
			Peers: n.pool, Table: n.table,
		})
		n.claims = claim.New(claim.Config{
			Host: s.Host, Zone: s.AvailabilityZone, Address: s.PeerAddress,
			Incarnation: n.members.Incarnation(), Secret: s.Secret(), Peers: n.pool, Table: n.table,
		})
	}
	n.admission = admission.New(admission.Config{
		Disabled: s.Limits.DisabledAdmission(), RefuseNestedOutOfService: n.adapter.external(),
	})
	n.balancer = balance.New(balance.Config{
		Zone: s.AvailabilityZone, DisableEarlyRefusal: s.Limits.Disabled(settings.EarlyRefusal),
		CandidateFraction: rollout.CanaryPart * n.canaryShare(),
	})
	n.buildRollout()
}

// buildCallPath builds the components at the two ends of a call: the entry, which
// takes calls from callers, and the owner, which passes them to the backend server.
func (n *Node) buildCallPath() error {
	ownerConfig := owner.Config{
		AnswerBytes:       int64(n.settings.Limits.AnswerBytes),
		AnswerHeaderBytes: int64(n.settings.Limits.AnswerHeaderBytes),
		LargeAnswers:      n.settings.Limits.LargeAnswers,
		Admission:         n.admission,
		OnBackendChange:   n.announceBackend,
		IsKeyWithdrawn:    n.isKeyWithdrawn,
		Codec:             n.adapter.Backend,
		Clients:           n.clients,
		Service:           n.declaredService,
		WarmStart:         n.adapter.external() && n.settings.Limits.WarmStart,
		TreeAdmission:     n.adapter.external() && n.settings.Limits.TreeAdmission,

		RequestIDTokens: n.adapter.external(),
		AnnouncementTTL: n.settings.AnnouncementTTL(),
		ColdRateFactor:  1 + float64(n.settings.Limits.ColdOveragePercent)/100/overageDivisor,
		IdleTimeout:     n.settings.IdleTimeout(),
	}
	if n.adapter.external() {
		ownerConfig.CheckHealth = n.checkHealth
	}
	if n.rollout != nil {
		ownerConfig.Rollout = n.versions
	}
	var err error
	if n.owner, err = owner.New(ownerConfig); err != nil {
		return err
	}
	config := entry.Config{
		Host:              n.settings.Host,
		Service:           n.settings.Service,
		Codec:             n.adapter.Callers,
		NoCallTokens:      n.adapter.external(),
		RetryShare:        float64(n.settings.Limits.RetryPercent) / 100 * usedRetryFraction,
		Configuration:     n.configuration,
		Balancer:          n.balancer,
		Peers:             n.pool,
		Owner:             n.owner,
		RequestBytes:      int64(n.settings.Limits.RequestBytes),
		CallsInFlight:     n.settings.Limits.CallsInFlight,
		BytesInFlight:     int64(n.settings.Limits.BytesInFlight),
		Clients:           n.clients,
		DefaultTimeout:    n.settings.DefaultTimeout(),
		ExtraAttempts:     n.settings.Limits.ExtraAttempts,
		DisableRetryLimit: n.settings.Limits.Disabled(settings.RetryBudget),
		DisableHedging:    n.settings.Limits.Disabled(settings.Hedging),
		DisableThrottle:   n.settings.Limits.Disabled(settings.Throttle),
		TreeAdmission:     n.adapter.external() && n.settings.Limits.TreeAdmission,
	}
	if n.rollout != nil {
		config.Rollouts = n.rollout
	}
	if n.adapter.external() {
		config.Quota = n.tally
	} else {
		config.Quota, config.Claims = n.quota, n.claims
	}
	n.entry, err = entry.New(config)
	return err
}

// declaredService returns the spec of a service and whether it is declared.
func (n *Node) declaredService(name string) (spec object.ServiceSpec, declared bool) {
	spec, declared = n.configuration.Snapshot().Services()[name]
	return spec, declared
}

// Run serves until ctx is done, then shuts down gracefully and returns. It calls
// ready once the node accepts calls.
func (n *Node) Run(ctx context.Context, ready func()) error {
	if err := n.registerRPC(); err != nil {
		return errors.Join(err, n.closeComponents())
	}
	control, stop := context.WithCancel(context.Background())
	defer stop()
	n.wg.Go(func() { _ = n.peers.Serve(n.listeners.peer) })
	n.wg.Go(func() { n.members.Run(control) })
	n.wg.Go(func() { _ = n.configuration.Run(control) })
	if n.adapter.external() {
		n.wg.Go(func() { _ = n.tally.Run(control) })
		n.serve(n.listeners.ready, n.adapter.Readiness(n.acceptsCalls), readyConnections)
		n.wg.Go(func() { n.owner.Run(control) })
		n.wg.Go(func() { n.checkBackend(control) })
	} else {
		n.wg.Go(func() { _ = n.quota.Run(control) })
		n.wg.Go(func() { _ = n.claims.Run(control) })
	}
	n.wg.Go(func() { n.expireAnnouncements(control) })
	if n.rollout != nil {
		n.wg.Go(func() { _ = n.rollout.Run(control) })
		n.wg.Go(func() { n.announceCandidate(control) })
	}
	n.wg.Go(func() { n.clients.Run(control) })
	n.serve(n.listeners.backend, n.backendHandler(), backendConnections)
	n.serve(n.listeners.operator, n.operatorHandler(), operatorConnections)
	calls := &drainHandler{handler: n.entry.CallerHandler(), refusal: n.entry.LeavingHandler()}
	var callers *http.Server
	if n.adapter.external() {
		// Callers on this host know no other node, so the node serves them at once
		// and refuses their calls until it has a configuration.
		callers = n.serveCallers(n.refuseUntilConfigured(calls))
	}
	select {
	case <-n.configuration.Ready():
		if callers == nil {
			callers = n.serveCallers(calls)
		}
		n.accepting.Store(true)
		eventReady.Log(event.Fields{
			"host": n.settings.Host, "zone": n.settings.AvailabilityZone,
			"generation": n.configuration.Snapshot().Generation(),
		})
		ready()
		<-ctx.Done()
		n.accepting.Store(false)
	case <-ctx.Done():
	}
	n.leave(callers, calls)
	return n.shutDown(stop)
}

// acceptsCalls reports whether the node accepts new calls.
func (n *Node) acceptsCalls() bool { return n.accepting.Load() }

// refuseUntilConfigured wraps a handler and refuses calls until the node has a
// configuration.
func (n *Node) refuseUntilConfigured(calls http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.configuration.Snapshot().Generation() == 0 {
			n.entry.UnreadyHandler().ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

func (n *Node) expireAnnouncements(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.owner.Expire(now)
		}
	}
}

func (n *Node) registerRPC() error {
	receivers := map[string]any{
		"Membership":              n.members.RPC(),
		configuration.ServiceName: n.configuration.RPC(),
		"Owner":                   n.owner.RPC(),
	}
	if n.adapter.external() {
		receivers[tally.ServiceName] = n.tally.RPC()
	} else {
		receivers["Quota"] = n.quota.RPC()
		receivers["Claim"] = n.claims.RPC()
	}
	if n.rollout != nil {
		receivers[rollout.ServiceName] = n.rollout.RPC()
	}
	var errs []error
	for name, receiver := range receivers {
		errs = append(errs, n.peers.Register(name, receiver))
	}
	return errors.Join(errs...)
}
