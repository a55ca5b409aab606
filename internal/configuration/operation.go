package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"time"

	"curranthold.example/curranthold/internal/audit"
	"curranthold.example/curranthold/pkg/object"
)

// MaxDrafts is the maximum number of objects in one operation.
const MaxDrafts = 1000

// Draft is the change that an operation requests for one object.
type Draft struct {
	ID object.ID
	// Spec is the new spec of the object; nil deletes the object.
	Spec object.Spec
	// Expected is the resource version that the object must have; 0 means that
	// it must not exist. With AnyVersion, Expected is ignored.
	Expected   uint64
	AnyVersion bool
}

// Operation is one change of the configuration, requested by an operator.
type Operation struct {
	// ID identifies the operation; an operation is never applied twice.
	ID       string
	Operator string
	// Action is the name of the operation in the audit trail.
	Action string
	// Request is the request as the operator sent it. A different request with
	// the same ID is refused.
	Request []byte
	// Force allows the operation to take the last availability zone out of
	// service.
	Force bool
	// Plan returns the drafts for the given configuration. It is called again if
	// the configuration changes before the commit, and must not keep state
	// between calls.
	Plan func(base *Snapshot) ([]Draft, error)
}

// digest returns a hash that tells different requests with the same operation ID
// apart. It is stored, which reveals no secret because requests contain none.
func (op Operation) digest() string {
	sum := sha256.Sum256(append([]byte(op.Operator+"\x00"+op.Action+"\x00"), op.Request...))
	return hex.EncodeToString(sum[:])
}

// Result is the outcome of an operation.
type Result struct {
	// Generation is the generation that includes the operation's changes.
	Generation uint64
	// Repeated is true if the operation had already been accepted before.
	Repeated bool
	Edits    []audit.Edit
}

// operationRow is the value of the row of an accepted operation.
type operationRow struct {
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
}

// plan holds the edits that an operation makes to one base snapshot, and the
// resulting objects.
type plan struct {
	record  audit.Record
	objects map[object.ID]object.Object
}

// prepare returns the plan of the operation for a base snapshot, or a refusal.
func (op Operation) prepare(base *Snapshot, now time.Time) (plan, error) {
	drafts, err := op.Plan(base)
	if err != nil {
		return plan{}, err
	}
	if len(drafts) > MaxDrafts {
		return plan{}, object.NewRefusal(object.TooLarge, "split the operation", "the operation changes %d objects; at most %d are allowed", len(drafts), MaxDrafts)
	}
	p := plan{
		record: audit.Record{
			Generation: base.generation + 1, OperationID: op.ID, Operator: op.Operator,
			Action: op.Action, At: now.UTC().Truncate(time.Millisecond),
		},
		objects: maps.Clone(base.objects),
	}
	if p.objects == nil {
		p.objects = map[object.ID]object.Object{}
	}
	if refusal := p.applyDrafts(base, drafts); refusal != nil {
		return plan{}, refusal
	}
	if len(p.record.Edits) == 0 {
		return p, nil
	}
	return p, p.validate(base, op.Force)
}

// applyDrafts applies the drafts to the plan's objects.
func (p *plan) applyDrafts(base *Snapshot, drafts []Draft) *object.Refusal {
	var invalid, conflicts object.ItemErrors
	listed := map[object.ID]bool{}
	for _, d := range drafts {
		if listed[d.ID] {
			invalid = append(invalid, object.ItemError{ID: d.ID, FieldError: object.FieldError{Field: "name", Message: "the object stands twice in the operation"}})
			continue
		}
		listed[d.ID] = true
		before, exists := base.objects[d.ID]
		if conflict := d.conflict(before, exists); conflict != nil {
			conflicts = append(conflicts, *conflict)
			continue
		}
		invalid = append(invalid, p.applyDraft(d, before, exists)...)
	}
	if refusal := invalid.Refusal(object.Invalid); refusal != nil {
		return refusal
	}
	return conflicts.Refusal(object.Conflict)
}

// conflict returns an error if the object does not have the expected version.
func (d Draft) conflict(before object.Object, exists bool) *object.ItemError {
	err := object.FieldError{Field: "resource-version"}
	switch {
	case d.AnyVersion, exists && d.Expected == before.ResourceVersion, !exists && d.Expected == 0:
		return nil
	case !exists:
		err.Message = "the object does not exist any more"
		err.Hint = "read the list again; create it without a resource version"
	case d.Expected == 0:
		err.Message = "the object exists already"
		err.Hint = "read it, and state its resource version to replace it"
	default:
		err.Message = "another operation has changed the object since it was read"
		err.Hint = "read it again, and make the change on what it is now"
	}
	return &object.ItemError{ID: d.ID, FieldError: err}
}

// ensureAfter returns at if it is later than previous, and otherwise the
// millisecond after previous. The clocks of hosts differ, and two changes can be
// made within one millisecond.
func ensureAfter(previous, at time.Time) time.Time {
	if at.After(previous) {
		return at
	}
	return previous.Add(time.Millisecond)
}

// applyDraft applies one draft that has no version conflict.
func (p *plan) applyDraft(d Draft, before object.Object, exists bool) object.ItemErrors {
	edit := audit.Edit{ID: d.ID}
	if exists {
		edit.Before = &before
	}
	if d.Spec == nil {
		if exists {
			delete(p.objects, d.ID)
			p.record.Edits = append(p.record.Edits, edit)
		}
		return nil
	}
	if exists && reflect.DeepEqual(before.Spec, d.Spec) {
		return nil
	}
	after := object.Object{Kind: d.ID.Kind, Spec: d.Spec, Metadata: object.Metadata{
		Name: d.ID.Name, ResourceVersion: p.record.Generation, Created: p.record.At, Updated: p.record.At,
	}}
	if exists {
		after.Created = before.Created
		after.Updated = ensureAfter(before.Updated, p.record.At)
	}
	if errs := after.Validate(); len(errs) > 0 {
		return object.NewItemErrors(d.ID, errs)
	}
	edit.After = &after
	p.objects[d.ID] = after
	p.record.Edits = append(p.record.Edits, edit)
	return nil
}

// validate checks the resulting objects against each other.
func (p *plan) validate(base *Snapshot, force bool) error {
	ids := slices.SortedFunc(maps.Keys(p.objects), compareIDs)
	if refusal := contradictions(p.objects, ids).Refusal(object.Contradiction); refusal != nil {
		return refusal
	}
	if !force && removesLastZone(base.objects, p.objects) {
		return object.NewRefusal(object.ForceNeeded, "repeat it with force if that is meant", "no availability zone would be left in service")
	}
	return nil
}

func (p *plan) encodeRecord() ([]byte, error) { return json.Marshal(p.record) }
