package main

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// build builds the command and returns the path of its binary.
func build(t *testing.T) string {
	directory := t.TempDir()
	qt.Assert(t, standin.Build(t.Context(), directory, "."), qt.IsNil)
	return filepath.Join(directory, "curranthold-stand-in")
}

func startProcess(t *testing.T, path string, args ...string) *standin.Process {
	p, err := standin.StartProcess(t.Context(), standin.ProcessConfig{Path: path, Args: args, Log: t.Output()})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, p.Close(), qt.IsNil) })
	return p
}

func TestProcesses(t *testing.T) {
	binary := build(t)
	platformProcess := startProcess(t, binary, "platform", "-listen", "127.0.0.1:0")
	address := platformProcess.Ready()
	client := platform.New(platform.Config{TableAddress: address, StoreAddress: address, Timeout: 200 * time.Millisecond})
	write := platform.Transaction{Writes: []platform.Write{{Key: "a"}}}
	qt.Assert(t, client.Commit(t.Context(), write), qt.IsNil)
	qt.Assert(t, platformProcess.Suspend(t.Context()), qt.IsNil)
	qt.Assert(t, client.Commit(t.Context(), write), qt.ErrorIs, platform.ErrOutcomeUnknown)
	qt.Assert(t, platformProcess.Resume(t.Context()), qt.IsNil)
	qt.Assert(t, platformProcess.Kill(), qt.IsNil)
	qt.Assert(t, client.Commit(t.Context(), write), qt.ErrorIs, platform.ErrUnavailable)
	qt.Assert(t, client.Close(), qt.IsNil)

	backend := startProcess(t, binary, "backend", "-service", "rota", "-listen", "127.0.0.1:0",
		"-cold-slots", "1", "-cold-ms", "60000", "-fall-overruns", "1", "-service-time-ms", "60000")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group conc.WaitGroup
	for range 2 { // the second request arrives while the only cold slot is in use, and causes the crash
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+backend.Ready(), nil)
		qt.Assert(t, err, qt.IsNil)
		group.Go(func() {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	status, err := backend.Wait(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, exitCrashed)
	group.Wait()

	idle := startProcess(t, binary, "backend", "-service", "rota")
	qt.Assert(t, idle.Suspend(t.Context()), qt.IsNil)
	qt.Assert(t, idle.Terminate(), qt.IsNil)
	qt.Assert(t, idle.Resume(t.Context()), qt.IsNil)
	status, err = idle.Wait(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, 0)
	qt.Assert(t, idle.Resume(t.Context()), qt.IsNil)
	qt.Assert(t, idle.Suspend(t.Context()), qt.ErrorIs, os.ErrProcessDone)
	idle.Ready() // does not block after the process has ended
}

func TestProcessEndsBeforeReady(t *testing.T) {
	_, err := standin.StartProcess(t.Context(), standin.ProcessConfig{Path: build(t), Args: []string{"backend"}})
	qt.Assert(t, err, qt.ErrorMatches, ".*ended before it was ready: exit status 2")
}

func TestCallFlag(t *testing.T) {
	var calls callFlag
	qt.Assert(t, calls.Set("GET /peals"), qt.IsNil)
	qt.Assert(t, calls.Set("POST /claims"), qt.IsNil)
	qt.Assert(t, calls.Set("peals"), qt.IsNotNil)
	qt.Assert(t, calls.String(), qt.Equals, "GET /peals, POST /claims")
}

func TestCallersCommandChecks(t *testing.T) {
	plan := filepath.Join(t.TempDir(), "plan.json")
	tests := map[string]struct {
		command callersCommand
		want    string
	}{
		"no plan":      {callersCommand{entries: "a"}, "-entries or -plan is missing"},
		"wrong output": {callersCommand{entries: "a", plan: plan, output: "xml"}, `-o "xml" is neither.*`},
		"missing file": {callersCommand{entries: "a", plan: plan, output: "json", maxInFlight: 1}, ".*no such file.*"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := test.command.config()
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}
