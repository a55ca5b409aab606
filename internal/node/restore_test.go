package node

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/settings"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/object"
)

// restoredSource is a source whose store has come back from an older copy era-1 times.
type restoredSource struct{ era atomic.Uint64 }

// Read implements configuration.Source.
func (s *restoredSource) Read(context.Context) (configuration.Declared, bool, error) {
	generation := configuration.NewGeneration(s.era.Load(), 7)
	service := object.Object{Kind: object.KindService, Metadata: object.Metadata{Name: "peals"}, Spec: object.ServiceSpec{}}
	return configuration.Declared{Generation: generation, AsOf: generation, Objects: []object.Object{service}}, true, nil
}

// Watch implements configuration.Source.
func (s *restoredSource) Watch(ctx context.Context, asOf uint64, _ time.Duration) (changed, next uint64, err error) {
	select {
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	case <-time.After(50 * time.Millisecond):
	}
	if generation := configuration.NewGeneration(s.era.Load(), 7); generation > asOf {
		return generation, generation, nil
	}
	return 0, asOf, nil
}

// writeCountingTable counts the writes to the directory of hosts.
type writeCountingTable struct {
	platform.Table
	writes atomic.Int64
}

// Commit implements platform.Table.
func (t *writeCountingTable) Commit(ctx context.Context, tx platform.Transaction) error {
	for _, w := range tx.Writes {
		if strings.HasPrefix(w.Key, "directory/") {
			t.writes.Add(1)
		}
	}
	return t.Table.Commit(ctx, tx)
}

// TestDirectoryRowIsWrittenAgainOnceAnEra raises the era of the source's store twice.
func TestDirectoryRowIsWrittenAgainOnceAnEra(t *testing.T) {
	source := new(restoredSource)
	source.era.Store(1)
	table := &writeCountingTable{Table: standin.NewTable()}
	const anyPort = "127.0.0.1:0"
	n, err := NewWithAdapter(settings.Settings{
		Host: "own", AvailabilityZone: "a", CallerAddress: anyPort, BackendAddress: anyPort,
		PeerAddress: anyPort, OperatorAddress: anyPort,
	}, Adapter{Table: table, Source: source})
	qt.Assert(t, err, qt.IsNil)
	n.wg.Go(func() { n.members.Run(context.Background()) })
	n.wg.Go(func() { _ = n.configuration.Run(context.Background()) })
	<-n.configuration.Ready()
	awaitWrites := func(want int64) {
		for end := time.Now().Add(5 * time.Second); table.writes.Load() < want && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		qt.Check(t, table.writes.Load(), qt.Equals, want)
	}
	awaitWrites(1)
	for era := uint64(2); era <= 3; era++ {
		source.era.Store(era)
		awaitWrites(int64(era))
	}
	qt.Check(t, n.closeComponents(), qt.IsNil)
	n.wg.Wait()
}
