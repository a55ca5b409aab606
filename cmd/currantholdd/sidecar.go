package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"curranthold.example/curranthold/internal/node"
	"curranthold.example/curranthold/internal/settings"
	"curranthold.example/curranthold/platform"
)

// gcPercent is the growth of the heap, in percent, after which garbage is collected
// while the memory limit is far. More saves processor time and costs memory.
const gcPercent = 100

// sidecarCommand runs the node with the settings file that the users' platform, the
// environment that deploys the node, has written.
type sidecarCommand struct{}

// Name implements subcommands.Command.
func (*sidecarCommand) Name() string { return "sidecar" }

// Synopsis implements subcommands.Command.
func (*sidecarCommand) Synopsis() string {
	return "run the node on the users' platform until SIGTERM or SIGINT"
}

// Usage implements subcommands.Command.
func (*sidecarCommand) Usage() string {
	return `sidecar
  Runs the node with the settings file that the platform wrote, whose path is
  in ` + platform.SettingsVariable + `.

`
}

// SetFlags implements subcommands.Command.
func (*sidecarCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*sidecarCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	load := func() (settings.Settings, error) {
		return platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	}
	s, err := load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if s.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(s.Limits.MemoryBytes))
		debug.SetGCPercent(gcPercent)
	}
	n, err := node.NewWithAdapter(s, platform.New(s))
	return runNode(ctx, n, err, s.CallerAddress, load)
}
