package standin

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"curranthold.example/curranthold/internal/platform"
)

// naiveList is a reference implementation of table.list, over a map of the rows'
// versions.
func naiveList(rows map[string]uint64, r platform.ListRequest) []platform.Row {
	list := []platform.Row{}
	for key, version := range rows {
		if strings.HasPrefix(key, r.Prefix) && key > r.After {
			list = append(list, platform.Row{Key: key, Version: version})
		}
	}
	slices.SortFunc(list, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return list[:min(len(list), r.Limit)]
}

func TestTableAgainstNaive(t *testing.T) {
	key := rapid.StringOf(rapid.RuneFrom([]rune("ab/")))
	rapid.Check(t, func(t *rapid.T) {
		table, naive := newTable(), map[string]uint64{}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			k := key.Draw(t, "key")
			version := rapid.Uint64Range(0, 2).Draw(t, "version")
			w := platform.Write{Key: k, Delete: rapid.Bool().Draw(t, "delete")}
			committed := table.commit(platform.Transaction{
				Conditions: []platform.Condition{{Key: k, Version: version}},
				Writes:     []platform.Write{w},
			})
			if committed != (naive[k] == version) {
				t.Fatalf("commit with version %d of %q: %t; naive version %d", version, k, committed, naive[k])
			}
			switch {
			case !committed:
			case w.Delete:
				delete(naive, k)
			default:
				naive[k]++
			}
			r := platform.ListRequest{
				Prefix: key.Draw(t, "prefix"),
				After:  key.Draw(t, "after"),
				Limit:  rapid.IntRange(0, 5).Draw(t, "limit"),
			}
			got, want := table.list(r).Rows, naiveList(naive, r)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("list %+v: got %v, want %v", r, got, want)
			}
		}
	})
}
