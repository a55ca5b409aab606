package membership

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
)

// countingTable is an empty directory that counts its reads.
type countingTable struct {
	platform.Table
	lists int
}

func (t *countingTable) List(context.Context, string, string, int) ([]platform.Row, error) {
	t.lists++
	return nil, nil
}

func (t *countingTable) Commit(context.Context, platform.Transaction) error { return nil }

// errorCaller returns the same error, or nil, for every call.
type errorCaller struct{ err error }

func (p errorCaller) Call(context.Context, string, string, any, any) error { return p.err }

// TestJoinReadsDirectory counts how often a node reads the directory when it
// starts. The read after the node has written its own row is always needed: without
// it, two nodes that start at the same time may not find each other.
func TestJoinReadsDirectory(t *testing.T) {
	tests := map[string]struct {
		seeds []string
		err   error
		want  int
	}{
		"seed answers":        {seeds: []string{"seed"}, want: 1},
		"no seed":             {want: 2},
		"seed is silent":      {seeds: []string{"seed"}, err: peer.ErrNotSent, want: 2},
		"only seed is itself": {seeds: []string{"own"}, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := new(countingTable)
			l := New(Config{ID: "own", Address: "own", Seeds: test.seeds, Table: table, Peers: errorCaller{test.err}})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go l.serveInbox(ctx)
			l.join(ctx)
			qt.Assert(t, table.lists, qt.Equals, test.want)
		})
	}
}
