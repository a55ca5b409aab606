package configuration

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/object"
)

// TestUpdatedIsLater replaces an object within the millisecond in which it was
// created, and on a host whose clock is behind. The update time must still be later
// than the creation time, so that a replaced object can be distinguished
// from a new one.
func TestUpdatedIsLater(t *testing.T) {
	created := time.Unix(1000, 0).UTC()
	for name, now := range map[string]time.Time{
		"the same millisecond":   created.Add(time.Microsecond),
		"a clock that is behind": created.Add(-time.Minute),
		"a second later":         created.Add(time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			id := object.ID{Kind: object.KindClientAccount, Name: "captains"}
			change := func(base *Snapshot, rate float64, now time.Time) object.Object {
				op := Operation{ID: "op", Action: "apply", Plan: func(*Snapshot) ([]Draft, error) {
					return []Draft{{ID: id, Spec: object.ClientAccountSpec{Rate: rate, Burst: 1}, AnyVersion: true}}, nil
				}}
				p, err := op.prepare(base, now)
				qt.Assert(t, err, qt.IsNil)
				return p.objects[id]
			}
			first := change(&Snapshot{}, 1, created)
			qt.Check(t, first.Updated, qt.Equals, first.Created)
			second := change(&Snapshot{generation: 1, objects: map[object.ID]object.Object{id: first}}, 2, now)
			qt.Check(t, second.Created, qt.Equals, first.Created)
			qt.Check(t, second.Updated.After(second.Created), qt.IsTrue, qt.Commentf("%s", second.Updated))
		})
	}
}
