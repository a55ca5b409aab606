package main

import (
	"context"
	"errors"
	"flag"

	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

// defaultRecords is the number of audit records that the audit command shows by
// default.
const defaultRecords = 20

func stateCommands(env environment) []*command {
	return []*command{auditCommand(env), statusCommand(env)}
}

func getCommand(env environment) *command {
	return &command{
		env: env, name: "get", synopsis: "show one object, or all of a kind",
		usage: `get [-o json] KIND [NAME]
Shows one object, or all of a kind, and whether each is in force everywhere.
Examples:
  curranthold get client-account
  curranthold get -o json route rota-lookup
`,
		run: get,
	}
}

func get(ctx context.Context, c *command, args []string) error {
	if len(args) != 1 && len(args) != 2 {
		return usageError("it takes KIND and perhaps NAME")
	}
	if len(args) == 2 {
		o, err := fetch(ctx, c, args)
		if err != nil {
			return err
		}
		if c.format == formatJSON {
			return c.printJSON(o)
		}
		return c.printObjects([]object.Object{o})
	}
	kind, err := kindOf(args[0])
	if err != nil {
		return err
	}
	api, err := c.client()
	if err != nil {
		return err
	}
	list, err := api.List(ctx, kind, true)
	if err != nil {
		return err
	}
	if c.format == formatJSON {
		return c.printJSON(list)
	}
	return c.printObjects(list.Objects)
}

func fetch(ctx context.Context, c *command, args []string) (object.Object, error) {
	id, err := idOf(args)
	if err != nil {
		return object.Object{}, err
	}
	api, err := c.client()
	if err != nil {
		return object.Object{}, err
	}
	return api.Get(ctx, id)
}

func describeCommand(env environment) *command {
	return &command{
		env: env, name: "describe", synopsis: "show all details of an object",
		usage: `describe KIND NAME
Shows an object with its conditions in each availability zone.
Example:
  curranthold describe key tower-captains-1
`,
		run: func(ctx context.Context, c *command, args []string) error {
			o, err := fetch(ctx, c, args)
			if err != nil {
				return err
			}
			if c.format == formatJSON {
				return c.printJSON(o)
			}
			return c.printDescription(o)
		},
	}
}

func watchCommand(env environment) *command {
	var after uint64
	var count int
	return &command{
		env: env, name: "watch", synopsis: "show the changes of a kind as they come into force on a node",
		usage: `watch [-after GENERATION] [-count N] KIND
Shows the changes from now on, or those after the generation that -after names,
until it is interrupted or has shown -count of them.
Example:
  curranthold watch -after 1 -count 1 availability-zone
`,
		setFlags: func(flags *flag.FlagSet) {
			flags.Uint64Var(&after, "after", 0, "`generation` after which changes are shown")
			flags.IntVar(&count, "count", 0, "`number` of changes to show before it exits; 0 for no limit")
		},
		run: func(ctx context.Context, c *command, args []string) error {
			if len(args) != 1 {
				return usageError("it takes KIND")
			}
			kind, err := kindOf(args[0])
			if err != nil {
				return err
			}
			return watch(ctx, c, kind, after, count)
		},
	}
}

func watch(ctx context.Context, c *command, kind object.Kind, after uint64, count int) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	if after == 0 {
		list, err := api.List(ctx, kind, false)
		if err != nil {
			return err
		}
		after = list.Generation
	}
	seen := 0
	err = api.Watch(ctx, kind, after, func(e client.Event) error {
		if err := c.printEvent(e); err != nil {
			return err
		}
		if seen++; seen == count {
			return errCountReached
		}
		return nil
	})
	if errors.Is(err, errCountReached) || ctx.Err() != nil {
		return nil
	}
	return err
}

func auditCommand(env environment) *command {
	var after uint64
	var limit int
	return &command{
		env: env, name: "audit", synopsis: "show who changed what, and when",
		usage: `audit [-after GENERATION] [-limit N]
Without -after it shows the latest changes.
Example:
  curranthold audit -limit 5
`,
		setFlags: func(flags *flag.FlagSet) {
			flags.Uint64Var(&after, "after", 0, "`generation` after which changes are shown")
			flags.IntVar(&limit, "limit", defaultRecords, "maximum `number` of changes")
		},
		run: func(ctx context.Context, c *command, _ []string) error {
			api, err := c.client()
			if err != nil {
				return err
			}
			if after == 0 && limit > 0 {
				status, err := api.Status(ctx)
				if err != nil {
					return err
				}
				after = status.InForceGeneration - min(status.InForceGeneration, uint64(limit))
			}
			page, err := api.Audit(ctx, after, limit)
			if err != nil {
				return err
			}
			return c.printAudit(page)
		},
	}
}

func statusCommand(env environment) *command {
	return &command{
		env: env, name: "status", synopsis: "show where the configuration is in force",
		usage: `status
Asks one node, which asks all others, for the generation that each applies.
Hosts that do not answer count as not confirmed.
Example:
  curranthold status -o json
`,
		run: func(ctx context.Context, c *command, _ []string) error {
			api, err := c.client()
			if err != nil {
				return err
			}
			status, err := api.Status(ctx)
			if err != nil {
				return err
			}
			return c.printStatus(status)
		},
	}
}
