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

// sourceInForce is the maximum time in which a declared configuration must be in force on
// every host.
const sourceInForce = 2 * time.Second

// settledAfterStart is the maximum time after its start in which a host must have the
// configuration of the others.
const settledAfterStart = 3 * time.Second

// storeCopy is the content of a store at one time.
type storeCopy struct {
	// version is the store's version, and declaredAt that of the declared configuration.
	version, declaredAt uint64
	revision            uint64
	era                 uint64
	// zoneOut is set while zone north is out of service, and zoneAt is the version of
	// that row.
	zoneOut bool
	zoneAt  uint64
}

// restorableStore is a store that can come back from an older copy. Its configuration
// consists of one service, which is named after the revision.
type restorableStore struct {
	mu      sync.Mutex
	content storeCopy
	down    bool
	changed chan struct{}
}

func newRestorableStore() *restorableStore {
	return &restorableStore{content: storeCopy{era: 1}, changed: make(chan struct{})}
}

// update changes the store and wakes those that watch it.
func (s *restorableStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *restorableStore) declare(revision uint64) {
	s.update(func() {
		s.content.version++
		s.content.declaredAt = s.content.version
		s.content.revision = revision
	})
}

// setZoneOut takes zone north out of service, or back.
func (s *restorableStore) setZoneOut(out bool) {
	s.update(func() {
		s.content.version++
		s.content.zoneAt = s.content.version
		s.content.zoneOut = out
	})
}

// writeUnrelated adds n versions that do not concern the configuration.
func (s *restorableStore) writeUnrelated(n uint64) {
	s.update(func() { s.content.version += n })
}

func (s *restorableStore) setDown(down bool) { s.update(func() { s.down = down }) }

func (s *restorableStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content
}

// restore takes the store down for a second, after which it has the content of the copy.
func (s *restorableStore) restore(from storeCopy) {
	s.setDown(true)
	time.Sleep(time.Second)
	s.update(func() {
		from.era = s.content.era + 1
		s.content, s.down = from, false
	})
}

func (s *restorableStore) state() (content storeCopy, changed chan struct{}, err error) {
	time.Sleep(sourceLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return s.content, nil, platform.ErrUnavailable
	}
	return s.content, s.changed, nil
}

var zoneNorth = object.ID{Kind: object.KindAvailabilityZone, Name: "north"}

func serviceOf(revision uint64) object.ID {
	return object.ID{Kind: object.KindService, Name: fmt.Sprintf("peals-%d", revision)}
}

// Read implements Source.
func (s *restorableStore) Read(context.Context) (Declared, bool, error) {
	c, _, err := s.state()
	if err != nil {
		return Declared{}, false, err
	}
	service := object.Object{Kind: object.KindService, Metadata: object.Metadata{Name: serviceOf(c.revision).Name}, Spec: object.ServiceSpec{}}
	declared := Declared{
		Generation: NewGeneration(c.era, c.declaredAt), Revision: c.revision,
		AsOf: NewGeneration(c.era, c.version), Objects: []object.Object{service},
	}
	if c.zoneOut {
		zone := object.Object{Kind: zoneNorth.Kind, Metadata: object.Metadata{Name: zoneNorth.Name}, Spec: object.AvailabilityZoneSpec{}}
		declared.Objects = append(declared.Objects, zone)
		declared.Generation = NewGeneration(c.era, max(c.declaredAt, c.zoneAt))
	}
	return declared, c.declaredAt > 0, nil
}

// Watch implements Source.
func (s *restorableStore) Watch(ctx context.Context, asOf uint64, wait time.Duration) (changed, next uint64, err error) {
	timeout := time.After(wait)
	for {
		c, changes, err := s.state()
		switch {
		case err != nil:
			return 0, 0, err
		case c.era != Era(asOf), c.version < VersionInEra(asOf):
			return 0, 0, platform.ErrHistoryLost
		case max(c.declaredAt, c.zoneAt) > VersionInEra(asOf):
			return NewGeneration(c.era, max(c.declaredAt, c.zoneAt)), NewGeneration(c.era, c.version), nil
		}
		select {
		case <-ctx.Done():
			return 0, 0, ctx.Err()
		case <-timeout:
			return 0, NewGeneration(c.era, c.version), nil
		case <-changes:
		}
	}
}

// restorableFleet starts hosts of two zones that follow the store, and returns them once
// all are ready.
func restorableFleet(t *testing.T, store *restorableStore) *fleet {
	f := newFleet(t, 2, 6)
	f.source = func(Host) Source { return store }
	f.startAll()
	return f
}

// fleetWithOlderCopy starts a fleet at revision 3 and returns a copy of its store.
func fleetWithOlderCopy(t *testing.T) (*restorableStore, storeCopy, *fleet) {
	store := newRestorableStore()
	store.declare(3)
	older := store.copy()
	return store, older, restorableFleet(t, store)
}

// checkRevision checks that all hosts have the configuration of a revision in force.
func (f *fleet) checkRevision(t *testing.T, revision uint64) {
	t.Helper()
	for i, h := range f.hosts {
		snapshot := f.replica(i).Snapshot()
		_, found := snapshot.Object(serviceOf(revision))
		qt.Check(t, found, qt.IsTrue, qt.Commentf("%s at generation %d", h.ID, snapshot.Generation()))
	}
}

// TestOlderCopyOfTheSourceIsNotPutInForce guards against a configuration that goes back
// because its store did.
func TestOlderCopyOfTheSourceIsNotPutInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRestorableStore()
		store.writeUnrelated(10)
		store.declare(3)
		older := store.copy()
		f := restorableFleet(t, store)
		defer f.stopAll()
		store.declare(7)
		time.Sleep(sourceInForce)
		f.checkRevision(t, 7)

		store.restore(older)
		for range 5 {
			store.writeUnrelated(3)
			time.Sleep(time.Second)
			f.checkRevision(t, 7)
		}
		f.start(f.hosts[3])
		store.writeUnrelated(3)
		time.Sleep(settledAfterStart)
		f.checkRevision(t, 7)

		store.declare(7)
		store.declare(8)
		time.Sleep(sourceInForce)
		f.checkRevision(t, 8)
	})
}

// TestChangeAfterRestoreIsPutInForce guards against a change that is taken for one before the
// store went back, whose version it has.
func TestChangeAfterRestoreIsPutInForce(t *testing.T) {
	tests := map[string]struct {
		// writtenSince is the number of versions after the copy, without the
		// configuration's.
		writtenSince uint64
		// unrelated is the number of versions that others write after the restore.
		unrelated uint64
	}{
		"same version given out again": {writtenSince: 0},
		"versions far behind":          {writtenSince: 40},
		"versions passed meanwhile":    {writtenSince: 3, unrelated: 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, older, f := fleetWithOlderCopy(t)
				defer f.stopAll()
				store.writeUnrelated(test.writtenSince)
				store.declare(7)
				time.Sleep(sourceInForce)

				store.restore(older)
				store.declare(7)
				store.writeUnrelated(test.unrelated)
				time.Sleep(3 * time.Second)
				for revision := uint64(8); revision < 12; revision++ {
					store.declare(revision)
					time.Sleep(sourceInForce)
					f.checkRevision(t, revision)
				}
			})
		})
	}
}

// TestChangeAfterHostsRefusedOlderCopy guards against a change that is taken for the
// configuration that hosts kept when they refused an older copy.
func TestChangeAfterHostsRefusedOlderCopy(t *testing.T) {
	tests := map[string]struct{ unrelated uint64 }{
		"next version":  {unrelated: 0},
		"later version": {unrelated: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, older, f := fleetWithOlderCopy(t)
				defer f.stopAll()
				store.declare(7)
				time.Sleep(sourceInForce)

				store.restore(older)
				late := f.hosts[3]
				f.setFault(func(from, to Host) messageFault {
					return messageFault{drop: from == late || to == late}
				})
				<-f.start(late).Ready()
				_, found := f.replica(3).Snapshot().Object(serviceOf(3))
				qt.Check(t, found, qt.IsTrue)
				f.setFault(nil)
				time.Sleep(settledAfterStart)
				f.checkRevision(t, 7)
				store.writeUnrelated(test.unrelated)
				store.declare(8)
				time.Sleep(sourceInForce)
				f.checkRevision(t, 8)
			})
		})
	}
}

// TestLateAnswerIsNotAnOlderCopy guards against a read that was overtaken by another host's push
// and counts as one from an older copy.
func TestLateAnswerIsNotAnOlderCopy(t *testing.T) {
	tests := map[string]struct {
		asOf uint64
		want error
	}{
		"read before the one in force": {asOf: NewGeneration(1, 19)},
		"read with the one in force":   {asOf: NewGeneration(1, 20)},
		"read later":                   {asOf: NewGeneration(1, 21), want: errSourceOlder},
		"read in a later era":          {asOf: NewGeneration(2, 18), want: errSourceOlder},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Host: "own", Zone: "a"})
			r.state.Store(newState(&Snapshot{generation: NewGeneration(1, 20), revision: 8}))
			err := r.applyDeclared(t.Context(), Declared{Generation: test.asOf - 1, Revision: 7, AsOf: test.asOf})
			qt.Check(t, err, qt.Equals, test.want)
			qt.Check(t, r.olderRevision.Load() != 0, qt.Equals, test.want != nil)
		})
	}
}

// TestRevisionIsKeptFromPeersWithoutOne guards against a host that follows an older copy because a
// peer of an older build, which sends no revision, told it the configuration in force.
func TestRevisionIsKeptFromPeersWithoutOne(t *testing.T) {
	inForce := newState(&Snapshot{generation: NewGeneration(1, 20), revision: 7})
	fromOlderBuild := inForce.replace(&Snapshot{generation: NewGeneration(1, 21)})
	qt.Check(t, fromOlderBuild.snapshot.generation, qt.Equals, NewGeneration(1, 21))

	r := New(Config{Host: "own", Zone: "a"})
	r.state.Store(fromOlderBuild)
	older := Declared{Generation: NewGeneration(2, 18), Revision: 3, AsOf: NewGeneration(2, 18)}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Check(t, r.applyDeclared(ended, older), qt.Equals, errSourceOlder)
}

// TestSecondRestore guards against a fleet that survives one restore only.
func TestSecondRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, older, f := fleetWithOlderCopy(t)
		defer f.stopAll()
		for revision := uint64(5); revision < 20; revision += 2 {
			store.declare(revision)
			time.Sleep(sourceInForce)
			f.checkRevision(t, revision)
			store.restore(older)
			store.declare(revision)
			time.Sleep(500 * time.Millisecond)
			store.declare(revision + 1)
			f.start(f.hosts[int(revision)%len(f.hosts)])
			time.Sleep(settledAfterStart)
			f.checkRevision(t, revision+1)
		}
	})
}

// checkZoneOut checks that all hosts have zone north out of service, or all have it in
// service.
func (f *fleet) checkZoneOut(t *testing.T, out bool) {
	t.Helper()
	for i, h := range f.hosts {
		_, found := f.replica(i).Snapshot().Object(zoneNorth)
		qt.Check(t, found, qt.Equals, out, qt.Commentf("%s", h.ID))
	}
}

// TestHostThatStartsAfterRestore guards against a host that starts from the older copy and
// brings a zone back in service, or a revision back, before operators have written it again.
func TestHostThatStartsAfterRestore(t *testing.T) {
	for starting := range 6 {
		t.Run(fmt.Sprintf("host %d", starting), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, older, f := fleetWithOlderCopy(t)
				defer f.stopAll()
				check := func(revision uint64) {
					for range 50 {
						time.Sleep(10 * time.Millisecond)
						for i, h := range f.hosts {
							snapshot := f.replica(i).Snapshot()
							_, out := snapshot.Object(zoneNorth)
							_, declared := snapshot.Object(serviceOf(revision))
							qt.Assert(t, out && declared || i == starting && snapshot.Generation() == 0, qt.IsTrue, qt.Commentf("%s", h.ID))
						}
					}
					qt.Check(t, f.replica(starting).isReady.Load(), qt.IsTrue)
				}
				store.setZoneOut(true)
				time.Sleep(sourceInForce)
				store.restore(older)
				f.start(f.hosts[starting])
				check(3)

				store.setZoneOut(true)
				older = store.copy()
				store.declare(7)
				time.Sleep(sourceInForce)
				store.restore(older)
				f.start(f.hosts[starting])
				check(7)
			})
		})
	}
}

// TestZoneDuringRestore guards against a zone that is in or out of service for a moment as its
// store went back, before operators have written it again.
func TestZoneDuringRestore(t *testing.T) {
	for name, out := range map[string]bool{"taken out since the copy": true, "back in service since the copy": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newRestorableStore()
				store.declare(3)
				store.setZoneOut(!out)
				older := store.copy()
				f := restorableFleet(t, store)
				defer f.stopAll()
				store.setZoneOut(out)
				time.Sleep(sourceInForce)

				store.restore(older)
				store.declare(3)
				for range 25 {
					time.Sleep(10 * time.Millisecond)
					f.checkZoneOut(t, out)
				}
				store.setZoneOut(out)
				for range 60 {
					time.Sleep(50 * time.Millisecond)
					f.checkZoneOut(t, out)
				}
				store.setZoneOut(!out)
				time.Sleep(sourceInForce)
				f.checkZoneOut(t, !out)
			})
		})
	}
}
