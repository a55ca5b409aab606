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

// pollInterval is the time between two status queries while waiting for a change to
// be in force.
const pollInterval = 500 * time.Millisecond

// options holds the flags of the commands that read an object file or change
// objects.
type options struct {
	file        string
	force       bool
	wait        time.Duration
	operationID string
	version     uint64
	account     string
	local       bool
}

// addChangeFlags adds the flags of the commands that change objects.
func (o *options) addChangeFlags(flags *flag.FlagSet) {
	flags.DurationVar(&o.wait, "wait", 0, "`time` to wait until the change is in force everywhere")
	flags.StringVar(&o.operationID, "operation-id", "", "`identifier` of an operation to repeat; it is never applied twice")
}

func (o *options) addForceFlag(flags *flag.FlagSet) {
	flags.BoolVar(&o.force, "force", false, "accept that no availability zone is left in service")
}

func objectCommands(env environment) []*command {
	return []*command{
		applyCommand(env), checkCommand(env), getCommand(env), describeCommand(env),
		watchCommand(env), deleteCommand(env), keyCommand(env), zoneCommand(env),
		rolloutCommand(env),
	}
}

func applyCommand(env environment) *command {
	o := &options{}
	return &command{
		env: env, name: "apply", synopsis: "create or replace the objects of a file",
		usage: `apply -f FILE [-force] [-wait TIME]
Creates or replaces all objects of the file in one operation, or none. The file
holds one object or a list of objects in JSON with comments. An object that
states a resource-version is replaced only if it still has that version.
Example:
  curranthold apply -f accounts.json -wait 5s
`,
		setFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&o.file, "f", "", "`file` with the objects; - for the standard input")
			o.addForceFlag(flags)
			o.addChangeFlags(flags)
		},
		run: func(ctx context.Context, c *command, _ []string) error { return o.apply(ctx, c) },
	}
}

func (o *options) apply(ctx context.Context, c *command) error {
	declared, err := readDeclarations(o.file)
	if err != nil {
		return err
	}
	api, err := c.client()
	if err != nil {
		return err
	}
	batch, err := batchOf(ctx, api, declared.objects)
	if err != nil {
		return err
	}
	id := operationID(o.operationID)
	result, err := api.Apply(ctx, id, batch, o.force)
	if err != nil {
		return declared.addLocations(withOperationID(err, id))
	}
	return o.finish(ctx, c, api, result)
}

// batchOf returns a batch that creates the objects, or replaces them at their current
// resource versions. An object in the file that states a resource version keeps it.
func batchOf(ctx context.Context, api *client.Client, objects []object.Object) (client.Batch, error) {
	versions := map[object.ID]uint64{}
	listed := map[object.Kind]bool{}
	for _, o := range objects {
		if listed[o.Kind] {
			continue
		}
		listed[o.Kind] = true
		list, err := api.List(ctx, o.Kind, false)
		if err != nil {
			return client.Batch{}, err
		}
		for _, known := range list.Objects {
			versions[known.ID()] = known.ResourceVersion
		}
	}
	batch := client.Batch{Objects: make([]object.Object, len(objects))}
	for i, o := range objects {
		if o.ResourceVersion == 0 {
			o.ResourceVersion = versions[o.ID()]
		}
		o.Status = nil
		batch.Objects[i] = o
	}
	return batch, nil
}

// finish prints the result of an operation. With -wait, it then waits until the
// change is in force.
func (o *options) finish(ctx context.Context, c *command, api *client.Client, result client.Result) error {
	if err := c.printResult(result); err != nil || o.wait == 0 {
		return err
	}
	return awaitInForce(ctx, c, api, result.Generation, o.wait)
}

// awaitInForce polls the status until a generation is in force on all hosts, or
// returns an error when the wait time has passed.
func awaitInForce(ctx context.Context, c *command, api *client.Client, generation uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	last := "no node has answered"
	for {
		status, err := api.Status(ctx)
		if err == nil && status.InForceGeneration >= generation {
			if status.InForce.Status == object.True {
				_, err = fmt.Fprintf(c.env.stderr, "generation %d is in force everywhere\n", generation)
				return err
			}
			last = status.InForce.Message
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("generation %d is accepted and not confirmed everywhere after %s: %s; see curranthold status", generation, wait, last)
		}
	}
}

func checkCommand(env environment) *command {
	o := &options{}
	return &command{
		env: env, name: "check", synopsis: "check the objects of a file and change nothing",
		usage: `check -f FILE [-local]
Reports the file, line and field of each mistake. A node also checks the objects
against those that are declared; with -local no node is asked.
Example:
  curranthold check -f accounts.json -local
`,
		setFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&o.file, "f", "", "`file` with the objects; - for the standard input")
			flags.BoolVar(&o.local, "local", false, "check the file without asking a node")
			o.addForceFlag(flags)
		},
		run: func(ctx context.Context, c *command, _ []string) error { return o.check(ctx, c) },
	}
}

func (o *options) check(ctx context.Context, c *command) error {
	declared, err := readDeclarations(o.file)
	if err != nil {
		return err
	}
	if o.local {
		_, err := fmt.Fprintf(c.env.stdout, "%s: %d objects, no mistakes; contradictions were not looked for\n", o.file, len(declared.objects))
		return err
	}
	api, err := c.client()
	if err != nil {
		return err
	}
	batch, err := batchOf(ctx, api, declared.objects)
	if err != nil {
		return err
	}
	result, err := api.Check(ctx, batch, o.force)
	if err != nil {
		return declared.addLocations(err)
	}
	return c.printCheck(o.file, len(declared.objects), result)
}

func deleteCommand(env environment) *command {
	o := &options{}
	return &command{
		env: env, name: "delete", synopsis: "delete an object",
		usage: `delete [-version N] KIND NAME
Deletes the object if it still has the version that was read, or the given one.
Example:
  curranthold delete route rota-lookup
`,
		setFlags: func(flags *flag.FlagSet) {
			flags.Uint64Var(&o.version, "version", 0, "expected resource `version`; without it the current one")
			o.addForceFlag(flags)
			o.addChangeFlags(flags)
		},
		run: func(ctx context.Context, c *command, args []string) error { return o.delete(ctx, c, args) },
	}
}

func (o *options) delete(ctx context.Context, c *command, args []string) error {
	id, err := idOf(args)
	if err != nil {
		return err
	}
	api, err := c.client()
	if err != nil {
		return err
	}
	if o.version == 0 {
		current, err := api.Get(ctx, id)
		if err != nil {
			return err
		}
		o.version = current.ResourceVersion
	}
	operation := operationID(o.operationID)
	result, err := api.Delete(ctx, operation, id, o.version, o.force)
	if err != nil {
		return withOperationID(err, operation)
	}
	return o.finish(ctx, c, api, result)
}

func keyCommand(env environment) *command {
	o := &options{}
	return &command{
		env: env, name: "key", synopsis: "create a key, or withdraw one permanently",
		usage: `key -account ACCOUNT create NAME
key withdraw NAME
Creates a key for a client account and shows it once, or withdraws one
permanently.
Examples:
  curranthold key -account tower-captains create tower-captains-2
  curranthold key -wait 10s withdraw tower-captains-1
`,
		setFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&o.account, "account", "", "client `account` of the new key")
			o.addChangeFlags(flags)
		},
		run: func(ctx context.Context, c *command, args []string) error { return o.key(ctx, c, args) },
	}
}

func (o *options) key(ctx context.Context, c *command, args []string) error {
	if len(args) != 2 || (args[0] != "create" && args[0] != "withdraw") {
		return usageError("it takes create NAME or withdraw NAME")
	}
	if args[0] == "create" && o.account == "" {
		return usageError("-account names no client account")
	}
	api, err := c.client()
	if err != nil {
		return err
	}
	id := operationID(o.operationID)
	if args[0] == "withdraw" {
		result, err := api.WithdrawKey(ctx, id, args[1])
		if err != nil {
			return withOperationID(err, id)
		}
		return o.finish(ctx, c, api, result)
	}
	result, err := api.CreateKey(ctx, id, client.KeyRequest{Name: args[1], ClientAccount: o.account})
	if err != nil {
		return withOperationID(err, id)
	}
	if err := c.printKey(result); err != nil || o.wait == 0 {
		return err
	}
	return awaitInForce(ctx, c, api, result.Generation, o.wait)
}

func zoneCommand(env environment) *command {
	o := &options{}
	return &command{
		env: env, name: "zone", synopsis: "take an availability zone out of service or back in",
		usage: `zone [-force] out|in NAME
An availability zone that is out of service gets no new work after a few seconds.
Example:
  curranthold zone -wait 5s out zone-a
`,
		setFlags: func(flags *flag.FlagSet) {
			o.addForceFlag(flags)
			o.addChangeFlags(flags)
		},
		run: func(ctx context.Context, c *command, args []string) error { return o.zone(ctx, c, args) },
	}
}

func (o *options) zone(ctx context.Context, c *command, args []string) error {
	if len(args) != 2 || (args[0] != "out" && args[0] != "in") {
		return usageError("it takes out NAME or in NAME")
	}
	api, err := c.client()
	if err != nil {
		return err
	}
	id := operationID(o.operationID)
	result, err := api.SetZoneInService(ctx, id, args[1], args[0] == "in", o.force)
	if err != nil {
		return withOperationID(err, id)
	}
	return o.finish(ctx, c, api, result)
}

// errCountReached ends a watch that has shown the requested number of events.
var errCountReached = errors.New("event count reached")
