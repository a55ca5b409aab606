package main

import (
	"context"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/client"
)

// fakeRollouts implements resource.Rollouts with states that a test sets.
type fakeRollouts struct {
	mu       sync.Mutex
	statuses map[string]client.Rollout
	down     bool
}

func (f *fakeRollouts) RolloutStatus(_ context.Context, service string) (client.Rollout, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return client.Rollout{}, false, platform.ErrUnavailable
	}
	status, ok := f.statuses[service]
	return status, ok, nil
}

func (f *fakeRollouts) set(status client.Rollout) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses = map[string]client.Rollout{status.Service: status}
}

// TestRolloutCommand guards against orders that are accepted although they are wrong or come
// while another one runs, and against states that are shown wrong.
func TestRolloutCommand(t *testing.T) {
	ct := newCommandTest(t)
	status, _, stderr := ct.run("apply", "-f", ct.file(declarationsText))
	qt.Assert(t, status, qt.Equals, exitSuccess, qt.Commentf("%s", stderr))
	start := []string{"rollout", "start", "-service", "rota", "-target", "v2", "-over", "12s"}
	totals := &client.VersionTotals{Hosts: 2, Responses: 90, Failures: 3, MedianMs: 5, P95Ms: 21}
	ended := func() {
		ct.rollouts.set(client.Rollout{Service: "rota", Target: "v2", State: "rolled-back", Phase: "rolled-back", Reason: "failures", ElapsedMs: 4200, New: totals})
	}
	steps := []struct {
		before func()
		args   []string
		status subcommands.ExitStatus
		want   string
	}{
		{nil, []string{"rollout"}, exitUsage, "start, status or cancel"},
		{nil, []string{"rollout", "begin"}, exitUsage, "start, status or cancel"},
		{nil, start[:6], exitUsage, "-over must be"},
		{nil, []string{"rollout", "start", "-target", "v2", "-over", "12s"}, exitUsage, "-service names no service"},
		{nil, []string{"rollout", "start", "-service", "rota", "-over", "12s"}, exitUsage, "-target names no version"},
		{nil, []string{"rollout", "start", "-service", "rota", "-target", "v2", "-over", "soon"}, exitUsage, "over"},
		{nil, []string{"rollout", "cancel"}, exitUsage, "-service names no service"},
		{nil, []string{"rollout", "status", "rota"}, exitUsage, "flags only"},
		{nil, []string{"rollout", "start", "-service", "nobody", "-target", "v2", "-over", "12s"}, exitRefused, "not declared"},
		{nil, []string{"rollout", "start", "-service", "rota", "-target", "v 2", "-over", "12s"}, exitRefused, "spec.target"},
		{nil, []string{"rollout", "status", "-service", "rota"}, exitRefused, "not-found"},
		{nil, []string{"rollout", "cancel", "-service", "rota"}, exitRefused, "not-found"},
		{nil, start, exitSuccess, "rollout/rota created"},
		{nil, []string{"rollout", "status"}, exitSuccess, "running"},
		{nil, start, exitConflict, "is running"},
		{ended, []string{"rollout", "status", "-service", "rota"}, exitSuccess, "3 of 90 failed, p50 5 ms, p95 21 ms, 2 hosts"},
		{nil, []string{"rollout", "status", "-o", "json"}, exitSuccess, `"reason": "failures"`},
		{nil, []string{"rollout", "start", "-service", "rota", "-target", "v3", "-over", "10m"}, exitSuccess, "rollout/rota replaced"},
		// The state is that of the earlier order still.
		{nil, []string{"rollout", "status", "-service", "rota"}, exitSuccess, "v3"},
		{nil, []string{"rollout", "cancel", "-service", "rota"}, exitSuccess, "rollout/rota deleted"},
		{func() { ct.rollouts.down = true }, []string{"rollout", "status", "-service", "rota"}, exitNoDefiniteAnswer, "platform-unavailable"},
	}
	for _, step := range steps {
		if step.before != nil {
			step.before()
		}
		status, stdout, stderr := ct.run(step.args...)
		qt.Assert(t, status, qt.Equals, step.status, qt.Commentf("%v: %s%s", step.args, stdout, stderr))
		qt.Assert(t, strings.Contains(stdout+stderr, step.want), qt.IsTrue, qt.Commentf("%v: %s%s", step.args, stdout, stderr))
	}
}

// TestRolloutsDisabled guards against orders that no node obeys.
func TestRolloutsDisabled(t *testing.T) {
	ct := newCommandTestWith(t, nil)
	ct.run("apply", "-f", ct.file(declarationsText))
	for _, args := range [][]string{
		{"rollout", "start", "-service", "rota", "-target", "v2", "-over", "12s"},
		{"rollout", "status", "-service", "rota"},
		{"apply", "-f", ct.file(`{"kind": "rollout", "name": "rota", "spec": {"target": "v2", "over-ms": 1000}}`)},
	} {
		status, _, stderr := ct.run(args...)
		qt.Check(t, status, qt.Equals, exitRefused, qt.Commentf("%v", args))
		qt.Check(t, stderr, qt.Contains, "settings disable rollouts")
	}
}
