// Command curranthold is the command-line client for operators. It declares objects
// through the resource API of any node and shows their state.
//
// It exits with status 0 on success, 2 on invalid arguments, 3 if the objects in a
// file are invalid or the operation was refused, 4 on a conflict with another
// operation, 5 if no node gave a definite answer, and 1 on any other failure.
package main

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// helpFooter is printed after the list of commands.
const helpFooter = `Environment:
	CURRANTHOLD_NODE   base URLs of nodes, separated by commas (flag -node)
	CURRANTHOLD_TOKEN  the operator's token (flag -token-file)

Exit codes: 0 done; 1 another failure; 2 wrong arguments; 3 refused, nothing was
changed; 4 conflict, nothing was changed; 5 no definite answer.

Example:
	curranthold help apply
`

// environment holds the output streams and the environment variables that a command
// uses.
type environment struct {
	stdout io.Writer
	stderr io.Writer
	getenv func(string) string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], environment{stdout: os.Stdout, stderr: os.Stderr, getenv: os.Getenv})
	stop()
	os.Exit(int(status))
}

// run executes the command that the arguments name and returns its exit status.
func run(ctx context.Context, args []string, env environment) subcommands.ExitStatus {
	flags := flag.NewFlagSet("curranthold", flag.ContinueOnError)
	flags.SetOutput(env.stderr)
	commander := subcommands.NewCommander(flags, "curranthold")
	commander.Output, commander.Error = env.stdout, env.stderr
	explain := commander.Explain
	commander.Explain = func(w io.Writer) {
		explain(w)
		_, _ = io.WriteString(w, helpFooter)
	}
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, c := range objectCommands(env) {
		commander.Register(c, "objects")
	}
	for _, c := range stateCommands(env) {
		commander.Register(c, "state")
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return subcommands.ExitSuccess
		}
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx)
}
