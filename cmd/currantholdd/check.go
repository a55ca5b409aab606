package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"curranthold.example/curranthold/internal/settings"
	"curranthold.example/curranthold/platform"
)

// checkCommand checks a settings file without running the node.
type checkCommand struct {
	settingsFile string
	// fromUsersPlatform says that the file is one that the users' platform wrote.
	fromUsersPlatform bool
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a settings file and report each mistake" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `check [-platform] FILE
  Reports the file, line and field of each mistake. Exits with 2 if there is any.
  With -platform, FILE is a settings file as the users' platform writes it.

  Example: currantholdd check examples/node.json

`
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings file, in place of the argument")
	f.BoolVar(&c.fromUsersPlatform, "platform", false, "the file is one that the users' platform wrote")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file := cmp.Or(c.settingsFile, f.Arg(0))
	s, err := c.load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	fmt.Printf("%s: host %s in availability zone %s: no mistakes\n", file, s.Host, s.AvailabilityZone)
	return subcommands.ExitSuccess
}

func (c *checkCommand) load(file string) (settings.Settings, error) {
	if c.fromUsersPlatform {
		return platform.LoadSettings(file)
	}
	return settings.Load(file)
}
