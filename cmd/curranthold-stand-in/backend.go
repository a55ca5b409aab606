package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"curranthold.example/curranthold/internal/standin"
)

// exitCrashed is the exit status of a backend server that crashed in cold start.
const exitCrashed = 3

// backendCommand runs a stand-in for a backend server.
type backendCommand struct {
	listen        string
	runs          string
	serviceTimeMs int
	coldMs        int
	downtimeMs    int
	calls         callFlag
	config        standin.BackendConfig
}

// callFlag is a flag that may be repeated; each use adds a nested call.
type callFlag []standin.NestedCall

// String implements flag.Value.
func (c *callFlag) String() string {
	calls := make([]string, 0, len(*c))
	for _, call := range *c {
		calls = append(calls, call.Method+" "+call.Path)
	}
	return strings.Join(calls, ", ")
}

// Set implements flag.Value.
func (c *callFlag) Set(text string) error {
	call, err := standin.ParseNestedCall(text)
	if err != nil {
		return err
	}
	*c = append(*c, call)
	return nil
}

// Name implements subcommands.Command.
func (*backendCommand) Name() string { return "backend" }

// Synopsis implements subcommands.Command.
func (*backendCommand) Synopsis() string { return "run a backend server" }

// Usage implements subcommands.Command.
func (*backendCommand) Usage() string {
	return `backend -service NAME [-node ADDRESS] [flags]:
  Runs a backend server that announces itself to its node each second. On SIGTERM
  it withdraws the announcement, finishes the requests in progress and exits. It
  exits with status 3 when it crashes in cold start. Faults are set with POST
  /control while it runs; GET /control/stats returns its counts.

  Example:
    curranthold-stand-in backend -service rota -node 127.0.0.1:7102 \
      -listen 127.0.0.1:7103 -slots 150 -service-time-ms 20 \
      -cold-slots 10 -cold-requests 200 -calls "GET /peals/today" -runs runs.jsonl
    curl -d '{"cold": true, "refuse": 0.1, "service-time-ms": 200}' \
      http://127.0.0.1:7103/control
`
}

// SetFlags implements subcommands.Command.
func (c *backendCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&c.runs, "runs", "", "file to which each run is appended as a JSON line")
	flags.StringVar(&c.config.Service, "service", "", "name of the service")
	flags.StringVar(&c.config.Version, "version", "", "version that it announces")
	flags.StringVar(&c.config.Node, "node", "", "address at which the node accepts announcements and nested calls of its backend server")
	flags.IntVar(&c.config.Slots, "slots", 50, "maximum number of concurrent requests; more are refused")
	flags.IntVar(&c.config.Connections, "connections", 400, "number of connections that it announces")
	flags.IntVar(&c.serviceTimeMs, "service-time-ms", 10, "mean service time, in milliseconds")
	flags.Uint64Var(&c.config.Seed, "seed", 1, "seed of the random choices: service times, and which requests are affected by faults")
	flags.IntVar(&c.config.ColdSlots, "cold-slots", 0, "maximum number of concurrent requests in cold start; 0 for no cold start")
	flags.IntVar(&c.config.ColdRequests, "cold-requests", 0, "number of successful requests that end a cold start")
	flags.IntVar(&c.coldMs, "cold-ms", 0, "time that ends a cold start, in milliseconds")
	flags.IntVar(&c.config.CrashOverruns, "fall-overruns", 0,
		"requests above the cold slots within a second that make it crash; 0 for 10 times cold-slots")
	flags.IntVar(&c.downtimeMs, "collapse-ms", 0,
		"time without responses after a crash, in milliseconds; 0 to exit instead")
	flags.Var(&c.calls, "calls", "`\"METHOD /path\"` nested call made through the node for each request; may be repeated")
	flags.IntVar(&c.config.PadBytes, "pad-bytes", 0, "bytes of padding in each response")
}

// Execute implements subcommands.Command.
func (c *backendCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.check(); err != nil {
		fmt.Fprintln(os.Stderr, "curranthold-stand-in:", err)
		return subcommands.ExitUsageError
	}
	return report(c.run(ctx))
}

// check returns an error if a flag is missing or invalid.
func (c *backendCommand) check() error {
	switch {
	case c.config.Service == "":
		return errors.New("-service is missing")
	case c.config.Slots <= 0:
		return errors.New("-slots must be positive")
	case c.config.ColdSlots > 0 && c.config.ColdRequests == 0 && c.coldMs == 0:
		return errors.New("-cold-slots needs -cold-requests or -cold-ms")
	case len(c.calls) > 0 && c.config.Node == "":
		return errors.New("-calls needs -node")
	default:
		return nil
	}
}

func (c *backendCommand) run(ctx context.Context) error {
	listener, err := standin.Listen(ctx, c.listen)
	if err != nil {
		return err
	}
	c.config.Address = listener.Addr().String()
	c.config.ServiceTime = time.Duration(c.serviceTimeMs) * time.Millisecond
	c.config.ColdTime = time.Duration(c.coldMs) * time.Millisecond
	c.config.Downtime = time.Duration(c.downtimeMs) * time.Millisecond
	c.config.Calls = c.calls
	c.config.Exit = func() { os.Exit(exitCrashed) }
	runs, err := openRecord(c.runs)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	c.config.Runs = runs
	b := standin.NewBackend(c.config)
	printReady(listener)
	err = b.Serve(ctx, listener)
	return errors.Join(err, b.Close(), runs.Close())
}

// openRecord opens a file to which records are appended. If path is empty, the records are
// discarded.
func openRecord(path string) (io.WriteCloser, error) {
	if path == "" {
		return discardCloser{io.Discard}, nil
	}
	const mode = 0o644
	return os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, mode)
}

// discardCloser adds a Close method that does nothing to a writer.
type discardCloser struct{ io.Writer }

// Close implements io.Closer.
func (discardCloser) Close() error { return nil }
