package node

import (
	"bytes"
	"expvar"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/event"
	_ "curranthold.example/curranthold/internal/rollout"
	_ "curranthold.example/curranthold/internal/standin"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md")

const (
	eventsPage  = "../../docs/EVENTS.md"
	metricsPage = "../../docs/METRICS.md"
)

func eventsTable() string {
	var page strings.Builder
	page.WriteString("# Events\n\n")
	page.WriteString("Each log line is JSON; its field `event` is the number below and its `message` the name.\n")
	page.WriteString("This page is written by `go test ./internal/node -run TestEventCatalogue -update`.\n\n")
	page.WriteString("| event | name | level | meaning |\n|---|---|---|---|\n")
	for _, e := range event.All() {
		fmt.Fprintf(&page, "| %d | `%s` | %s | %s |\n", e.Number(), e.Name(), e.Level(), e.Meaning())
	}
	return page.String()
}

func TestEventCatalogue(t *testing.T) {
	if *update {
		qt.Assert(t, os.WriteFile(eventsPage, []byte(eventsTable()), 0o644), qt.IsNil)
	}
	page, err := os.ReadFile(eventsPage)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(page), qt.Equals, eventsTable())
}

// TestMetricCatalogue checks that the metrics page lists every published metric
// with a complete row.
func TestMetricCatalogue(t *testing.T) {
	page, err := os.ReadFile(metricsPage)
	qt.Assert(t, err, qt.IsNil)
	expvar.Do(func(group expvar.KeyValue) {
		values, ok := group.Value.(*expvar.Map)
		if !ok || !strings.HasPrefix(group.Key, "curranthold-") {
			return
		}
		qt.Check(t, string(page), qt.Contains, "## "+group.Key)
		values.Do(func(metric expvar.KeyValue) {
			row := regexp.MustCompile("(?m)^\\| `" + regexp.QuoteMeta(metric.Key) + "` \\| [^|]+ \\| [^|]+ \\| [^|?]{5,} \\|$")
			qt.Check(t, row.Match(section(page, group.Key)), qt.IsTrue, qt.Commentf("%s of %s", metric.Key, group.Key))
		})
	})
}

// section returns the text between a second-level heading and the next one.
func section(page []byte, heading string) []byte {
	_, after, _ := bytes.Cut(page, []byte("## "+heading+"\n"))
	part, _, _ := bytes.Cut(after, []byte("\n## "))
	return part
}
