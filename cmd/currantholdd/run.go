package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"curranthold.example/curranthold/internal/node"
	"curranthold.example/curranthold/internal/settings"
)

// runCommand runs the node until SIGTERM or SIGINT.
type runCommand struct{ settingsFile string }

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "run the node until SIGTERM or SIGINT" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string {
	return `run -settings FILE
  Runs the node. SIGTERM and SIGINT shut it down gracefully.

  Example: currantholdd run -settings examples/node.json

`
}

// SetFlags implements subcommands.Command.
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings file, JSON with comments")
}

// Execute implements subcommands.Command.
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, status := loadSettings(c.settingsFile)
	if status != subcommands.ExitSuccess {
		return status
	}
	if s.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(s.Limits.MemoryBytes))
	}
	n, err := node.New(s)
	reload := func() (settings.Settings, error) { return settings.Load(c.settingsFile) }
	return runNode(ctx, n, err, s.CallerAddress, reload)
}

// runNode runs n until SIGTERM or SIGINT. On SIGHUP, n reloads its settings. If err,
// the error from creating n, is not nil, runNode only prints it.
func runNode(
	ctx context.Context, n *node.Node, err error, address string, load func() (settings.Settings, error),
) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if err == nil {
		go reloadOnSignal(ctx, hangups, n, load)
		err = n.Run(ctx, func() { fmt.Println("ready", address) })
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// reloadOnSignal reloads the node's settings on each signal until the context ends.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, n *node.Node, load func() (settings.Settings, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			s, err := load()
			n.Reload(s, err)
		}
	}
}

// loadSettings reads the settings file. It prints mistakes in the file to the
// standard error.
func loadSettings(file string) (settings.Settings, subcommands.ExitStatus) {
	if file == "" {
		fmt.Fprintln(os.Stderr, "-settings is required")
		return settings.Settings{}, subcommands.ExitUsageError
	}
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return s, subcommands.ExitUsageError
	}
	return s, subcommands.ExitSuccess
}
