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

// Config is what a [Replica] is made from. Host, Zone, Table and Peers must be
// set.
type Config struct {
	// Host is the identifier of this host among the hosts of SetHosts.
	Host string
	// Zone is the availability zone of this host.
	Zone  string
	Table platform.Table
	// Store carries whole snapshots; without one they come from peers and the
	// table.
	Store platform.ObjectStore
	// Source is where operators declare whole configurations; the rows in the
	// table are then not used.
	Source Source
	Peers  peer.Caller
	// Now is the clock; nil stands for time.Now.
	Now func() time.Time
}

var errClosed = errors.New("configuration: closed")

// Replica holds the configuration of this node. Its methods may be called from
// any goroutine.
type Replica struct {
	config  Config
	started time.Time
	state   atomic.Pointer[state]
	view    atomic.Pointer[view]
	// inForce is the generation that all subscribers have been told of.
	inForce atomic.Uint64
	// known is the highest generation that was heard of.
	known atomic.Uint64
	// heard is when the platform or another zone was last heard, in nanoseconds
	// after started; 0 means never.
	heard    atomic.Int64
	tableOK  atomic.Bool
	ready    chan struct{}
	readyNow atomic.Bool

	offers      chan offer
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
	// workersMu keeps workers from being added while Run waits for them.
	workersMu sync.RWMutex
	stopped   bool
	surveys   surveyCache
	stored    uint64
}

type subscriber struct {
	notify     func(*Snapshot)
	generation uint64
	told       bool
}

// New returns a replica that holds the empty snapshot. Run makes it work.
func New(config Config) *Replica {
	if config.Now == nil {
		config.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{
		config:     config,
		started:    config.Now(),
		ready:      make(chan struct{}),
		offers:     make(chan offer),
		pulls:      make(chan string, 1),
		subscribed: make(chan struct{}, 1),
		ctx:        ctx,
		cancel:     cancel,
		done:       make(chan struct{}),
	}
	r.state.Store(newState(&Snapshot{}))
	r.view.Store(newView(nil))
	r.tableOK.Store(true)
	return r
}

// Snapshot returns the latest snapshot.
func (r *Replica) Snapshot() *Snapshot { return r.state.Load().snapshot }

// Subscribe has notify called with each snapshot that is published from now on,
// in the order of their generations, and first with the present one. Calls come
// from the control goroutine and must not block. A generation counts as in force
// on this host when the calls for it have returned.
func (r *Replica) Subscribe(notify func(*Snapshot)) {
	r.mu.Lock()
	r.subscribers = append(r.subscribers, &subscriber{notify: notify})
	r.mu.Unlock()
	select {
	case r.subscribed <- struct{}{}:
	default:
	}
}

// SetHosts states which hosts are live, this one included.
func (r *Replica) SetHosts(hosts []Host) {
	next := newView(hosts)
	r.mu.Lock()
	defer r.mu.Unlock()
	next.follow(r.view.Load(), r.config.Now())
	r.view.Store(next)
}

// Forget says that a host has left for good, so that surveys no longer count it
// as not heard. A host that is no longer live and was not forgotten counts so
// for ten minutes.
func (r *Replica) Forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.view.Load()
	departed := make(map[string]departure, len(next.departed))
	for name, d := range next.departed {
		if name != id {
			departed[name] = d
		}
	}
	next.departed = departed
	r.view.Store(&next)
}

// Hear takes the generation that came with a message from the host at address.
// Where it is higher than this node's, the node pulls from there.
func (r *Replica) Hear(generation uint64, address string) {
	if generation > r.Snapshot().generation {
		r.behind(generation, address)
		return
	}
	if h, ok := r.view.Load().byAddress[address]; ok && h.Zone != r.config.Zone {
		r.heardOutside(r.config.Now())
	}
}

// behind notes that a higher generation exists and wakes the puller.
func (r *Replica) behind(generation uint64, address string) {
	raise(&r.known, generation)
	select {
	case r.pulls <- address:
	default:
	}
}

func raise(value *atomic.Uint64, to uint64) {
	for {
		at := value.Load()
		if to <= at || value.CompareAndSwap(at, to) {
			return
		}
	}
}

// heardOutside notes that the platform or another zone was heard at the given
// time, and that nothing was missed until then.
func (r *Replica) heardOutside(when time.Time) {
	at := int64(when.Sub(r.started)) + 1
	for {
		before := r.heard.Load()
		if at <= before || r.heard.CompareAndSwap(before, at) {
			return
		}
	}
}

const never = time.Duration(math.MaxInt64)

// Isolated returns the time since this host last knew itself up to date with
// the platform or with another zone, by itself or through a host of its zone.
// It is the greatest duration where it never did.
func (r *Replica) Isolated() time.Duration {
	at := r.heard.Load()
	if at == 0 {
		return never
	}
	return max(0, r.config.Now().Sub(r.started)-time.Duration(at-1))
}

// Authenticate returns the client account of the key that a caller presented,
// as [Snapshot.Authenticate] does. In a zone that refuses keys while it is
// isolated it returns a NotRun error with code KeyUnconfirmed.
func (r *Replica) Authenticate(presented string) (account string, err error) {
	s := r.Snapshot()
	account, err = s.Authenticate(presented)
	if err != nil {
		countKeysRefused.Add(1)
		return "", err
	}
	if spec := s.zones[r.config.Zone]; spec.IsolatedKeys == object.IsolatedRefuse && r.Isolated() > isolatedAfter(spec) {
		countKeysUnchecked.Add(1)
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

// Ready returns a channel that is closed once the node may serve: when it holds
// the highest generation that the table knows or, while the table is out of
// reach, the highest that its ready peers know.
func (r *Replica) Ready() <-chan struct{} { return r.ready }

// Run keeps the replica up to date until the context ends or Close is called.
// It may be called once.
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

	works := []func(){r.control, r.start, r.pull, r.gossip}
	if r.config.Source != nil {
		works = append(works, r.followSource)
	} else {
		works = append(works, r.poll, r.storeSnapshots)
	}
	for _, work := range works {
		r.goWork(work)
	}
	<-r.ctx.Done()
	r.workersMu.Lock()
	r.stopped = true
	r.workersMu.Unlock()
	r.workers.Wait()
	return nil
}

// goWork runs work in a goroutine that Run waits for. It does nothing once the
// replica stops.
func (r *Replica) goWork(work func()) {
	r.workersMu.RLock()
	defer r.workersMu.RUnlock()
	if !r.stopped {
		r.workers.Go(work)
	}
}

// Close stops the replica and waits until Run has returned. The last snapshot
// stays readable.
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

// wait returns after the duration, false where the replica stops before.
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
