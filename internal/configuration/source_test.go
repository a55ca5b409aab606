package configuration

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/object"
)

// sharedSource is a source whose store also receives unrelated writes and keeps a
// short history of changes.
type sharedSource struct {
	mu          sync.Mutex
	version     uint64
	reads       int
	historyLost int
}

const (
	// unrelatedWrites is the number of versions that unrelated writes add during one
	// watch.
	unrelatedWrites = 10
	// historyLength is the number of versions in the store's history.
	historyLength = 25
)

func (s *sharedSource) Read(context.Context) (Declared, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	service := object.Object{Kind: object.KindService, Metadata: object.Metadata{Name: "peals"}, Spec: object.ServiceSpec{}}
	return Declared{Generation: 1, AsOf: s.version, Objects: []object.Object{service}}, true, nil
}

func (s *sharedSource) Watch(ctx context.Context, asOf uint64, wait time.Duration) (changed, next uint64, err error) {
	select {
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	case <-time.After(wait):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += unrelatedWrites
	if asOf+historyLength < s.version {
		s.historyLost++
		return 0, 0, platform.ErrHistoryLost
	}
	return 0, s.version, nil
}

// TestWatchWithoutReread adds more unrelated writes to the store than its history
// holds. A host whose configuration does not change must go on watching without
// reading the configuration again.
func TestWatchWithoutReread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &sharedSource{version: 1}
		replica := New(Config{Host: "own", Zone: "a", Source: source})
		replica.SetHosts([]Host{{ID: "own", Zone: "a", Address: "own"}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = replica.Run(ctx)
		}()
		<-replica.Ready()
		time.Sleep(10 * shortWatch)
		cancel()
		<-done
		qt.Check(t, replica.Close(), qt.IsNil)
		qt.Check(t, source.historyLost, qt.Equals, 0)
		qt.Check(t, source.reads <= 3, qt.IsTrue, qt.Commentf("%d reads", source.reads))
	})
}
