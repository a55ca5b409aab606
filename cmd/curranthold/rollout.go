package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"time"

	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

// rolloutOptions holds the flags of the actions of the rollout command.
type rolloutOptions struct {
	options
	service string
	target  string
	over    time.Duration
}

// rolloutActions maps the names of the actions of the rollout command to what they do.
var rolloutActions = map[string]func(*rolloutOptions, context.Context, *command) error{
	"start":  (*rolloutOptions).start,
	"status": (*rolloutOptions).status,
	"cancel": (*rolloutOptions).cancel,
}

func rolloutCommand(env environment) *command {
	return &command{
		env: env, name: "rollout", synopsis: "move a service to another version of its backend servers",
		usage: `rollout start -service SERVICE -target VERSION -over TIME
rollout status [-service SERVICE]
rollout cancel -service SERVICE
Starts a rollout: a small share of the service's calls goes to the new version,
which is then completed or rolled back by the end of the time. Shows the state
of rollouts, or cancels one. Flags follow the action.
Examples:
  curranthold rollout start -service rota -target v2 -over 10m
  curranthold rollout status -service rota -o json
  curranthold rollout cancel -service rota
`,
		run: rollout,
	}
}

// rollout runs the action that the first argument names. The flags after it are those of
// the command and of the action.
func rollout(ctx context.Context, c *command, args []string) error {
	if len(args) == 0 || rolloutActions[args[0]] == nil {
		return usageError("it takes start, status or cancel")
	}
	o := &rolloutOptions{}
	flags := flag.NewFlagSet("rollout "+args[0], flag.ContinueOnError)
	flags.SetOutput(c.env.stderr)
	flags.Usage = func() {}
	flags.StringVar(&c.nodes, "node", c.nodes, "base `URLs` of nodes, separated by commas and tried in turn")
	flags.StringVar(&c.tokenFile, "token-file", c.tokenFile, "`file` with the operator's token")
	flags.StringVar(&c.format, "o", c.format, "output `format`: table or json")
	flags.StringVar(&o.service, "service", "", "`service` to move to the new version")
	switch args[0] {
	case "start":
		flags.StringVar(&o.target, "target", "", "`version` that the new backend servers announce")
		flags.DurationVar(&o.over, "over", 0, "`time` until the rollout is completed or rolled back")
		o.addChangeFlags(flags)
	case "cancel":
		o.addChangeFlags(flags)
	}
	if err := flags.Parse(args[1:]); err != nil {
		return usageError(err.Error())
	}
	if flags.NArg() > 0 {
		return usageError("it takes flags only, not " + flags.Arg(0))
	}
	if err := c.checkFormat(); err != nil {
		return err
	}
	return rolloutActions[args[0]](o, ctx, c)
}

// id returns the identifier of the service's rollout.
func (o *rolloutOptions) id() object.ID { return object.ID{Kind: object.KindRollout, Name: o.service} }

// start declares a rollout. It replaces the object of an earlier rollout that has ended.
func (o *rolloutOptions) start(ctx context.Context, c *command) error {
	switch {
	case o.service == "":
		return usageError("-service names no service")
	case o.target == "":
		return usageError("-target names no version")
	case o.over < time.Millisecond:
		return usageError("-over must be at least 1ms")
	}
	api, err := c.client()
	if err != nil {
		return err
	}
	version, err := o.endedVersion(ctx, api)
	if err != nil {
		return err
	}
	ordered := object.Object{
		Kind: object.KindRollout, Metadata: object.Metadata{Name: o.service, ResourceVersion: version},
		Spec: object.RolloutSpec{Target: o.target, OverMs: int(o.over.Milliseconds())},
	}
	id := operationID(o.operationID)
	result, err := api.Apply(ctx, id, client.Batch{Objects: []object.Object{ordered}}, false)
	if err != nil {
		return withOperationID(err, id)
	}
	return o.finish(ctx, c, api, result)
}

// endedVersion returns the resource version of the object of the service's last rollout, 0
// if there is none. A rollout that is running is a conflict.
func (o *rolloutOptions) endedVersion(ctx context.Context, api *client.Client) (uint64, error) {
	last, err := api.Get(ctx, o.id())
	if isNotFound(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	status, err := api.Rollout(ctx, o.service)
	if err != nil {
		return 0, err
	}
	if status.State != "completed" && status.State != "rolled-back" && o.operationID == "" {
		return 0, object.NewRefusal(object.Conflict, "wait until it ends, or cancel it", "a rollout of service %q to version %q is running", o.service, status.Target)
	}
	return last.ResourceVersion, nil
}

func isNotFound(err error) bool {
	var refusal *object.Refusal
	return errors.As(err, &refusal) && refusal.Code == object.NotFound
}

func (o *rolloutOptions) status(ctx context.Context, c *command) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	var all client.Rollouts
	if o.service == "" {
		all, err = api.Rollouts(ctx)
	} else {
		all.Rollouts = make([]client.Rollout, 1)
		all.Rollouts[0], err = api.Rollout(ctx, o.service)
	}
	if err != nil {
		return err
	}
	if c.format == formatJSON {
		return c.printJSON(all)
	}
	return c.printRollouts(all.Rollouts)
}

// cancel deletes the object of a rollout. One that is running is rolled back.
func (o *rolloutOptions) cancel(ctx context.Context, c *command) error {
	if o.service == "" {
		return usageError("-service names no service")
	}
	return o.delete(ctx, c, []string{string(object.KindRollout), o.service})
}

func (c *command) printRollouts(rollouts []client.Rollout) error {
	rows := make([][]string, len(rollouts))
	for i, r := range rollouts {
		rows[i] = []string{
			r.Service, r.Target, r.State, orDash(r.Phase), orDash(r.Reason),
			(time.Duration(r.ElapsedMs) * time.Millisecond).String(), formatTotals(r.Old), formatTotals(r.New),
		}
	}
	return c.printTable("SERVICE TARGET STATE PHASE REASON ELAPSED OLD-VERSION NEW-VERSION", rows)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// formatTotals returns the totals of a version in one column, "-" if they are not known.
func formatTotals(t *client.VersionTotals) string {
	if t == nil {
		return "-"
	}
	return fmt.Sprintf("%d of %d failed, p50 %d ms, p95 %d ms, %d hosts", t.Failures, t.Responses, t.MedianMs, t.P95Ms, t.Hosts)
}
