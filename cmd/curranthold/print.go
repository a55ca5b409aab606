package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

func (c *command) printJSON(value any) error {
	encoder := json.NewEncoder(c.env.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable writes the rows in aligned columns under a header, whose column names
// are separated by spaces.
func (c *command) printTable(header string, rows [][]string) error {
	// Each line has several cells, so w writes nothing to stdout before Flush, which
	// returns the first error of writing to it.
	w := tabwriter.NewWriter(c.env.stdout, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (c *command) printResult(result client.Result) error {
	if c.format == formatJSON {
		return c.printJSON(result)
	}
	return printChanges(c.env.stdout, "accepted", result)
}

func printChanges(w io.Writer, verb string, result client.Result) error {
	if len(result.Objects)+len(result.Deleted) == 0 {
		_, err := fmt.Fprintf(w, "nothing to change at generation %d\n", result.Generation)
		return err
	}
	for _, o := range result.Objects {
		change := "replaced"
		if o.Created.Equal(o.Updated) {
			change = "created"
		}
		if _, err := fmt.Fprintf(w, "%s %s\n", o.ID(), change); err != nil {
			return err
		}
	}
	for _, id := range result.Deleted {
		if _, err := fmt.Fprintf(w, "%s deleted\n", id); err != nil {
			return err
		}
	}
	suffix := ""
	if result.Repeated {
		suffix = " before"
	}
	_, err := fmt.Fprintf(w, "%s%s as generation %d\n", verb, suffix, result.Generation)
	return err
}

func (c *command) printCheck(file string, objects int, result client.Result) error {
	if c.format == formatJSON {
		return c.printJSON(result)
	}
	_, err := fmt.Fprintf(c.env.stdout, "%s: %d objects, no mistakes; %d would change\n", file, objects, len(result.Objects)+len(result.Deleted))
	return err
}

func (c *command) printKey(result client.KeyResult) error {
	if c.format == formatJSON {
		return c.printJSON(result)
	}
	if result.Key == "" {
		_, err := fmt.Fprintln(c.env.stderr, "the key was in an answer that was lost; withdraw it and create another")
		return err
	}
	_, _ = fmt.Fprintln(c.env.stderr, "this key is shown once and kept nowhere:")
	_, err := fmt.Fprintln(c.env.stdout, result.Key)
	return err
}

func (c *command) printObjects(objects []object.Object) error {
	rows := make([][]string, len(objects))
	for i, o := range objects {
		spec, err := json.Marshal(o.Spec)
		if err != nil {
			return err
		}
		rows[i] = []string{o.Name, fmt.Sprint(o.ResourceVersion), o.Updated.Format(time.RFC3339), inForce(o), string(spec)}
	}
	return c.printTable("NAME VERSION UPDATED IN-FORCE SPEC", rows)
}

func inForce(o object.Object) string {
	if o.Status == nil {
		return ""
	}
	for _, condition := range o.Status.Conditions {
		if condition.Type == object.ConditionInForce {
			return string(condition.Status)
		}
	}
	return ""
}

func (c *command) printDescription(o object.Object) error {
	spec, err := json.MarshalIndent(o.Spec, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.env.stdout, "kind:              %s\nname:              %s\nresource version:  %d\ncreated:           %s\nupdated:           %s\nspec:              %s\n",
		o.Kind, o.Name, o.ResourceVersion, o.Created.Format(time.RFC3339), o.Updated.Format(time.RFC3339), spec)
	if err != nil || o.Status == nil {
		return err
	}
	for _, condition := range o.Status.Conditions {
		if err := c.printCondition(condition); err != nil {
			return err
		}
	}
	return nil
}

func (c *command) printCondition(condition object.Condition) error {
	if _, err := fmt.Fprintf(c.env.stdout, "%s: %s (%s)\n", condition.Type, condition.Status, condition.Message); err != nil {
		return err
	}
	rows := make([][]string, len(condition.Zones))
	for i, z := range condition.Zones {
		rows[i] = []string{z.AvailabilityZone, string(z.Status), fmt.Sprint(z.Hosts), fmt.Sprint(z.Confirmed), fmt.Sprint(z.Behind), fmt.Sprint(z.Unheard)}
	}
	return c.printTable("AVAILABILITY-ZONE IN-FORCE HOSTS CONFIRMED BEHIND UNHEARD", rows)
}

func (c *command) printEvent(e client.Event) error {
	if c.format == formatJSON {
		return json.NewEncoder(c.env.stdout).Encode(e)
	}
	spec := ""
	if e.Object != nil {
		encoded, err := json.Marshal(e.Object.Spec)
		if err != nil {
			return err
		}
		spec = " " + string(encoded)
	}
	_, err := fmt.Fprintf(c.env.stdout, "%d %s %s%s\n", e.Generation, e.Type, e.ID, spec)
	return err
}

func (c *command) printAudit(page client.Audit) error {
	if c.format == formatJSON {
		return c.printJSON(page)
	}
	var rows [][]string
	for _, record := range page.Records {
		for _, edit := range record.Edits {
			before, after, err := specs(edit)
			if err != nil {
				return err
			}
			rows = append(rows, []string{
				fmt.Sprint(record.Generation), record.At.Format(time.RFC3339), record.Operator,
				record.Action, edit.String(), before, after, record.OperationID,
			})
		}
	}
	return c.printTable("GENERATION AT OPERATOR ACTION OBJECT BEFORE AFTER OPERATION", rows)
}

func specs(edit client.Edit) (before, after string, err error) {
	before, err = specOf(edit.Before)
	if err != nil {
		return "", "", err
	}
	after, err = specOf(edit.After)
	return before, after, err
}

func specOf(o *object.Object) (string, error) {
	if o == nil {
		return "-", nil
	}
	spec, err := json.Marshal(o.Spec)
	return string(spec), err
}

func (c *command) printStatus(status client.Status) error {
	if c.format == formatJSON {
		return c.printJSON(status)
	}
	table := "not reachable"
	if status.Table.Reachable {
		table = fmt.Sprintf("generation %d", status.Table.Generation)
	}
	isolated := "never up to date with the platform or another zone"
	if status.IsolatedMs >= 0 {
		isolated = fmt.Sprintf("up to date with the platform or another zone %d ms ago", status.IsolatedMs)
	}
	_, err := fmt.Fprintf(c.env.stdout, "node:        %s in %s, ready: %t, %s\ngeneration:  %d on this node\ntable:       %s\ngeneration %d ",
		status.Host, status.AvailabilityZone, status.Ready, isolated, status.Generation, table, status.InForceGeneration)
	if err != nil {
		return err
	}
	return c.printCondition(status.InForce)
}
