package standin

import (
	"context"
	"slices"
	"strings"
	"sync"

	"curranthold.example/curranthold/internal/platform"
)

// maxPageBytes is the total size of the values after which a page of a list ends.
const maxPageBytes = 64 << 10

// table is an in-memory table of versioned rows. Its operations are serializable.
type table struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	// keys holds the keys of rows, sorted.
	keys []string
}

func newTable() *table {
	return &table{rows: map[string]platform.Row{}}
}

// get returns a row for each key; one that does not exist has version 0.
func (t *table) get(keys []string) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = platform.Row{Key: key, Version: t.rows[key].Version, Value: t.rows[key].Value}
	}
	return rows
}

// list returns the next page of the rows that r requests.
func (t *table) list(r platform.ListRequest) platform.Rows {
	t.mu.Lock()
	defer t.mu.Unlock()
	page := platform.Rows{Rows: []platform.Row{}}
	first, _ := slices.BinarySearch(t.keys, max(r.After, r.Prefix))
	size := 0
	for _, key := range t.keys[first:] {
		if key == r.After {
			continue
		}
		if !strings.HasPrefix(key, r.Prefix) || len(page.Rows) == r.Limit {
			break
		}
		if size > maxPageBytes {
			page.More = true
			break
		}
		size += len(t.rows[key].Value)
		page.Rows = append(page.Rows, t.rows[key])
	}
	return page
}

// commit applies tx if all its conditions hold, and reports whether they did.
func (t *table) commit(tx platform.Transaction) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, condition := range tx.Conditions {
		if t.rows[condition.Key].Version != condition.Version {
			return false
		}
	}
	for _, write := range tx.Writes {
		t.write(write)
	}
	return true
}

// Table is an in-process table, for tests that need no HTTP server. It implements
// [platform.Table].
type Table struct{ table *table }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{table: newTable()} }

// Get implements [platform.Table].
func (t *Table) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	return t.table.get(keys), nil
}

// List implements [platform.Table].
func (t *Table) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var rows []platform.Row
	for {
		page := t.table.list(platform.ListRequest{Prefix: prefix, After: after, Limit: limit - len(rows)})
		rows = append(rows, page.Rows...)
		if !page.More {
			return rows, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// Commit implements [platform.Table].
func (t *Table) Commit(_ context.Context, tx platform.Transaction) error {
	if !t.table.commit(tx) {
		return platform.ErrConflict
	}
	return nil
}

func (t *table) write(w platform.Write) {
	at, found := slices.BinarySearch(t.keys, w.Key)
	if w.Delete {
		if found {
			t.keys = slices.Delete(t.keys, at, at+1)
			delete(t.rows, w.Key)
		}
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, at, w.Key)
	}
	t.rows[w.Key] = platform.Row{Key: w.Key, Version: t.rows[w.Key].Version + 1, Value: w.Value}
}
