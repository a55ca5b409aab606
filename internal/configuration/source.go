package configuration

import (
	"context"
	"errors"
	"reflect"
	"time"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/pkg/object"
)

// ErrInvalidSource means that the source responded, but not with a valid
// configuration. The node keeps the last one that it could read.
var ErrInvalidSource = errors.New("configuration: the source holds no valid configuration")

// errSourceOlder means that operators declared the configuration in the source before the
// one in force.
var errSourceOlder = errors.New("configuration: the source is older than the configuration in force")

// errSourceUnsettled means that the source came back from an older copy and may lack parts
// that operators are about to write again.
var errSourceUnsettled = errors.New("configuration: the source has just come back from an older copy")

const (
	// watchHosts is the number of hosts of a zone that watch the source. The
	// first shortWatchHosts of them use shortWatch, the others longWatch.
	shortWatchHosts = 1
	watchHosts      = 4
	// shortWatch and longWatch are how long one watch request waits for a change.
	shortWatch = 3 * time.Second
	longWatch  = 10 * time.Second
	// sourceRetry is the mean time before the second attempt after the source failed,
	// and maxSourceRetry before later ones. sourceRetry is also how often a host that
	// does not watch checks whether it should.
	sourceRetry    = 400 * time.Millisecond
	maxSourceRetry = 800 * time.Millisecond
	// watcherDelay, times a host's position among those of its zone, is how long it
	// waits for an earlier one to push a change before it reads the source itself.
	watcherDelay = 150 * time.Millisecond
	// startReadInterval is the number of attempts to become ready for one read of the
	// source, at hosts other than the first of a zone, while the source is empty.
	startReadInterval = 8
	// sourceTimeout bounds a read of the source. A watch request is bounded by its
	// wait plus sourceTimeout.
	sourceTimeout = 800 * time.Millisecond
)

// Declared is the whole configuration read from a source. A part is one document
// stored in the source; each part has a version.
type Declared struct {
	// Generation is made by [NewGeneration] from the highest version of any part.
	// Removing a part does not raise it.
	Generation uint64
	// Revision is the number that operators gave the configuration, 0 if unknown. It
	// rises with each change that they declare.
	Revision uint64
	// AsOf is made from the version of the source at the time of the read.
	AsOf    uint64
	Objects []object.Object
}

// Source is a store in which operators declare the whole configuration. It
// replaces the rows of the table that the resource API writes.
type Source interface {
	// Read returns the configuration; ok is false if there is none yet. The error
	// wraps ErrInvalidSource if the source responded, but not with a valid
	// configuration.
	Read(ctx context.Context) (declared Declared, ok bool, err error)
	// Watch waits for a change after the generation asOf. It returns the generation of
	// the latest change, or 0 if there was none within the wait, and the generation to
	// pass as asOf next. An error other than the context's means that changes may
	// have been missed, for example because the era has risen.
	Watch(ctx context.Context, asOf uint64, wait time.Duration) (changed, next uint64, err error)
}

// followSource keeps the replica up to date with its source. The hosts that watch
// the source push changes to the other hosts of their zone.
func (r *Replica) followSource() {
	asOf := uint64(0)
	current := false
	retry := sourceRetry
	for r.ctx.Err() == nil {
		wait := r.watchTimeout()
		if wait == 0 {
			current = false
			r.wait(jittered(sourceRetry))
			continue
		}
		if !current {
			asOf, current = r.readSource(0)
		}
		if current {
			asOf, current = r.watchSource(asOf, wait)
		}
		if current {
			retry = sourceRetry
			continue
		}
		r.queryOtherZones()
		r.wait(jittered(retry))
		retry = min(2*retry, maxSourceRetry)
	}
}

// watchTimeout returns how long one watch request of this host waits for a change,
// or 0 if this host does not watch the source.
func (r *Replica) watchTimeout() time.Duration {
	switch position := r.view.Load().zone(r.config.Zone).position(r.config.Host); {
	case position < shortWatchHosts:
		return shortWatch
	case position < watchHosts:
		return longWatch
	default:
		return 0
	}
}

// watchSource waits for one change and applies it. It returns the version to watch
// from next and whether the source responded.
func (r *Replica) watchSource(asOf uint64, wait time.Duration) (uint64, bool) {
	ctx, cancel := context.WithTimeout(r.ctx, wait+sourceTimeout)
	defer cancel()
	metricPolls.Add(1)
	watchStarted := r.config.Now()
	changed, next, err := r.config.Source.Watch(ctx, asOf, wait)
	if err != nil {
		r.recordUpstreamFailure(err)
		return asOf, false
	}
	if changed == 0 {
		r.recordUpToDate(watchStarted)
		return max(asOf, next), true
	}
	if r.awaitPush(changed) {
		r.recordUpToDate(watchStarted)
		return max(changed, next), true
	}
	return r.readSource(changed)
}

// awaitPush waits until the generation is in force, because a host before this one in
// the zone's list has read it from the source and pushed it. It reports whether that
// happened before it is this host's turn to read.
func (r *Replica) awaitPush(generation uint64) bool {
	position := r.view.Load().zone(r.config.Zone).position(r.config.Host)
	for range max(position, 0) {
		if r.inForce.Load() >= generation || !r.wait(watcherDelay) {
			break
		}
	}
	return r.inForce.Load() >= generation
}

// readSource reads and applies the source's configuration, and sets its generation to
// at least atLeast. It returns the version of the source that it read and whether the
// source responded.
func (r *Replica) readSource(atLeast uint64) (asOf uint64, ok bool) {
	ctx, cancel := context.WithTimeout(r.ctx, sourceTimeout)
	defer cancel()
	readStarted := r.config.Now()
	before := r.Snapshot().generation
	declared, found, err := r.config.Source.Read(ctx)
	if errors.Is(err, ErrInvalidSource) {
		eventChangeUndecodable.Log(event.Fields{"generation": before, "error": err.Error()})
		return declared.AsOf, true
	}
	if err != nil {
		r.recordUpstreamFailure(err)
		return 0, false
	}
	if !r.upstreamReachable.Swap(true) {
		eventTableReachable.Log(event.Fields{"generation": declared.Generation})
	}
	if era := Era(declared.AsOf); r.sourceEra.observe(era, r.config.Now()) {
		eventSourceRestored.Log(event.Fields{"era": era, "generation": before})
	}
	if !found {
		return declared.AsOf, true
	}
	declared.Generation = max(declared.Generation, atLeast)
	err = r.applyDeclared(ctx, declared)
	if errors.Is(err, errSourceOlder) || errors.Is(err, errSourceUnsettled) {
		return 0, false
	}
	if err != nil {
		eventChangeUndecodable.Log(event.Fields{"generation": before, "error": err.Error()})
		return declared.AsOf, true
	}
	r.recordUpToDate(readStarted)
	if r.Snapshot().generation > before {
		r.pushIfPoller(before)
	}
	return declared.AsOf, true
}

// applyDeclared applies a declared configuration unless the node already has it or was
// sent a later one since the read. It returns errSourceOlder if operators declared the
// one in force later, and errSourceUnsettled if the source may lack parts that operators
// are about to write again.
//
// Removing a part does not raise Declared.Generation, so that it may be no higher than
// the node's generation although the objects differ. In that case AsOf becomes the
// generation.
func (r *Replica) applyDeclared(ctx context.Context, declared Declared) error {
	objects := make(map[object.ID]object.Object, len(declared.Objects))
	for _, o := range declared.Objects {
		objects[o.ID()] = o
	}
	current := r.Snapshot()
	if max(declared.Generation, declared.AsOf) <= current.generation {
		return nil
	}
	if declared.Revision != 0 && declared.Revision < current.revision {
		if r.olderRevision.Swap(declared.Revision) != declared.Revision {
			eventSourceOlder.Log(event.Fields{
				"generation": declared.Generation, "revision": declared.Revision, "in-force": current.revision,
			})
		}
		return errSourceOlder
	}
	if r.mayLackParts(current, declared, objects) {
		return errSourceUnsettled
	}
	if declared.Generation <= current.generation {
		if reflect.DeepEqual(current.objects, objects) {
			return nil
		}
		declared.Generation = declared.AsOf
	}
	return r.submitSnapshot(ctx, declared.Generation, declared.Revision, objects)
}

// mayLackParts reports whether the source came back from an older copy a moment ago and
// differs from the current configuration, although operators have declared nothing later.
// A node with none in force can't tell how long ago that was, nor what came later.
func (r *Replica) mayLackParts(current *Snapshot, declared Declared, objects map[object.ID]object.Object) bool {
	if Era(declared.AsOf) <= Era(current.generation) || r.sourceEra.settled(r.config.Now()) {
		return false
	}
	return current.generation == 0 ||
		(declared.Revision == current.revision && !reflect.DeepEqual(current.objects, objects))
}

// readyFromSource reports whether the node has the configuration of the source or, if
// the source is unreachable or came back from an older copy a moment ago, of its ready
// peers. While operators have declared none yet, only the first host of a zone reads the
// source each time; the others mostly wait for a push.
func (r *Replica) readyFromSource(attempt int) bool {
	if !r.sourceEra.settled(r.config.Now()) {
		return r.readyFromPeers(r.ctx)
	}
	if !r.startSourceFailed && r.watchTimeout() != shortWatch && attempt%startReadInterval != 1 {
		return r.inForce.Load() > 0
	}
	_, ok := r.readSource(0)
	r.startSourceFailed = !ok
	if ok {
		return r.inForce.Load() > 0
	}
	return r.readyFromPeers(r.ctx)
}
