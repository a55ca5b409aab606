package configuration

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/audit"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/object"
)

func reasonOf(err error) object.RefusalCode {
	var refusal *object.Refusal
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}

// TestLostAnswer loses the response to a commit. The write takes effect at once,
// never, or only after the commit was sent again.
func TestLostAnswer(t *testing.T) {
	for name, outcome := range map[string]commitOutcome{"applied": responseLost, "never": requestLost, "late": requestDelayed} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 1, 1)
				fl.startAll()
				defer fl.stopAll()
				var once sync.Once
				fl.table.onCommit = func(platform.Transaction) (o commitOutcome, ok bool) {
					once.Do(func() { o, ok = outcome, true })
					return o, ok
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				result, err := fl.replica(0).Apply(ctx, put("op-1", account("a", 1)))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, result.Generation, qt.Equals, uint64(1))

				fl.table.applyDelayed()
				time.Sleep(2 * time.Second)
				qt.Assert(t, fl.replica(0).Snapshot().Generation(), qt.Equals, uint64(1))
				again, err := fl.replica(0).Apply(ctx, put("op-1", account("a", 1)))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, again.Repeated, qt.IsTrue)
				qt.Assert(t, again.Generation, qt.Equals, uint64(1))
			})
		})
	}
}

// TestUnknownOutcome loses the responses to commits until the operator's request
// times out: either all of them, or the first one, after which the table is
// unavailable. The operator must be told that the outcome is unknown, and must get
// the result when sending the same operation ID again.
func TestUnknownOutcome(t *testing.T) {
	t.Run("all answers lost", func(t *testing.T) { testUnknownOutcome(t, requestDelayed, requestDelayed) })
	t.Run("lost, then unavailable", func(t *testing.T) { testUnknownOutcome(t, requestDelayed, unavailable) })
}

func testUnknownOutcome(t *testing.T, first, others commitOutcome) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 1, 1)
		fl.startAll()
		defer fl.stopAll()
		next := first
		fl.table.onCommit = func(platform.Transaction) (commitOutcome, bool) {
			chosen := next
			next = others
			return chosen, true
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := fl.replica(0).Apply(ctx, put("op-1", account("a", 1)))
		qt.Assert(t, reasonOf(err), qt.Equals, object.OutcomeUnknown)

		fl.table.applyDelayed()
		fl.table.onCommit = nil
		result, err := fl.replica(0).Apply(t.Context(), put("op-1", account("a", 1)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, result.Generation, qt.Equals, uint64(1))
		qt.Assert(t, result.Repeated, qt.IsTrue)

		other := put("op-1", account("b", 1))
		other.Request = []byte("another")
		_, err = fl.replica(0).Apply(t.Context(), other)
		qt.Assert(t, reasonOf(err), qt.Equals, object.OperationReused)
	})
}

// TestOperatorsRace commits a second operator's change between the read and the
// write of the first operator's. The second is accepted, and the first is refused
// with a conflict.
func TestOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2, 1)
		fl.startAll()
		defer fl.stopAll()
		_, err := fl.replica(0).Apply(t.Context(), put("op-0", account("a", 1)))
		qt.Assert(t, err, qt.IsNil)
		replace := func(rate float64) Draft {
			d := account("a", rate)
			d.AnyVersion, d.Expected = false, 1
			return d
		}
		first := true
		fl.table.onCommit = func(platform.Transaction) (commitOutcome, bool) {
			if first {
				first = false
				_, err := fl.replica(1).Apply(t.Context(), put("op-2", replace(3)))
				qt.Check(t, err, qt.IsNil)
			}
			return applied, true
		}
		_, err = fl.replica(0).Apply(t.Context(), put("op-1", replace(2)))
		qt.Assert(t, reasonOf(err), qt.Equals, object.Conflict)
		records, err := audit.Read(t.Context(), fl.table, 0, 10)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(records), qt.Equals, 2)
		qt.Assert(t, records[1].OperationID, qt.Equals, "op-2")
		qt.Assert(t, records[1].Edits[0].Before.Spec, qt.Equals, object.Spec(object.ClientAccountSpec{Rate: 1, Burst: 10}))
	})
}

func TestRefusedOperations(t *testing.T) {
	route := func(name, method, prefix, service string) Draft {
		return Draft{ID: object.ID{Kind: object.KindRoute, Name: name}, Spec: object.RouteSpec{Method: method, PathPrefix: prefix, Service: service}}
	}
	zone := func(name string, in bool) Draft {
		return Draft{ID: object.ID{Kind: object.KindAvailabilityZone, Name: name}, Spec: object.AvailabilityZoneSpec{InService: in}, AnyVersion: true}
	}
	rollout := func(service string) Draft {
		return Draft{ID: object.ID{Kind: object.KindRollout, Name: service}, Spec: object.RolloutSpec{Target: "v2", OverMs: 12_000}}
	}
	service := Draft{ID: object.ID{Kind: object.KindService, Name: "rota"}, Spec: object.ServiceSpec{}}
	declared, _ := withKey("op-0", "k")
	base := newState(&Snapshot{})
	p, err := put("op-0", service, route("r", "GET", "/rota", "rota"), zone("a", true), zone("b", false)).prepare(base.snapshot, time.Time{})
	qt.Assert(t, err, qt.IsNil)
	keyed, err := declared.prepare(base.snapshot, time.Time{})
	qt.Assert(t, err, qt.IsNil)
	for id, o := range keyed.objects {
		p.objects[id] = o
	}
	snapshot, err := compile(1, p.objects, &Snapshot{})
	qt.Assert(t, err, qt.IsNil)

	tests := map[string]struct {
		op   Operation
		want object.RefusalCode
	}{
		"route to an undeclared service":   {put("1", route("x", "", "/x", "none")), object.Contradiction},
		"rollout of an undeclared service": {put("1", rollout("none")), object.Contradiction},
		"rollout of a service":             {put("1", rollout("rota")), ""},
		"same method and prefix":           {put("1", route("x", "GET", "/rota", "rota")), object.Contradiction},
		"other host, same prefix":          {put("1", Draft{ID: object.ID{Kind: object.KindRoute, Name: "x"}, Spec: object.RouteSpec{Host: "h.example", Method: "GET", PathPrefix: "/rota", Service: "rota"}}), ""},
		"other method, same prefix":        {put("1", route("x", "POST", "/rota", "rota")), ""},
		"service with routes deleted":      {put("1", Draft{ID: service.ID, AnyVersion: true}), object.Contradiction},
		"account with keys deleted":        {put("1", Draft{ID: account("account-k", 1).ID, AnyVersion: true}), object.Contradiction},
		"burst below one":                  {put("1", Draft{ID: account("x", 1).ID, Spec: object.ClientAccountSpec{Rate: 1, Burst: 0.5}}), object.Invalid},
		"rate of zero":                     {put("1", account("x", 0)), object.Invalid},
		"prefix without slash":             {put("1", route("x", "", "x", "rota")), object.Invalid},
		"name not in kebab case":           {put("1", account("X_y", 1)), object.Invalid},
		"object twice":                     {put("1", account("x", 1), account("x", 2)), object.Invalid},
		"created although it exists":       {put("1", service), object.Conflict},
		"deleted although it is gone":      {put("1", Draft{ID: account("x", 1).ID, Expected: 1}), object.Conflict},
		"all zones out":                    {put("1", zone("a", false)), object.ForceNeeded},
		"one of two zones out":             {put("1", zone("b", true), zone("a", false)), ""},
		"service and routes in any order":  {put("1", route("x", "", "/x", "new"), Draft{ID: object.ID{Kind: object.KindService, Name: "new"}, Spec: object.ServiceSpec{}}), ""},
		"more objects than one may change": {put("1", make([]Draft, MaxDrafts+1)...), object.TooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := test.op.prepare(snapshot, time.Time{})
			qt.Assert(t, reasonOf(err), qt.Equals, test.want, qt.Commentf("%v", err))
		})
	}
}
