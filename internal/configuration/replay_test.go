package configuration

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/object"
)

// replay is one random run with its recorded results. It is also a testing.TB whose
// Fatal fails the rapid run, so that rapid shrinks the input.
type replay struct {
	testing.TB
	t      *rapid.T
	fleet  *fleet
	random *rand.Rand

	mu sync.Mutex
	// accepted holds the accepted operations by generation. unknown holds the
	// operations with an unknown outcome by ID. refused holds the IDs of refused
	// operations.
	accepted  map[uint64]Draft
	unknown   map[string]Draft
	refused   []string
	published []publication
	ops       int
}

// publication is a snapshot that a host published.
type publication struct {
	host       string
	generation uint64
	content    string
}

func render(accounts map[string]object.ClientAccountSpec) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		fmt.Fprintf(&b, "%s=%v ", name, accounts[name].Rate)
	}
	return b.String()
}

// TestReplay compares the snapshots that hosts publish with a plain map to which the
// accepted operations are applied in order. Meanwhile messages are lost, duplicated,
// delayed and reordered, hosts restart, the table fails, and its responses are lost.
func TestReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) { // Hides T.Deadline, which must not be called in a synctest bubble.
			seed := rapid.Uint64().Draw(rt, "seed")
			r := &replay{
				TB: t, t: rt, fleet: newFleet(t, 2, 3), random: rand.New(rand.NewPCG(seed, seed)),
				accepted: map[uint64]Draft{}, unknown: map[string]Draft{},
			}
			defer r.fleet.stopAll()
			for _, h := range r.fleet.hosts {
				r.start(h)
			}
			time.Sleep(time.Second)
			for range rapid.IntRange(3, 20).Draw(rt, "steps") {
				r.step()
			}
			r.clearFaults()
			r.compare()
		})
	})
}

func (r *replay) Fatal(args ...any) { r.t.Fatal(args...) }

func (r *replay) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *replay) start(h Host) {
	last := int64(-1)
	r.fleet.start(h, func(s *Snapshot) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if int64(s.Generation()) <= last {
			r.t.Errorf("%s published generations out of order: %d, then %d", h.ID, last, s.Generation())
		}
		last = int64(s.Generation())
		r.published = append(r.published, publication{h.ID, s.Generation(), render(s.Accounts())})
	})
}

func (r *replay) step() {
	host := r.fleet.hosts[rapid.IntRange(0, len(r.fleet.hosts)-1).Draw(r.t, "host")]
	switch rapid.SampledFrom([]string{"apply", "apply", "apply", "restart", "table", "network", "answers", "late", "wait"}).Draw(r.t, "step") {
	case "apply":
		r.apply(rapid.IntRange(1, 3).Draw(r.t, "operators"))
	case "restart":
		r.start(host)
	case "table":
		r.fleet.table.setDown(rapid.Bool().Draw(r.t, "down"))
	case "network":
		drop, duplicatePercent, delay := rapid.IntRange(0, 60).Draw(r.t, "drop"), rapid.IntRange(0, 30).Draw(r.t, "double"), rapid.IntRange(1, 600).Draw(r.t, "delay")
		r.fleet.setFault(func(_, _ Host) messageFault {
			return messageFault{
				drop: r.randomInt(100) < drop, loseAnswer: r.randomInt(100) < drop/2, duplicate: r.randomInt(100) < duplicatePercent,
				delay: time.Duration(r.randomInt(delay)) * time.Millisecond,
			}
		})
	case "answers":
		lost := rapid.IntRange(0, 80).Draw(r.t, "lost")
		r.fleet.table.setOnCommit(func(platform.Transaction) (commitOutcome, bool) {
			return commitOutcome(1 + r.randomInt(4)), r.randomInt(100) < lost
		})
	case "late":
		r.fleet.table.applyDelayed()
	case "wait":
		time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(r.t, "ms")) * time.Millisecond)
	}
}

// apply runs the changes of several operators concurrently through several hosts.
func (r *replay) apply(operators int) {
	var operations sync.WaitGroup
	for range operators {
		r.ops++
		id := fmt.Sprintf("op-%d", r.ops)
		d := account(fmt.Sprintf("account-%d", rapid.IntRange(0, 3).Draw(r.t, "account")), float64(r.ops))
		if rapid.IntRange(0, 3).Draw(r.t, "delete") == 0 {
			d.Spec = nil
		}
		replica := r.fleet.replica(rapid.IntRange(0, len(r.fleet.hosts)-1).Draw(r.t, "through"))
		operations.Go(func() { r.applyOperation(replica, id, d) })
	}
	operations.Wait()
}

func (r *replay) applyOperation(replica *Replica, id string, d Draft) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	result, err := replica.Apply(ctx, put(id, d))
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil && len(result.Edits) > 0:
		if _, duplicate := r.accepted[result.Generation]; duplicate {
			r.t.Errorf("generation %d was accepted twice", result.Generation)
		}
		r.accepted[result.Generation] = d
		delete(r.unknown, id)
	case reasonOf(err) == object.OutcomeUnknown:
		r.unknown[id] = d
	case err != nil:
		r.refused = append(r.refused, id)
	}
}

// clearFaults ends all faults, applies the delayed commits, and repeats the
// operations with an unknown outcome.
func (r *replay) clearFaults() {
	r.fleet.table.setOnCommit(nil)
	r.fleet.table.setDown(false)
	r.fleet.setFault(nil)
	r.fleet.table.applyDelayed()
	for _, h := range r.fleet.hosts {
		<-r.fleet.running[h.Address].Ready()
	}
	for _, id := range slices.Sorted(maps.Keys(r.unknown)) {
		r.applyOperation(r.fleet.replica(0), id, r.unknown[id])
	}
	time.Sleep(inForceDeadline)
}

// compare checks all published snapshots, the final snapshot of each host, and that
// no refused operation took effect.
func (r *replay) compare() {
	model := map[string]object.ClientAccountSpec{}
	want := map[uint64]string{0: ""}
	last := uint64(len(r.accepted))
	for generation := uint64(1); generation <= last; generation++ {
		d, ok := r.accepted[generation]
		qt.Assert(r, ok, qt.IsTrue, qt.Commentf("no operation was reported as accepted in generation %d", generation))
		delete(model, d.ID.Name)
		if spec, isPut := d.Spec.(object.ClientAccountSpec); isPut {
			model[d.ID.Name] = spec
		}
		want[generation] = render(model)
	}
	r.mu.Lock()
	published := slices.Clone(r.published)
	r.mu.Unlock()
	for _, s := range published {
		qt.Assert(r, s.content, qt.Equals, want[s.generation], qt.Commentf("%s at generation %d", s.host, s.generation))
	}
	for i, h := range r.fleet.hosts {
		s := r.fleet.replica(i).Snapshot()
		qt.Assert(r, s.Generation(), qt.Equals, last, qt.Commentf("%s", h.ID))
		qt.Assert(r, render(s.Accounts()), qt.Equals, want[last])
	}
	for _, id := range r.refused {
		rows, err := r.fleet.table.Get(context.Background(), operationKey(id))
		qt.Assert(r, err, qt.IsNil)
		qt.Assert(r, rows[0].Version, qt.Equals, uint64(0), qt.Commentf("%s was refused but took effect", id))
	}
}
