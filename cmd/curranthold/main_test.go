package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"

	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/resource"
	"curranthold.example/curranthold/internal/standin"
)

// memoryTable is an in-memory table whose Get fails while down is set.
type memoryTable struct {
	*standin.Table
	down atomic.Bool
}

func (t *memoryTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if t.down.Load() {
		return nil, platform.ErrUnavailable
	}
	return t.Table.Get(ctx, keys...)
}

type noPeers struct{}

func (noPeers) Call(context.Context, string, string, any, any) error { return peer.ErrNotSent }

const token = "an-operators-token"

// commandTest runs commands against the resource API of one node.
type commandTest struct {
	t     *testing.T
	table *memoryTable
	// rollouts has the states of rollouts, nil if the settings disable them.
	rollouts *fakeRollouts
	url      string
}

func newCommandTest(t *testing.T) *commandTest { return newCommandTestWith(t, new(fakeRollouts)) }

func newCommandTestWith(t *testing.T, rollouts *fakeRollouts) *commandTest {
	ct := &commandTest{t: t, table: &memoryTable{Table: standin.NewTable()}, rollouts: rollouts}
	replica := configuration.New(configuration.Config{Host: "h1", Zone: "zone-a", Table: ct.table, Peers: noPeers{}})
	replica.SetHosts([]configuration.Host{{ID: "h1", Zone: "zone-a", Address: "h1"}})
	go func() { _ = replica.Run(context.Background()) }()
	t.Cleanup(func() { qt.Check(t, replica.Close(), qt.IsNil) })
	<-replica.Ready()
	sum := sha256.Sum256([]byte(token))
	config := resource.Config{
		Host: "h1", Zone: "zone-a", Configuration: replica, Table: ct.table,
		Operators: map[string]string{hex.EncodeToString(sum[:]): "anna"},
	}
	if rollouts != nil {
		config.Rollouts = rollouts
	}
	server := httptest.NewServer(resource.New(config))
	t.Cleanup(server.Close)
	ct.url = server.URL
	return ct
}

func (ct *commandTest) run(args ...string) (status subcommands.ExitStatus, stdout, stderr string) {
	return ct.runWith(token, args...)
}

func (ct *commandTest) runWith(token string, args ...string) (subcommands.ExitStatus, string, string) {
	var out, errOut bytes.Buffer
	env := environment{stdout: &out, stderr: &errOut, getenv: func(name string) string {
		return map[string]string{envToken: token, envNode: "http://127.0.0.1:1," + ct.url}[name]
	}}
	status := run(ct.t.Context(), args, env)
	return status, out.String(), errOut.String()
}

func (ct *commandTest) file(text string) string {
	name := filepath.Join(ct.t.TempDir(), "objects.json")
	qt.Assert(ct.t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	return name
}

const declarationsText = `[
  // The rota board and its callers.
  {"kind": "route", "name": "rota", "spec": {"path-prefix": "/rota", "service": "rota", "urgency": "normal"}},
  {"kind": "service", "name": "rota", "spec": {}},
  {"kind": "client-account", "name": "captains", "spec": {"rate": 50, "burst": 20}},
  {"kind": "availability-zone", "name": "zone-a", "spec": {"in-service": true}},
]`

func TestSession(t *testing.T) {
	ct := newCommandTest(t)
	file := ct.file(declarationsText)
	steps := []struct {
		args   []string
		status subcommands.ExitStatus
		want   string
	}{
		{[]string{"check", "-local", "-f", file}, exitSuccess, "4 objects, no mistakes"},
		{[]string{"check", "-f", file}, exitSuccess, "4 would change"},
		{[]string{"apply", "-wait", "5s", "-f", file}, exitSuccess, "route/rota created"},
		{[]string{"apply", "-f", file}, exitSuccess, "nothing to change"},
		{[]string{"get", "route"}, exitSuccess, "rota"},
		{[]string{"get", "-o", "json", "client-account", "captains"}, exitSuccess, `"status": "true"`},
		{[]string{"key", "-account", "captains", "create", "captains-1"}, exitSuccess, "ch1.captains-1."},
		{[]string{"key", "-account", "nobody", "create", "nobody-1"}, exitRefused, "not declared"},
		{[]string{"key", "withdraw", "captains-1"}, exitSuccess, "key/captains-1 replaced"},
		{[]string{"zone", "out", "zone-a"}, exitRefused, "force"},
		{[]string{"zone", "-force", "out", "zone-a"}, exitSuccess, "availability-zone/zone-a replaced"},
		{[]string{"delete", "service", "rota"}, exitRefused, "not declared"},
		{[]string{"delete", "-version", "7", "route", "rota"}, exitConflict, "another operation"},
		{[]string{"delete", "route", "rota"}, exitSuccess, "route/rota deleted"},
		{[]string{"get", "route", "rota"}, exitRefused, "not-found"},
		{[]string{"describe", "client-account", "captains"}, exitSuccess, "in-force: true"},
		{[]string{"watch", "-after", "1", "-count", "1", "key"}, exitSuccess, "2 put key/captains-1"},
		{[]string{"audit"}, exitSuccess, "key-withdraw"},
		{[]string{"status"}, exitSuccess, "in-force: true"},
		{[]string{"get", "rout"}, exitUsage, "there is no kind"},
		{[]string{"apply"}, exitUsage, "names no file"},
		{[]string{"get", "-o", "xml", "route"}, exitUsage, "must be table or json"},
		{[]string{"get", "-node", "127.0.0.1:1", "route"}, exitNoDefiniteAnswer, "no node answered"},
	}
	for _, step := range steps {
		status, stdout, stderr := ct.run(step.args...)
		qt.Assert(t, status, qt.Equals, step.status, qt.Commentf("%v: %s%s", step.args, stdout, stderr))
		qt.Assert(t, strings.Contains(stdout+stderr, step.want), qt.IsTrue, qt.Commentf("%v: %s%s", step.args, stdout, stderr))
	}
	status, _, stderr := ct.runWith("wrong", "get", "route")
	qt.Assert(t, status, qt.Equals, exitRefused)
	qt.Assert(t, strings.Contains(stderr, "unauthorized"), qt.IsTrue)
	ct.table.down.Store(true)
	status, _, stderr = ct.run("key", "-account", "captains", "create", "captains-2")
	qt.Assert(t, status, qt.Equals, exitNoDefiniteAnswer, qt.Commentf("%s", stderr))
}

func TestCheckNamesPlaces(t *testing.T) {
	ct := newCommandTest(t)
	tests := map[string]struct{ text, want string }{
		"field":         {"[\n// one\n{\"kind\": \"client-account\", \"name\": \"a\",\n \"spec\": {\n  \"rate\": 5,\n  \"burst\": 0}}]", ":6: spec.burst: "},
		"missing field": {"{\"kind\": \"route\", \"name\": \"a\",\n \"spec\": {\"path-prefix\": \"/\", \"service\": \"s\"}}", ":2: spec.urgency: "},
		"unknown field": {"{\"kind\": \"service\", \"name\": \"a\", \"spec\": {\n\"rate\": 1}}", ":2: spec.rate: "},
		"duplicate":     {"{\"kind\": \"service\", \"name\": \"a\",\n\"name\": \"b\", \"spec\": {}}", ":2: name: the field stands twice"},
		"same object":   {"[{\"kind\": \"service\", \"name\": \"a\", \"spec\": {}},\n{\"kind\": \"service\", \"name\": \"a\", \"spec\": {}}]", ":2: name: "},
		"syntax":        {"{\"kind\": \"service\",\n \"name\" \"a\"}", ":2: "},
		"contradiction": {"{\"kind\": \"route\", \"name\": \"a\", \"spec\": {\n\"path-prefix\": \"/\", \"urgency\": \"normal\",\n\"service\": \"s\"}}", ":3: spec.service: "},
		"key":           {"{\"kind\": \"key\", \"name\": \"k\", \"spec\": {\"client-account\": \"a\",\n\"salt\": \"00\", \"hash\": \"00\", \"withdrawn\": false}}", ":2: spec.salt: "},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := ct.file(test.text)
			status, _, stderr := ct.run("check", "-f", file)
			qt.Assert(t, status, qt.Equals, exitRefused, qt.Commentf("%s", stderr))
			qt.Assert(t, strings.Contains(stderr, file+test.want), qt.IsTrue, qt.Commentf("%s", stderr))
		})
	}
}

func TestHelpShowsExamples(t *testing.T) {
	ct := newCommandTest(t)
	for _, c := range slices.Concat(objectCommands(environment{}), stateCommands(environment{})) {
		status, stdout, _ := ct.run("help", c.name)
		qt.Assert(t, status, qt.Equals, exitSuccess)
		qt.Assert(t, strings.Contains(stdout, "\n  curranthold "+c.name), qt.IsTrue, qt.Commentf("%s", stdout))
	}
}

// TestHelp checks that the help text lists the exit statuses, and that the help text
// of each command has an example.
func TestHelp(t *testing.T) {
	ct := newCommandTest(t)
	_, stdout, _ := ct.run("help")
	qt.Check(t, stdout, qt.Contains, "Exit codes: 0 done;")
	for _, c := range append(objectCommands(environment{}), stateCommands(environment{})...) {
		_, stdout, _ = ct.run("help", c.Name())
		qt.Check(t, stdout, qt.Contains, "\n  curranthold "+c.Name(), qt.Commentf("%s", c.Name()))
	}
}
