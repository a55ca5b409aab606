package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

// The exit statuses; the package comment explains them.
const (
	exitSuccess          = subcommands.ExitSuccess
	exitFailure          = subcommands.ExitFailure
	exitUsage            = subcommands.ExitUsageError
	exitRefused          = subcommands.ExitStatus(3)
	exitConflict         = subcommands.ExitStatus(4)
	exitNoDefiniteAnswer = subcommands.ExitStatus(5)
)

const (
	envNode     = "CURRANTHOLD_NODE"
	envToken    = "CURRANTHOLD_TOKEN"
	defaultNode = "http://127.0.0.1:7400"
	formatTable = "table"
	formatJSON  = "json"
)

// usageError describes invalid command-line arguments.
type usageError string

func (e usageError) Error() string { return string(e) }

// command is a command of the program. It implements subcommands.Command.
type command struct {
	env      environment
	name     string
	synopsis string
	usage    string
	setFlags func(*flag.FlagSet)
	run      func(ctx context.Context, c *command, args []string) error

	nodes     string
	tokenFile string
	format    string
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.usage + "\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(flags *flag.FlagSet) {
	node := c.env.getenv(envNode)
	if node == "" {
		node = defaultNode
	}
	flags.StringVar(&c.nodes, "node", node, "base `URLs` of nodes, separated by commas and tried in turn; the default is in "+envNode)
	flags.StringVar(&c.tokenFile, "token-file", "", "`file` with the operator's token; without it the token is in "+envToken)
	flags.StringVar(&c.format, "o", formatTable, "output `format`: table or json")
	if c.setFlags != nil {
		c.setFlags(flags)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.checkFormat()
	if err == nil {
		err = c.run(ctx, c, flags.Args())
	}
	if err == nil {
		return exitSuccess
	}
	c.report(err)
	return exitStatus(err)
}

func (c *command) checkFormat() error {
	if c.format != formatTable && c.format != formatJSON {
		return usageError("-o is " + c.format + "; it must be table or json")
	}
	return nil
}

// report writes an error to the standard error. It adds the usage text to a usage
// error, and the list of mistakes to a refusal that has several.
func (c *command) report(err error) {
	_, _ = fmt.Fprintf(c.env.stderr, "curranthold %s: %v\n", c.name, err)
	var usageErr usageError
	if errors.As(err, &usageErr) {
		_, _ = fmt.Fprint(c.env.stderr, c.usage)
		return
	}
	var refusal *object.Refusal
	if !errors.As(err, &refusal) || len(refusal.Mistakes) < 2 {
		return
	}
	for _, mistake := range refusal.Mistakes {
		_, _ = fmt.Fprintf(c.env.stderr, "  %v\n", mistake)
	}
}

func exitStatus(err error) subcommands.ExitStatus {
	var usageErr usageError
	var refusal *object.Refusal
	var fileErr *fileError
	switch {
	case errors.As(err, &usageErr):
		return exitUsage
	case errors.As(err, &fileErr):
		return exitRefused
	case errors.Is(err, client.ErrUnreachable):
		return exitNoDefiniteAnswer
	case !errors.As(err, &refusal):
		return exitFailure
	}
	switch refusal.Code {
	case object.Conflict:
		return exitConflict
	case object.PlatformUnavailable, object.OutcomeUnknown, object.NotReady:
		return exitNoDefiniteAnswer
	case object.Failed:
		return exitFailure
	default:
		return exitRefused
	}
}

// client returns a client for the nodes, with the operator's token. Both come from
// the flags or the environment.
func (c *command) client() (*client.Client, error) {
	token := c.env.getenv(envToken)
	if c.tokenFile != "" {
		data, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, usageError("there is no operator's token; set " + envToken + " or give -token-file")
	}
	var nodes []string
	for node := range strings.SplitSeq(c.nodes, ",") {
		if node = strings.TrimSpace(node); node == "" {
			continue
		}
		if !strings.Contains(node, "://") {
			node = "http://" + node
		}
		nodes = append(nodes, node)
	}
	return &client.Client{Nodes: nodes, Token: token}, nil
}

// operationID returns the operation identifier that the flags request, or a new
// random one if they request none.
func operationID(requested string) string {
	if requested != "" {
		return requested
	}
	var random [16]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(random[:])
}

// withOperationID adds the operation's identifier to an error that leaves the
// outcome of the operation unknown.
func withOperationID(err error, id string) error {
	var refusal *object.Refusal
	unknown := errors.As(err, &refusal) && refusal.Code == object.OutcomeUnknown
	if unknown || errors.Is(err, client.ErrUnreachable) {
		return fmt.Errorf("%w; repeat it with -operation-id %s to learn the outcome", err, id)
	}
	return err
}

// kindOf returns the object kind that an argument names.
func kindOf(arg string) (object.Kind, error) {
	kind := object.Kind(arg)
	if !kind.Valid() {
		return "", usageError(fmt.Sprintf("there is no kind %q; one of %v", arg, object.Kinds()))
	}
	return kind, nil
}

func idOf(args []string) (object.ID, error) {
	if len(args) != 2 {
		return object.ID{}, usageError("it takes KIND and NAME")
	}
	kind, err := kindOf(args[0])
	return object.ID{Kind: kind, Name: args[1]}, err
}
