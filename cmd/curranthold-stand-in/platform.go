package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"

	"github.com/google/subcommands"

	"curranthold.example/curranthold/internal/standin"
)

// platformCommand runs a stand-in for the platform: the table service and the object
// store.
type platformCommand struct {
	listen string
	seed   uint64
}

// Name implements subcommands.Command.
func (*platformCommand) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*platformCommand) Synopsis() string { return "run a table service and an object store in memory" }

// Usage implements subcommands.Command.
func (*platformCommand) Usage() string {
	return `platform [-listen ADDRESS] [-seed N]:
  Runs a table service and an object store in memory. Faults are set with POST
  /control while it runs; GET /control/stats returns its counts.

  Example:
    curranthold-stand-in platform -listen 127.0.0.1:7400
    curl -d '{"outage": true}' http://127.0.0.1:7400/control
    curl -d '{"outage": false, "delay-ms": 50, "lose-answers": 0.1, "late-effects-ms": 200}' \
      http://127.0.0.1:7400/control
`
}

// SetFlags implements subcommands.Command.
func (c *platformCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "127.0.0.1:7400", "address to listen on")
	flags.Uint64Var(&c.seed, "seed", 1, "seed of the random choice of lost responses")
}

// Execute implements subcommands.Command.
func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	listener, err := standin.Listen(ctx, c.listen)
	if err != nil {
		return report(err)
	}
	p := standin.NewPlatform(c.seed)
	printReady(listener)
	err = standin.Serve(ctx, listener, p.Handler())
	return report(errors.Join(err, p.Close()))
}

// printReady prints the line that tells the process that started the stand-in the
// address on which the stand-in accepts connections.
func printReady(listener net.Listener) {
	fmt.Printf("ready %s\n", listener.Addr())
}

// report prints an error, if there is one, and returns the exit status.
func report(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, "curranthold-stand-in:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
