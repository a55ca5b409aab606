package configuration

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// Config configures a [Replica]. Host, Zone, Table and Peers are required.
type Config struct {
	// Host is the ID of this host in the list passed to SetHosts.
	Host string
	// Zone is the availability zone of this host.
	Zone  string
	Table platform.Table
	// Store holds full snapshots for hosts that are far behind. If it is nil, such
	// hosts fetch the configuration from peers and the table.
	Store platform.ObjectStore
	// Source, if not nil, replaces the configuration rows of the table:
	// operators declare the whole configuration there.
	Source Source
	Peers  peer.Caller
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

var errClosed = errors.New("configuration: closed")

// Replica holds this node's copy of the configuration. Its methods are safe for
// concurrent use.
type Replica struct {
	config  Config
	started time.Time
	state   atomic.Pointer[state]
	view    atomic.Pointer[view]
	// inForce is the latest generation of which all subscribers have been
	// notified.
	inForce atomic.Uint64
	// highestSeen is the highest generation that the table, the source or a
	// peer reported.
	highestSeen atomic.Uint64
	// lastUpToDate is when this host was last known to be up to date with the
	// platform or another zone: 1 plus the nanoseconds since started, or 0 for
	// never.
	lastUpToDate atomic.Int64
	// startSourceFailed is set if the last read of the source before the node was
	// ready failed. Only runStartup uses it.
	startSourceFailed bool
	// sourceEra is the era in which the source last answered.
	sourceEra sourceEra
	// olderRevision is the last revision of the source that was refused because a later
	// one is in force.
	olderRevision atomic.Uint64
	// upstreamReachable is set unless the last attempt to read the table or source
	// failed.
	upstreamReachable atomic.Bool
	ready             chan struct{}
	isReady           atomic.Bool

	updates     chan update
	pulls       chan string
	subscribed  chan struct{}
	mu          sync.Mutex
	subscribers []*subscriber
	running     bool
	closed      bool

	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	workers conc.WaitGroup
	// workersMu prevents workers from being added while Run waits for them.
	workersMu  sync.RWMutex
	stopped    bool
	surveys    surveyCache
	lastStored uint64
}

type subscriber struct {
	notify     func(*Snapshot)
	generation uint64
	notified   bool
}

// New returns a replica that holds the empty snapshot. It receives updates only
// while Run is running.
func New(config Config) *Replica {
	if config.Now == nil {
		config.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{
		config:     config,
		started:    config.Now(),
		ready:      make(chan struct{}),
		updates:    make(chan update),
		pulls:      make(chan string, 1),
		subscribed: make(chan struct{}, 1),
		ctx:        ctx,
		cancel:     cancel,
		done:       make(chan struct{}),
	}
	r.state.Store(newState(&Snapshot{}))
	r.view.Store(newView(nil))
	r.upstreamReachable.Store(true)
	return r
}

// Snapshot returns the latest snapshot.
func (r *Replica) Snapshot() *Snapshot { return r.state.Load().snapshot }

// Subscribe registers notify, which is called with the current snapshot and then
// with each newly published one, in order of generation. All calls are made from
// one goroutine, so notify must not block. A generation is in force on this host
// once notify has returned for it in every subscriber.
func (r *Replica) Subscribe(notify func(*Snapshot)) {
	r.mu.Lock()
	r.subscribers = append(r.subscribers, &subscriber{notify: notify})
	r.mu.Unlock()
	select {
	case r.subscribed <- struct{}{}:
	default:
	}
}

// SetHosts replaces the list of live hosts, which includes this host.
func (r *Replica) SetHosts(hosts []Host) {
	next := newView(hosts)
	r.mu.Lock()
	defer r.mu.Unlock()
	next.carryDeparted(r.view.Load(), r.config.Now())
	r.view.Store(next)
}

// ForgetHost removes a host that has left permanently, so that surveys no longer
// count it as unheard. A host that is no longer live and has not been forgotten
// is counted as unheard for ten minutes.
func (r *Replica) ForgetHost(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.view.Load()
	departed := make(map[string]departedHost, len(next.departed))
	for name, d := range next.departed {
		if name != id {
			departed[name] = d
		}
	}
	next.departed = departed
	r.view.Store(&next)
}

// ObserveGeneration processes the generation reported by the host at address. If it
// is higher than this node's generation, the node pulls the missing changes from
// that host.
func (r *Replica) ObserveGeneration(generation uint64, address string) {
	if generation > r.Snapshot().generation {
		r.requestPull(generation, address)
		return
	}
	if h, ok := r.view.Load().byAddress[address]; ok && h.Zone != r.config.Zone {
		r.recordUpToDate(r.config.Now())
	}
}

// requestPull records that a higher generation exists and wakes pullLoop, which
// tries the host at address first.
func (r *Replica) requestPull(generation uint64, address string) {
	storeMax(&r.highestSeen, generation)
	select {
	case r.pulls <- address:
	default:
	}
}

// storeMax sets value to candidate if candidate is higher.
func storeMax(value *atomic.Uint64, candidate uint64) {
	for {
		current := value.Load()
		if candidate <= current || value.CompareAndSwap(current, candidate) {
			return
		}
	}
}

// recordUpToDate records that at the given time this host was up to date with the
// platform or with another zone.
func (r *Replica) recordUpToDate(at time.Time) {
	offset := int64(at.Sub(r.started)) + 1
	for {
		previous := r.lastUpToDate.Load()
		if offset <= previous || r.lastUpToDate.CompareAndSwap(previous, offset) {
			return
		}
	}
}

// neverUpToDate is the result of IsolatedFor for a host that was never up to date.
const neverUpToDate = time.Duration(math.MaxInt64)

// IsolatedFor returns the time since this host was last known to be up to date with
// the platform or with another zone, directly or through a host of its own zone.
// If it never was, IsolatedFor returns the maximum duration.
func (r *Replica) IsolatedFor() time.Duration {
	offset := r.lastUpToDate.Load()
	if offset == 0 {
		return neverUpToDate
	}
	return max(0, r.config.Now().Sub(r.started)-time.Duration(offset-1))
}

// Authenticate returns the client account of the client key that a caller presented,
// as [Snapshot.Authenticate] does. If the zone is isolated and configured to
// refuse keys in that case, it returns a NotRun error with code KeyUnconfirmed.
func (r *Replica) Authenticate(presented string) (account string, err error) {
	s := r.Snapshot()
	account, err = s.Authenticate(presented)
	if err != nil {
		metricKeysRefused.Add(1)
		return "", err
	}
	if spec := s.zones[r.config.Zone]; spec.IsolatedKeys == object.IsolatedRefuse && r.IsolatedFor() > isolatedAfter(spec) {
		metricKeysRefusedIsolated.Add(1)
		return "", &verdict.Error{Verdict: verdict.NotRun, Code: verdict.KeyUnconfirmed, Message: "the availability zone is isolated and cannot confirm that the key still holds"}
	}
	return account, nil
}

func isolatedAfter(spec object.AvailabilityZoneSpec) time.Duration {
	ms := spec.IsolatedAfterMs
	if ms == 0 {
		ms = object.DefaultIsolatedAfterMs
	}
	return time.Duration(ms) * time.Millisecond
}

// Ready returns a channel that is closed once the node may serve. A node may
// serve when it holds the generation of the table's head row or, while the table is
// unreachable, the highest generation reported by a sample of ready peers. With a Source,
// the source takes the place of the table.
func (r *Replica) Ready() <-chan struct{} { return r.ready }

// Run keeps the replica up to date until the context ends or Close is called.
// It may be called only once.
func (r *Replica) Run(ctx context.Context) error {
	r.mu.Lock()
	if r.closed || r.running {
		r.mu.Unlock()
		return errClosed
	}
	r.running = true
	r.mu.Unlock()
	defer close(r.done)
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()

	functions := []func(){r.control, r.runStartup, r.pullLoop, r.antiEntropyLoop}
	if r.config.Source != nil {
		functions = append(functions, r.followSource)
	} else {
		functions = append(functions, r.pollLoop, r.storeSnapshots)
	}
	for _, f := range functions {
		r.goTracked(f)
	}
	<-r.ctx.Done()
	r.workersMu.Lock()
	r.stopped = true
	r.workersMu.Unlock()
	r.workers.Wait()
	return nil
}

// goTracked runs f in a goroutine that Run waits for. It does nothing once the
// replica is stopping.
func (r *Replica) goTracked(f func()) {
	r.workersMu.RLock()
	defer r.workersMu.RUnlock()
	if !r.stopped {
		r.workers.Go(f)
	}
}

// Close stops the replica and waits for Run to return. The last snapshot remains
// available.
func (r *Replica) Close() error {
	r.cancel()
	r.mu.Lock()
	r.closed = true
	running := r.running
	r.mu.Unlock()
	if running {
		<-r.done
	}
	return nil
}

// wait waits for d and reports whether it elapsed before the replica stopped.
func (r *Replica) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}
