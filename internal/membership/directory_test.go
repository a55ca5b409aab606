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

// listTable is a directory that lists hosts, or cannot be read.
type listTable struct {
	countingTable
	keys []string
	err  error
}

func (t *listTable) List(context.Context, string, string, int) ([]platform.Row, error) {
	var rows []platform.Row
	for _, id := range t.keys {
		rows = append(rows, platform.Row{Key: directoryKey("z", id), Value: []byte(`{"id":"` + id + `"}`)})
	}
	return rows, t.err
}

// TestExpectedHosts checks how many hosts a node expects that reaches none of them.
func TestExpectedHosts(t *testing.T) {
	tests := map[string]struct {
		table listTable
		want  int
	}{
		"own row and others":        {table: listTable{keys: []string{"own", "a", "b"}}, want: 3},
		"others only":               {table: listTable{keys: []string{"a", "b"}}, want: 3},
		"own row only":              {table: listTable{keys: []string{"own"}}, want: 1},
		"directory cannot be read":  {table: listTable{err: platform.ErrUnavailable}, want: assumedHosts},
		"directory is read in part": {table: listTable{keys: []string{"a"}, err: platform.ErrUnavailable}, want: assumedHosts},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := New(Config{ID: "own", Zone: "z", Address: "own", Table: &test.table, Peers: errorCaller{peer.ErrNotSent}})
			qt.Assert(t, l.ExpectedHosts(), qt.Equals, assumedHosts)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go l.serveInbox(ctx)
			l.join(ctx)
			qt.Assert(t, l.ExpectedHosts(), qt.Equals, test.want)
		})
	}
}
