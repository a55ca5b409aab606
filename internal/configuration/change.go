package configuration

import (
	"errors"
	"fmt"
	"maps"

	"curranthold.example/curranthold/internal/audit"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/pkg/object"
)

const (
	// maxChanges is the number of changes that a replica keeps for peers to pull.
	maxChanges = 1024
	// maxChangeBytes bounds the total size of the changes that a replica keeps.
	maxChangeBytes = 1 << 20
)

// errGap means that the first new change does not directly follow the current
// generation, or that the changes are not consecutive.
var errGap = errors.New("configuration: changes are missing before the received ones")

// Change holds the objects that one generation changed, as sent between nodes.
type Change struct {
	Generation uint64
	Entries    []Entry
}

// Entry is the new value of one object in a change.
type Entry struct {
	ID object.ID
	// Data is the object in JSON; it is empty if the object was deleted.
	Data []byte
}

func (c Change) size() int {
	size := 0
	for _, e := range c.Entries {
		size += len(e.ID.Kind) + len(e.ID.Name) + len(e.Data)
	}
	return size
}

// changeFromRecord returns the change that an audit record describes.
func changeFromRecord(record audit.Record) (Change, error) {
	change := Change{Generation: record.Generation}
	for _, edit := range record.Edits {
		entry := Entry{ID: edit.ID}
		if edit.After != nil {
			data, err := object.Encode(*edit.After)
			if err != nil {
				return Change{}, fmt.Errorf("configuration: encode %s: %w", edit.ID, err)
			}
			entry.Data = data
		}
		change.Entries = append(change.Entries, entry)
	}
	return change, nil
}

func changesFromRecords(records []audit.Record) ([]Change, error) {
	changes := make([]Change, len(records))
	for i, record := range records {
		change, err := changeFromRecord(record)
		if err != nil {
			return nil, err
		}
		changes[i] = change
	}
	return changes, nil
}

// applyTo applies the change to objects.
func (c Change) applyTo(objects map[object.ID]object.Object) error {
	for _, e := range c.Entries {
		if len(e.Data) == 0 {
			delete(objects, e.ID)
			continue
		}
		o, err := object.Decode(e.Data)
		if err != nil {
			return fmt.Errorf("configuration: %s in generation %d: %w", e.ID, c.Generation, err)
		}
		objects[e.ID] = o
	}
	return nil
}

// state is a snapshot together with the latest changes that led to it. It is
// immutable, except that superseded gets closed.
type state struct {
	snapshot *Snapshot
	// changes are consecutive; the last one has the snapshot's generation.
	changes   []Change
	keptBytes int
	// superseded is closed when a later state is published.
	superseded chan struct{}
}

func newState(snapshot *Snapshot) *state {
	return &state{snapshot: snapshot, superseded: make(chan struct{})}
}

// advance returns the state after the changes, which must be in order of
// generation. It skips changes that the state already includes. On an error it
// returns s itself; the error is errGap if a change is missing.
func (s *state) advance(changes []Change) (*state, error) {
	generation := s.snapshot.generation
	objects := maps.Clone(s.snapshot.objects)
	if objects == nil {
		objects = map[object.ID]object.Object{}
	}
	next := newState(nil)
	next.changes = s.changes
	next.keptBytes = s.keptBytes
	for _, change := range changes {
		if change.Generation <= generation {
			continue
		}
		if change.Generation != generation+1 {
			return s, errGap
		}
		if err := change.applyTo(objects); err != nil {
			return s, err
		}
		generation = change.Generation
		next.appendChange(change)
	}
	if generation == s.snapshot.generation {
		return s, nil
	}
	snapshot, err := compile(generation, objects, s.snapshot)
	if err != nil {
		return s, err
	}
	snapshot.revision = s.snapshot.revision
	next.snapshot = snapshot
	return next, nil
}

// replace returns a state with the given full snapshot, or s itself if the snapshot is
// not later. If the snapshot has a later generation but operators declared it earlier,
// the state keeps the objects that it has, with a generation above that of the snapshot,
// so that hosts with the older objects fetch these.
func (s *state) replace(full *Snapshot) *state {
	if full.generation <= s.snapshot.generation {
		return s
	}
	if full.isOlderThan(s.snapshot) {
		eventOlderRefused.Log(event.Fields{
			"generation": full.generation, "revision": full.revision, "in-force": s.snapshot.revision,
		})
		return newState(s.snapshot.withGeneration(full.generation + 1))
	}
	if full.revision == 0 {
		full.revision = s.snapshot.revision // A host of an older build sends none.
	}
	return newState(full)
}

// appendChange adds a change and drops the oldest ones beyond maxChanges and
// maxChangeBytes.
func (s *state) appendChange(change Change) {
	s.changes = append(s.changes, change)
	s.keptBytes += change.size()
	for len(s.changes) > maxChanges || (len(s.changes) > 1 && s.keptBytes > maxChangeBytes) {
		s.keptBytes -= s.changes[0].size()
		s.changes = s.changes[1:]
	}
}

// changesAfter returns the changes after a generation; ok is false if the state
// no longer holds all of them.
func (s *state) changesAfter(generation uint64) (changes []Change, ok bool) {
	if generation >= s.snapshot.generation {
		return nil, true
	}
	missing := s.snapshot.generation - generation
	if missing > uint64(len(s.changes)) {
		return nil, false
	}
	return s.changes[uint64(len(s.changes))-missing:], true
}
