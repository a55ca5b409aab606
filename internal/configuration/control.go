package configuration

import (
	"context"
	"errors"

	"curranthold.example/curranthold/internal/event"
)

// update passes changes, or a full snapshot as replacement, to the control goroutine, which sends the outcome to result.
type update struct {
	changes     []Change
	replacement *Snapshot
	result      chan<- error
}

// control is the only goroutine that changes the replica's state.
func (r *Replica) control() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.subscribed:
			r.publish()
		case u := <-r.updates:
			u.result <- r.handleUpdate(u)
		}
	}
}

func (r *Replica) handleUpdate(u update) error {
	before := r.state.Load()
	next, err := before.advance(u.changes)
	if u.replacement != nil {
		next, err = before.replace(u.replacement), nil
	}
	if err != nil {
		if !errors.Is(err, errGap) {
			eventChangeUndecodable.Log(event.Fields{"generation": before.snapshot.generation, "error": err.Error()})
		}
		return err
	}
	if next == before {
		return nil
	}
	r.state.Store(next)
	storeMax(&r.highestSeen, next.snapshot.generation)
	r.publish()
	close(before.superseded)
	return nil
}

// publish notifies the subscribers of the current snapshot and then records its
// generation as in force.
func (r *Replica) publish() {
	snapshot := r.Snapshot()
	r.mu.Lock()
	subscribers := r.subscribers
	r.mu.Unlock()
	for _, s := range subscribers {
		if s.notified && s.generation >= snapshot.generation {
			continue
		}
		s.notify(snapshot)
		s.notified, s.generation = true, snapshot.generation
	}
	r.inForce.Store(snapshot.generation)
	metricGeneration.Set(int64(snapshot.generation))
	metricObjects.Set(int64(snapshot.Len()))
}

// submitChanges applies changes and returns once they are in force.
func (r *Replica) submitChanges(ctx context.Context, changes []Change) error {
	if len(changes) == 0 {
		return nil
	}
	return r.submit(ctx, update{changes: changes})
}

// submit hands an update to the control goroutine and returns its result.
func (r *Replica) submit(ctx context.Context, u update) error {
	result := make(chan error, 1)
	u.result = result
	select {
	case r.updates <- u:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return errClosed
	}
	select {
	case err := <-result:
		return err
	case <-r.ctx.Done():
		return errClosed
	}
}

// AwaitAfter waits until the snapshot's generation is higher than the given one. It
// returns the context's error if the context ends first.
func (r *Replica) AwaitAfter(ctx context.Context, generation uint64) error {
	for {
		s := r.state.Load()
		if s.snapshot.generation > generation {
			return nil
		}
		select {
		case <-s.superseded:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.ctx.Done():
			return errClosed
		}
	}
}

// Changes returns the changes after a generation, oldest first; ok is false if
// this node no longer holds all of them.
func (r *Replica) Changes(after uint64) (changes []Change, ok bool) {
	return r.state.Load().changesAfter(after)
}
