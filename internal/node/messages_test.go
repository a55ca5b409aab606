package node

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/rollout"
	"curranthold.example/curranthold/internal/tally"
)

const messagesFile = "testdata/messages.txt"

// TestMessages compares the methods that nodes call at each other, and the fields of
// their messages, with a recorded list. Nodes of two builds run in one fleet during an
// upgrade, and gob passes over fields that one side does not know without an error. A
// changed or removed line of the list needs a fallback for older nodes; run the test
// with -update once there is one.
func TestMessages(t *testing.T) {
	n, _ := newIdleNode(t)
	lines := make(map[string]bool)
	receivers := map[string]any{
		"Membership": n.members.RPC(), "Configuration": n.configuration.RPC(), "Owner": n.owner.RPC(),
		"Quota": n.quota.RPC(), "Claim": n.claims.RPC(), tally.ServiceName: new(tally.Manager).RPC(),
		rollout.ServiceName: new(rollout.Manager).RPC(),
	}
	for name, receiver := range receivers {
		for method := range reflect.TypeOf(receiver).Methods() {
			args, reply := method.Type.In(1).Elem(), method.Type.In(2).Elem()
			lines[fmt.Sprintf("method %s.%s(%v) %v", name, method.Name, args, reply)] = true
			addFields(lines, args)
			addFields(lines, reply)
		}
	}
	list := make([]string, 0, len(lines))
	for line := range lines {
		list = append(list, line)
	}
	slices.Sort(list)
	got := strings.Join(list, "\n") + "\n"
	if *update {
		qt.Assert(t, os.WriteFile(messagesFile, []byte(got), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(messagesFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}

// addFields adds a line for each exported field of a type and of the types it contains.
func addFields(lines map[string]bool, t reflect.Type) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		addFields(lines, t.Elem())
	case reflect.Map:
		addFields(lines, t.Key())
		addFields(lines, t.Elem())
	case reflect.Struct:
		for field := range t.Fields() {
			line := fmt.Sprintf("field %v.%s %v", t, field.Name, field.Type)
			if field.IsExported() && !lines[line] {
				lines[line] = true
				addFields(lines, field.Type)
			}
		}
	default:
	}
}
