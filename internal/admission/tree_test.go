package admission_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/pkg/object"
)

// callTrees is a load of root requests, each of which makes several calls to
// one backend server, one after the other, and fails as soon as one of them is
// refused.
type callTrees struct {
	controller *admission.Controller
	// reportProgress makes the calls report how many were served before them.
	reportProgress bool
	// completed counts the root requests of which all calls were served, and
	// wasted the served calls of the others.
	completed, wasted atomic.Int64
}

const (
	treeCalls   = 5
	callTime    = 50 * time.Millisecond
	treeSlots   = 8
	treeMaxWait = 150 * time.Millisecond
)

// runTree makes the calls of one root request.
func (l *callTrees) runTree(ctx context.Context) {
	for made := range treeCalls {
		request := admission.Request{Urgency: object.Normal, Depth: 2, MaxWait: treeMaxWait}
		if l.reportProgress {
			request.Progress = made
		}
		permit, err := l.controller.Acquire(ctx, request)
		if err != nil {
			l.wasted.Add(int64(made))
			return
		}
		time.Sleep(callTime)
		permit.Done(admission.Succeeded)
		time.Sleep(callTime) // The time of the other calls of the tree.
	}
	l.completed.Add(1)
}

// runLoad starts root requests at twice the rate that the backend server can
// handle.
func (l *callTrees) runLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l.controller = admission.New(admission.Config{})
		l.controller.Announce(admission.Announcement{Slots: treeSlots})
		const treesPerSecond = 2 * treeSlots * int(time.Second/callTime) / treeCalls
		var wg sync.WaitGroup
		for range 20 * treesPerSecond {
			wg.Go(func() { l.runTree(t.Context()) })
			time.Sleep(time.Second / time.Duration(treesPerSecond))
		}
		wg.Wait()
		l.controller.Close()
	})
}

// TestProgressCompletesMoreTrees sends twice the load that a backend server can
// handle, in call trees of five calls. It checks that serving the calls of more
// advanced trees first completes more trees, and wastes fewer calls on trees
// that fail.
func TestProgressCompletesMoreTrees(t *testing.T) {
	plain, ordered := &callTrees{}, &callTrees{reportProgress: true}
	plain.runLoad(t)
	ordered.runLoad(t)
	t.Logf("without progress: %d trees completed, %d calls wasted; with progress: %d completed, %d wasted",
		plain.completed.Load(), plain.wasted.Load(), ordered.completed.Load(), ordered.wasted.Load())
	qt.Check(t, float64(ordered.completed.Load()) >= 1.2*float64(plain.completed.Load()), qt.IsTrue)
	qt.Check(t, float64(ordered.wasted.Load()) <= 0.5*float64(plain.wasted.Load()), qt.IsTrue)
}
