package resource

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

func (s *server) get(w http.ResponseWriter, r *http.Request, p httprouter.Params, _ string) {
	id, err := pathID(p)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	o, ok := s.config.Configuration.Snapshot().Object(id)
	if !ok {
		writeRefusal(w, unknownObject(id))
		return
	}
	o = o.Redacted()
	if r.URL.Query().Get("conditions") != "false" {
		objects := []object.Object{o}
		s.setConditions(r, objects)
		o = objects[0]
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *server) list(w http.ResponseWriter, r *http.Request, p httprouter.Params, _ string) {
	kind, err := pathKind(p)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	if r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	snapshot := s.config.Configuration.Snapshot()
	list := client.List{Generation: snapshot.Generation(), Objects: []object.Object{}}
	for _, o := range snapshot.Objects(kind) {
		list.Objects = append(list.Objects, o.Redacted())
	}
	if r.URL.Query().Get("conditions") == "true" {
		s.setConditions(r, list.Objects)
	}
	writeJSON(w, http.StatusOK, list)
}

// setConditions sets the status conditions of all objects from a single survey
// of the hosts.
func (s *server) setConditions(r *http.Request, objects []object.Object) {
	var latest uint64
	for _, o := range objects {
		latest = max(latest, o.ResourceVersion)
	}
	survey := s.config.Configuration.Survey(r.Context(), latest)
	for i := range objects {
		objects[i].Status = &object.Status{Conditions: []object.Condition{survey.Confirmation(objects[i].ResourceVersion)}}
	}
}

func (s *server) create(w http.ResponseWriter, r *http.Request, p httprouter.Params, operator string) {
	kind, err := pathKind(p)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	s.put(w, r, operator, "create", func(o object.Object) (configuration.Draft, error) {
		if o.Kind != kind {
			return configuration.Draft{}, pathMismatch("kind", string(o.Kind), string(kind))
		}
		return configuration.Draft{ID: o.ID(), Spec: o.Spec}, nil
	})
}

func (s *server) replace(w http.ResponseWriter, r *http.Request, p httprouter.Params, operator string) {
	id, err := pathID(p)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	s.put(w, r, operator, "replace", func(o object.Object) (configuration.Draft, error) {
		if o.ID() != id {
			return configuration.Draft{}, pathMismatch("name", o.ID().String(), id.String())
		}
		return configuration.Draft{ID: id, Spec: o.Spec, Expected: o.ResourceVersion}, nil
	})
}

// put applies the object in the request body.
func (s *server) put(w http.ResponseWriter, r *http.Request, operator, action string, draft func(object.Object) (configuration.Draft, error)) {
	body, err := readBody(w, r)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	o, err := object.Decode(body)
	if err != nil {
		writeRefusal(w, decodeRefusal(object.ID{Kind: o.Kind, Name: o.Name}, err))
		return
	}
	if o.Kind == object.KindKey {
		writeRefusal(w, keyNotDeclarable())
		return
	}
	d, err := draft(o)
	if err == nil {
		err = s.checkRollouts(d)
	}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	s.applyOperation(w, r, operation{operator: operator, action: action, request: body, plan: staticPlan(d)})
}

func (s *server) apply(w http.ResponseWriter, r *http.Request, _ httprouter.Params, operator string) {
	body, drafts, err := readBatch(w, r)
	if err == nil {
		err = s.checkRollouts(drafts...)
	}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	s.applyOperation(w, r, operation{operator: operator, action: "apply", request: body, plan: staticPlan(drafts...)})
}

func (s *server) check(w http.ResponseWriter, r *http.Request, _ httprouter.Params, operator string) {
	_, drafts, err := readBatch(w, r)
	if err == nil {
		err = s.checkRollouts(drafts...)
	}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	result, err := s.config.Configuration.Check(configuration.Operation{Operator: operator, Force: forced(r), Plan: staticPlan(drafts...)})
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, resultMessage("", result))
}

// rawBatch is a batch whose objects are decoded one at a time, so that the
// errors in all of them are reported together.
type rawBatch struct {
	Objects []json.RawMessage `json:"objects"`
}

func readBatch(w http.ResponseWriter, r *http.Request) ([]byte, []configuration.Draft, error) {
	body, err := readBody(w, r)
	if err != nil {
		return nil, nil, err
	}
	var batch rawBatch
	if err := decodeStrict(body, &batch); err != nil {
		return nil, nil, invalidField("objects", "the body is not a batch: "+err.Error(), `{"objects": [...]}`)
	}
	var itemErrs object.ItemErrors
	drafts := make([]configuration.Draft, 0, len(batch.Objects))
	for i, raw := range batch.Objects {
		o, errs := decodeObject(raw)
		if len(errs) > 0 {
			id := object.ID{Kind: o.Kind, Name: o.Name}
			if id.Name == "" {
				id.Name = fmt.Sprintf("objects[%d]", i)
			}
			itemErrs = append(itemErrs, object.NewItemErrors(id, errs)...)
			continue
		}
		drafts = append(drafts, configuration.Draft{ID: o.ID(), Spec: o.Spec, Expected: o.ResourceVersion})
	}
	if refusal := itemErrs.Refusal(object.Invalid); refusal != nil {
		return nil, nil, refusal
	}
	return body, drafts, nil
}

func decodeObject(raw []byte) (object.Object, object.FieldErrors) {
	o, err := object.Decode(raw)
	var errs object.FieldErrors
	switch {
	case errors.As(err, &errs):
		var named struct {
			Kind object.Kind `json:"kind"`
			Name string      `json:"name"`
		}
		_ = json.Unmarshal(raw, &named) // Kind and name are used only in the error message.
		o.Kind, o.Name = named.Kind, named.Name
		return o, errs
	case err != nil:
		return o, object.FieldErrors{{Message: err.Error()}}
	case o.Kind == object.KindKey:
		refusal := keyNotDeclarable()
		return o, object.FieldErrors{{Field: refusal.Field, Message: refusal.Message, Hint: refusal.Hint}}
	default:
		return o, o.Validate()
	}
}

func (s *server) delete(w http.ResponseWriter, r *http.Request, p httprouter.Params, operator string) {
	id, err := pathID(p)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	version, refusal := queryNumber(r, "resource-version", 0)
	if refusal == nil && version == 0 {
		refusal = invalidField("resource-version", "the expected resource version is missing", "add ?resource-version=N with the one that was read")
	}
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	request := fmt.Appendf(nil, "%s %d", id, version)
	d := configuration.Draft{ID: id, Expected: version}
	s.applyOperation(w, r, operation{operator: operator, action: "delete", request: request, plan: staticPlan(d)})
}

func staticPlan(drafts ...configuration.Draft) func(*configuration.Snapshot) ([]configuration.Draft, error) {
	return func(*configuration.Snapshot) ([]configuration.Draft, error) { return drafts, nil }
}

func pathKind(p httprouter.Params) (object.Kind, error) {
	kind := object.Kind(p.ByName("kind"))
	if !kind.Valid() {
		return "", object.NewRefusal(object.NotFound, fmt.Sprintf("one of %v", object.Kinds()), "there is no kind %q", kind)
	}
	return kind, nil
}

func pathID(p httprouter.Params) (object.ID, error) {
	kind, err := pathKind(p)
	return object.ID{Kind: kind, Name: p.ByName("name")}, err
}

func unknownObject(id object.ID) *object.Refusal {
	return object.NewRefusal(object.NotFound, "list the objects of the kind", "there is no %s %q", id.Kind, id.Name)
}

func pathMismatch(field, got, want string) *object.Refusal {
	return invalidField(field, fmt.Sprintf("the object is %q and the path says %q", got, want), "let the two agree")
}

func keyNotDeclarable() *object.Refusal {
	return invalidField("kind", "keys are not declared but made", "POST /v1/keys makes one, POST /v1/keys/NAME/withdraw stops it")
}

func decodeRefusal(id object.ID, err error) error {
	var errs object.FieldErrors
	if !errors.As(err, &errs) {
		return invalidField("", err.Error(), "")
	}
	refusal := object.NewItemErrors(id, errs).Refusal(object.Invalid)
	refusal.Message = errs[0].Message
	return refusal
}
