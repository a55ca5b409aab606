package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/platform"
)

const (
	// storeEveryGenerations is the number of generations after which a new snapshot
	// is written to the object store.
	storeEveryGenerations = 256
	// storeCheckInterval is the time between checks whether a snapshot is due.
	storeCheckInterval = 30 * time.Second
	// storeTimeout bounds the writing of a snapshot.
	storeTimeout = 10 * time.Second
)

// storeSnapshots periodically writes the snapshot to the object store, if this host is
// the snapshot writer.
func (r *Replica) storeSnapshots() {
	if r.config.Store == nil {
		return
	}
	for r.wait(storeCheckInterval) {
		if r.isReady.Load() && r.isSnapshotWriter() {
			r.storeSnapshot(r.ctx)
		}
	}
}

// isSnapshotWriter reports whether this host is the first host of the first zone,
// or is missing from the list of live hosts of that zone.
func (r *Replica) isSnapshotWriter() bool {
	v := r.view.Load()
	for name := range v.zones {
		if name < r.config.Zone {
			return false
		}
	}
	return v.zone(r.config.Zone).position(r.config.Host) <= 0
}

// storeSnapshot writes the current snapshot if it is at least storeEveryGenerations
// later than the stored one. A delayed write that replaces a later snapshot is
// harmless: readers ignore a snapshot that is not later than their own, and fetch
// the changes after it from the table or from peers.
func (r *Replica) storeSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if r.lastStored == 0 {
		r.lastStored = r.storedGeneration(ctx)
	}
	snapshot := r.Snapshot()
	if snapshot.generation < r.lastStored+storeEveryGenerations {
		return
	}
	full := fullSnapshot{Generation: snapshot.generation}
	for _, id := range snapshot.ids() {
		full.Objects = append(full.Objects, snapshot.objects[id])
	}
	data, err := json.Marshal(full)
	if err == nil {
		err = r.config.Store.Put(ctx, snapshotName, data)
	}
	if err != nil {
		eventSnapshotFailed.Log(event.Fields{"generation": snapshot.generation, "error": err.Error()})
		return
	}
	r.lastStored = snapshot.generation
	eventSnapshotStored.Log(event.Fields{"generation": snapshot.generation, "bytes": len(data)})
}

// storedGeneration returns the generation of the stored snapshot, or 0 if there is
// none. If the store fails or the snapshot is unreadable, it returns the current
// generation, so that no snapshot is written yet.
func (r *Replica) storedGeneration(ctx context.Context) uint64 {
	data, err := r.config.Store.Get(ctx, snapshotName)
	if errors.Is(err, platform.ErrNotFound) {
		return 0
	}
	var full struct {
		Generation uint64 `json:"generation"`
	}
	if err != nil || json.Unmarshal(data, &full) != nil {
		return r.Snapshot().generation
	}
	return full.Generation
}
