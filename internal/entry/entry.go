// Package entry receives calls from callers and from the backend server on its own
// host, and sends each to a host that serves it.
//
// Each call passes through the stages that rootStages or nestedStages lists.
// Stages are registered by name in an init function.
//
// A nested call is one that a backend server makes while it runs another call, its
// parent. A call without a parent is a root request.
package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/claim"
	"curranthold.example/curranthold/internal/clientlimit"
	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/kernel"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/retry"
	"curranthold.example/curranthold/internal/treeadmit"
	"curranthold.example/curranthold/pkg/verdict"
)

// rootStages lists the stages for a call from a caller, in order.
var rootStages = []string{"route", "key", "body", "deadline", "tree", "quota", "claim", "attempt"}

// nestedStages lists the stages for a call from the backend server on this host, in
// order. It has no key and quota stages, because a nested call inherits the client
// account, urgency, deadline and attempt budget of its parent.
var nestedStages = []string{"route", "body", "deadline", "claim", "attempt"}

// stages is the registry of the entry's stages.
var stages kernel.Registry[*Entry, *activeCall]

// Configuration provides the configuration in force on this node.
type Configuration interface {
	Snapshot() *configuration.Snapshot
	// Authenticate returns the client account of the presented client key.
	Authenticate(presented string) (account string, err error)
}

// Quota charges a call to its client account.
type Quota interface {
	Spend(ctx context.Context, account string) error
}

// Claims ensures that a request with an idempotency key or ticket runs at most once.
type Claims interface {
	Begin(ctx context.Context, r claim.Request) (*claim.Claim, error)
	Issue(account string, n int) ([]string, error)
}

// Owner is the component on this host that admits calls and passes them to the
// backend server.
type Owner interface {
	Call(ctx context.Context, request *call.Request, answer *call.Answer)
	Parent(token string) (*owner.Parent, bool)
}

// Rollouts decides which calls are sent to versions that are not in force.
type Rollouts interface {
	// UseCandidate reports whether the next first attempt of a call to the service is
	// sent to a candidate.
	UseCandidate(service string) bool
}

// Config contains the dependencies and settings of an entry.
type Config struct {
	Host string
	// Service is the service of the backend server on this host, if it is known
	// before the backend server announces itself.
	Service string
	// Codec reads and writes the headers of callers; nil selects the headers of
	// package header.
	Codec         Codec
	Configuration Configuration
	Quota         Quota
	// Claims may be nil if no request has an idempotency key or ticket. Callers then
	// can't request tickets, and the path at which they would is like any other.
	Claims   Claims
	Balancer *balance.Balancer
	Peers    peer.Caller
	Owner    Owner
	// Rollouts may be nil.
	Rollouts Rollouts
	// RequestBytes is the maximum size of a request body.
	RequestBytes int64
	// CallsInFlight bounds the concurrent calls from callers, and BytesInFlight
	// the total size of the request bodies held in memory. 0 means no bound.
	CallsInFlight int
	BytesInFlight int64
	// Clients bounds the memory of requests, bodies and responses; nil means no bound.
	Clients *clientlimit.Budget
	// DefaultTimeout is the timeout of routes that set none.
	DefaultTimeout time.Duration
	// ExtraAttempts is the number of attempts that a root request may make beyond
	// its first, on routes that set no limit of their own.
	ExtraAttempts int
	// RetryShare is the number of retries that one first attempt earns at its
	// service; 0 means 0.08.
	RetryShare float64
	// NoCallTokens is set if backend servers pass on no call tokens. The entry then
	// handles every call in the root stages, and infers from the parent and depth in
	// its header whether it is nested (see RequestMetadata). The attempt budget of
	// a call counts only attempts that were offered to a backend server, and is not
	// shared with its nested calls.
	NoCallTokens bool
	// DisableRetryLimit removes the limit that the retry buckets set on the node's
	// retries, to measure the effect of the limit.
	DisableRetryLimit bool
	// DisableHedging disables sending a slow call to a second host as well, to
	// measure the effect of hedging.
	DisableHedging bool
	// DisableThrottle disables the throttle, which refuses calls whose nested calls
	// are likely to be refused, to measure its effect.
	DisableThrottle bool
	// TreeAdmission makes the entry admit root requests by the admission levels of the
	// services of their call trees. For refusals of services that report levels it
	// replaces the throttle.
	TreeAdmission bool
}

// Entry handles incoming calls.
type Entry struct {
	config  Config
	retries retry.Buckets
	log     requestLog
	// exchanger sends calls to other hosts.
	exchanger exchanger
	// liveness distinguishes unresponsive hosts from hosts with slow calls.
	liveness livenessTracker
	// latencies tracks the latency of served calls by route.
	latencies routeLatencies
	// throttle refuses calls whose nested calls are likely to be refused.
	throttle balance.Throttle
	// tree decides which root requests are admitted, if TreeAdmission is set.
	tree treeadmit.Roots
	// levelled holds the names of the services that report admission levels.
	levelled sync.Map
	// nonRepeatableRoutes holds the names of the routes whose calls have begun
	// non-repeatable nested calls; see mayRepeat.
	nonRepeatableRoutes sync.Map
	// calls limits the concurrent calls from callers, and bodies the total size of
	// their bodies.
	calls  capacityLimit
	bodies capacityLimit
	root   kernel.Handler[*activeCall]
	nested kernel.Handler[*activeCall]
	// leaving is set by Leave, and nestedUntil is its argument in Unix milliseconds.
	leaving     atomic.Bool
	nestedUntil atomic.Int64
	wg          conc.WaitGroup
}

// New returns an entry with the given configuration.
func New(config Config) (*Entry, error) {
	if config.Codec == nil {
		config.Codec = defaultCodec{}
	}
	e := &Entry{config: config, log: newRequestLog()}
	e.exchanger.peers = config.Peers
	e.retries.SetShare(config.RetryShare)
	if config.NoCallTokens {
		e.throttle.Multiplier = fanOutMultiplier
	}
	e.calls.unit, e.calls.limit = "calls", int64(config.CallsInFlight)
	e.bodies.unit, e.bodies.limit = "bytes of requests", config.BytesInFlight
	var err error
	if e.root, err = stages.Build(e, config.enabledStages(rootStages)...); err != nil {
		return nil, err
	}
	if e.nested, err = stages.Build(e, config.enabledStages(nestedStages)...); err != nil {
		return nil, err
	}
	return e, nil
}

// enabledStages returns the given stages without those that c disables.
func (c *Config) enabledStages(stages []string) []string {
	return slices.DeleteFunc(slices.Clone(stages), func(name string) bool {
		return (name == "claim" && c.Claims == nil) || (name == "tree" && !c.TreeAdmission)
	})
}

// SetRetryBurst sets the burst of the retry buckets: the number of retries that this
// node may make at each service before its first attempts earn any.
func (e *Entry) SetRetryBurst(retries float64) { e.retries.SetBurst(retries) }

// SetHosts sets the IDs of the live hosts. The entry forgets what it knows about the
// liveness of other hosts.
func (e *Entry) SetHosts(present map[string]bool) { e.liveness.retain(present) }

// Leave tells the entry that this node shuts down. From then on a nested call goes on
// after its parent has ended, until its caller drops it or its deadline passes. Nested
// calls that arrive at the LeavingHandler after nestedUntil are refused.
func (e *Entry) Leave(nestedUntil time.Time) {
	e.nestedUntil.Store(nestedUntil.UnixMilli())
	e.leaving.Store(true)
}

// Close waits for background messages to finish. No call may be running.
func (e *Entry) Close() error {
	e.wg.Wait()
	return nil
}

// activeCall is the state of one call while the entry handles it.
type activeCall struct {
	// id is unique, unlike the request identifier, which the caller may choose.
	id string
	// request is completed by the stages and sent by the attempts.
	request call.Request
	// key is the client key that the caller presented. Only the key stage reads it,
	// and clears it.
	key    string
	ticket string
	path   string
	parent *owner.Parent
	// inferredParent is the running call in which, according to its header, a call
	// without a call token is nested; nil if there is none.
	inferredParent *owner.Parent
	budget         *retry.Budget
	// failovers counts the failed attempts that were not offered to a backend
	// server. It is used only if NoCallTokens is set.
	failovers int
	// generation is the generation of the configuration that routed the call.
	generation uint64
	// readBody reads the body. Release frees the memory that is reserved for it, also
	// after an error.
	readBody func() (body []byte, release func(), err error)
	// timeout is the caller's timeout, counted from arrived; 0 if not given.
	timeout time.Duration
	arrived time.Time
	route   *configuration.Route
	// claimed is set when the claim stage starts to claim the request.
	claimed bool
	answer  *call.Answer
	// fallback is the latest response of a backend server, which the caller gets if
	// all later attempts fail.
	fallback *call.Answer
	// mayHaveRun is set once an attempt failed that may have run.
	mayHaveRun bool
	late       lateResults
}

// callerError returns err with the verdict to report to the caller. If a request
// with an idempotency key or ticket is refused before it is claimed, an earlier
// arrival of the same request may have run, so the verdict is may-have-run.
func (x *activeCall) callerError(err error) error {
	deduplicated := x.ticket != "" || x.request.IdempotencyKey != ""
	if err == nil || x.claimed || !deduplicated {
		return err
	}
	return overallError(verdict.From(err), true)
}

// CallerHandler returns the handler for calls from callers.
func (e *Entry) CallerHandler() http.Handler {
	return e.limitRequests(func(w http.ResponseWriter, r *http.Request) {
		if e.requestsTickets(r) {
			e.serveTickets(w, r)
			return
		}
		e.serveRoot(w, r)
	})
}

// requestsTickets reports whether a request from a caller is one for tickets and not a
// call.
func (e *Entry) requestsTickets(r *http.Request) bool {
	return e.config.Claims != nil && r.Method == http.MethodPost && r.URL.Path == ticketPath
}

// LeavingHandler returns the handler for calls from callers while this node shuts down.
// Until the time given to Leave, it serves calls with an inferred parent, since a call
// that still runs on this host needs them. It refuses all others.
func (e *Entry) LeavingHandler() http.Handler {
	refusal := e.refuse(verdict.New(verdict.NotRun, verdict.Leaving, "this node leaves; call another"))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		meta, _ := e.config.Codec.Read(r) // serveRoot reports an invalid header.
		inTime := time.Now().UnixMilli() < e.nestedUntil.Load()
		if inTime && e.findInferredParent(meta.Parent) != nil {
			e.serveRoot(w, r)
			return
		}
		refusal.ServeHTTP(w, r)
	})
}

// UnreadyHandler returns the handler that refuses calls from callers until this node
// has a configuration.
func (e *Entry) UnreadyHandler() http.Handler {
	return e.refuse(verdict.New(verdict.NotRun, verdict.NotReady, "this node knows no configuration yet"))
}

func (e *Entry) refuse(reason *verdict.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		meta, _ := e.config.Codec.Read(r) // An invalid header gets the same refusal.
		x := &activeCall{ticket: meta.Ticket, timeout: meta.Timeout, arrived: time.Now()}
		x.request.RequestID = meta.RequestID
		x.request.IdempotencyKey = meta.IdempotencyKey
		e.writeError(w, x, x.callerError(reason))
	})
}

// NestedHandler returns the handler for calls from the backend server on this host.
func (e *Entry) NestedHandler() http.Handler { return e.limitRequests(e.serveNested) }

func (e *Entry) serveRoot(w http.ResponseWriter, r *http.Request) {
	x, err := e.readRequest(w, r)
	if err != nil {
		e.writeAnswer(w, x, x.callerError(err))
		return
	}
	release, err := e.calls.acquire(1)
	if err != nil {
		e.writeAnswer(w, x, x.callerError(err))
		return
	}
	defer release()
	e.writeAnswer(w, x, x.callerError(e.runRoot(r.Context(), x)))
}

// runRoot handles a call without a call token. If it has an inferred parent, it ends with
// the parent (see nestedContext), and its outcome is reported to the parent.
func (e *Entry) runRoot(ctx context.Context, x *activeCall) error {
	if x.inferredParent == nil {
		return e.root(ctx, x)
	}
	x.request.Repeated = x.inferredParent.Request().Repeated
	x.request.Progress = x.inferredParent.Progress()
	x.request.AdmitProbability = x.inferredParent.Request().AdmitProbability
	defer x.inferredParent.BeginNested()()
	ctx, cancel := e.nestedContext(ctx, x.inferredParent)
	defer cancel()
	err := e.root(ctx, x)
	e.reportToParent(x, x.inferredParent, err)
	return err
}
