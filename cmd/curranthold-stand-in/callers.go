package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"curranthold.example/curranthold/internal/standin"
)

// callersCommand generates a load of calls and reports on it.
type callersCommand struct {
	entries     string
	plan        string
	calls       string
	output      string
	seed        uint64
	maxInFlight int
}

// Name implements subcommands.Command.
func (*callersCommand) Name() string { return "callers" }

// Synopsis implements subcommands.Command.
func (*callersCommand) Synopsis() string { return "generate a load of calls and report on it" }

// Usage implements subcommands.Command.
func (*callersCommand) Usage() string {
	return `callers -entries ADDRESS,... -plan FILE [flags]:
  Sends the calls of a plan to the given nodes and prints a report of how many
  were served and refused. The plan is a list of streams, in JSON with comments:

    [
      {
        "account": "captains", "key": "ch1.captains.SECRET",
        "method": "POST", "path": "/claims", "urgency": "normal",
        "rate": 50,                // mean calls per second
        "duration-s": 10,          // or "count"
        "non-repeatable": "key",   // or "ticket", "unnamed", "none"
        "spread": 3,               // concurrent copies, to different nodes
        "deadline-ms": 1000,
        "retries": 3,              // without a delay, on any error
      },
    ]

  Example:
    curranthold-stand-in callers -entries 127.0.0.1:7101,127.0.0.1:7201 \
      -plan plan.json -calls calls.jsonl -seed 7
`
}

// SetFlags implements subcommands.Command.
func (c *callersCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.entries, "entries", "", "addresses of the nodes to send calls to, separated by commas")
	flags.StringVar(&c.plan, "plan", "", "file with the plan")
	flags.StringVar(&c.calls, "calls", "", "file to which each attempt is appended as a JSON line")
	flags.StringVar(&c.output, "o", "table", "format of the report: table or json")
	flags.Uint64Var(&c.seed, "seed", 1, "seed of the random choices: arrival times and nodes")
	flags.IntVar(&c.maxInFlight, "max-in-flight", 2000, "maximum number of concurrent calls; more are not sent")
}

// Execute implements subcommands.Command.
func (c *callersCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	config, err := c.config()
	if err != nil {
		fmt.Fprintln(os.Stderr, "curranthold-stand-in:", err)
		return subcommands.ExitUsageError
	}
	return report(c.run(ctx, config))
}

// config returns the callers' configuration, or an error if the flags or the plan
// are invalid.
func (c *callersCommand) config() (standin.CallersConfig, error) {
	config := standin.CallersConfig{Seed: c.seed, MaxInFlight: c.maxInFlight}
	if c.entries == "" || c.plan == "" {
		return config, errors.New("-entries or -plan is missing")
	}
	if c.output != "table" && c.output != "json" {
		return config, fmt.Errorf("-o %q is neither table nor json", c.output)
	}
	if c.maxInFlight <= 0 {
		return config, errors.New("-max-in-flight must be positive")
	}
	config.Entries = strings.Split(c.entries, ",")
	text, err := os.ReadFile(c.plan)
	if err != nil {
		return config, err
	}
	config.Plan, err = standin.ParsePlan(text)
	return config, err
}

func (c *callersCommand) run(ctx context.Context, config standin.CallersConfig) error {
	calls, err := openRecord(c.calls)
	if err != nil {
		return err
	}
	config.Calls = calls
	result := standin.NewCallers(config).Run(ctx)
	if c.output == "json" {
		err = json.NewEncoder(os.Stdout).Encode(result)
	} else {
		err = result.WriteTable(os.Stdout)
	}
	return errors.Join(err, calls.Close())
}
