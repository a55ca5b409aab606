package configuration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/object"
)

// countedStore is a store with one declared configuration. It counts the calls of all
// hosts, including those that it refuses.
type countedStore struct {
	mu       sync.Mutex
	version  uint64
	declared bool
	changed  chan struct{}
	calls    int
	// refuses reports whether it turns away a host.
	refuses func(host string) bool
}

// hostSource is the source of one host.
type hostSource struct {
	store *countedStore
	host  string
}

// sourceLatency is how long the store takes to answer.
const sourceLatency = 4 * time.Millisecond

func (s *countedStore) declare() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.declared = true
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *countedStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// begin counts a call. It returns the version and the channel that is closed at the
// next change.
func (s hostSource) begin() (version uint64, changed chan struct{}, err error) {
	time.Sleep(sourceLatency)
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.calls++
	if s.store.refuses != nil && s.store.refuses(s.host) {
		return 0, nil, platform.ErrUnavailable
	}
	return s.store.version, s.store.changed, nil
}

// Read implements Source.
func (s hostSource) Read(context.Context) (Declared, bool, error) {
	version, _, err := s.begin()
	name := fmt.Sprintf("peals-%d", version)
	service := object.Object{Kind: object.KindService, Metadata: object.Metadata{Name: name}, Spec: object.ServiceSpec{}}
	return Declared{Generation: version, AsOf: version, Objects: []object.Object{service}}, version > 0, err
}

// Watch implements Source.
func (s hostSource) Watch(ctx context.Context, asOf uint64, wait time.Duration) (changed, next uint64, err error) {
	version, changes, err := s.begin()
	if err != nil || version > asOf {
		return version, version, err
	}
	select {
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	case <-time.After(wait):
		return 0, version, nil
	case <-changes:
		return version + 1, version + 1, nil
	}
}

// TestCallsOfTheSource starts many hosts, declares the first configuration after a
// second and then changes it several times, and counts the calls of the store. Each
// change must be in force everywhere within two seconds, also while the store turns
// away a third of the hosts.
func TestCallsOfTheSource(t *testing.T) {
	const (
		zones, perZone = 5, 19
		changes        = 6
		inForceWithin  = 2 * time.Second
		// maxPerHost is the goal of 0.1 calls a second and host, over 40 s.
		maxPerHost = 4
	)
	tests := map[string]func(host string) bool{
		"store serves all": nil,
		"store turns hosts away": func(host string) bool {
			var zone, n int
			_, _ = fmt.Sscanf(host, "host-%d-%d", &zone, &n)
			return n%3 == zone%3
		},
	}
	for name, refuses := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &countedStore{changed: make(chan struct{}), refuses: refuses}
				f := newFleet(t, zones, perZone)
				f.source = func(h Host) Source { return hostSource{store, h.ID} }
				for _, h := range f.hosts {
					f.start(h)
				}
				time.Sleep(time.Second)
				store.declare()
				time.Sleep(4 * time.Second)
				began := store.count()
				for range changes {
					store.declare()
					time.Sleep(inForceWithin)
					for i := range f.hosts {
						qt.Check(t, f.replica(i).inForce.Load(), qt.Equals, store.version, qt.Commentf("%s", f.hosts[i].ID))
					}
					time.Sleep(4 * time.Second)
				}
				calls := store.count()
				t.Logf("%d calls, %d of them in the first 5 s", calls, began)
				if refuses == nil {
					qt.Check(t, calls <= maxPerHost*len(f.hosts), qt.IsTrue, qt.Commentf("%d calls of %d hosts in 41 s", calls, len(f.hosts)))
				}
				f.stopAll()
			})
		})
	}
}
