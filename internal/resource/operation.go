package resource

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"

	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/key"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
)

// maxOperationIDBytes bounds an operation identifier.
const maxOperationIDBytes = 64

// operation holds an operator's change, but not its operation identifier.
type operation struct {
	operator string
	action   string
	request  []byte
	plan     func(*configuration.Snapshot) ([]configuration.Draft, error)
}

// applyOperation applies an operation and responds with its result.
func (s *server) applyOperation(w http.ResponseWriter, r *http.Request, op operation) {
	id, result, err := s.submit(w, r, op)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, resultMessage(id, result))
}

func (s *server) submit(w http.ResponseWriter, r *http.Request, op operation) (string, configuration.Result, error) {
	id, refusal := operationID(r)
	if refusal != nil {
		return "", configuration.Result{}, refusal
	}
	w.Header().Set(header.OperationID, id)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), operationTimeout)
	defer cancel()
	result, err := s.config.Configuration.Apply(ctx, configuration.Operation{
		ID: id, Operator: op.operator, Action: op.action, Request: op.request, Force: forced(r), Plan: op.plan,
	})
	fields := event.Fields{"operator": op.operator, "action": op.action, "operation-id": id}
	if err != nil {
		countRefused.Add(1)
		var refusal *object.Refusal
		if errors.As(err, &refusal) {
			fields["code"] = string(refusal.Code)
		}
		eventRefused.Log(fields)
		return "", result, err
	}
	countAccepted.Add(1)
	fields["generation"] = result.Generation
	eventAccepted.Log(fields)
	if forced(r) {
		eventForced.Log(fields)
	}
	return id, result, nil
}

// operationID returns the operation identifier from the request's header, or a
// random one if there is none.
func operationID(r *http.Request) (string, *object.Refusal) {
	id := r.Header.Get(header.OperationID)
	if id == "" {
		var random [16]byte
		_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error.
		return hex.EncodeToString(random[:]), nil
	}
	allowed := "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-"
	if len(id) > maxOperationIDBytes || strings.Trim(id, allowed) != "" {
		return "", invalidField(header.OperationID, "the operation identifier is not valid", "letters, digits and hyphens, at most 64")
	}
	return id, nil
}

func forced(r *http.Request) bool { return r.URL.Query().Get("force") == "true" }

func resultMessage(id string, result configuration.Result) client.Result {
	message := client.Result{Generation: result.Generation, OperationID: id, Repeated: result.Repeated}
	for _, edit := range result.Edits {
		if edit.After == nil {
			message.Deleted = append(message.Deleted, edit.ID)
			continue
		}
		message.Objects = append(message.Objects, edit.After.Redacted())
	}
	return message
}

// createKey generates a key. The key itself is only in the response; the object
// holds a salted hash of its secret.
func (s *server) createKey(w http.ResponseWriter, r *http.Request, _ httprouter.Params, operator string) {
	body, err := readBody(w, r)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	var request client.KeyRequest
	if err := decodeStrict(body, &request); err != nil {
		writeRefusal(w, invalidField("", "the body is not a request for a key: "+err.Error(), `{"name": "...", "client-account": "..."}`))
		return
	}
	secret, spec := key.Generate(request.Name, request.ClientAccount)
	id := object.ID{Kind: object.KindKey, Name: request.Name}
	plan := staticPlan(configuration.Draft{ID: id, Spec: spec})
	operationID, result, err := s.submit(w, r, operation{operator: operator, action: "key-create", request: body, plan: plan})
	if err != nil {
		writeRefusal(w, err)
		return
	}
	message := client.KeyResult{Result: resultMessage(operationID, result)}
	if len(result.Edits) == 1 && result.Edits[0].After != nil && result.Edits[0].After.Spec == object.Spec(spec) {
		message.Key = secret
	}
	writeJSON(w, http.StatusOK, message)
}

func (s *server) withdrawKey(w http.ResponseWriter, r *http.Request, p httprouter.Params, operator string) {
	id := object.ID{Kind: object.KindKey, Name: p.ByName("name")}
	plan := modifyPlan(id, func(spec object.Spec) object.Spec {
		withdrawn, _ := spec.(object.KeySpec)
		withdrawn.Withdrawn = true
		return withdrawn
	})
	s.applyOperation(w, r, operation{operator: operator, action: "key-withdraw", request: []byte(id.Name), plan: plan})
}

func (s *server) setZone(w http.ResponseWriter, r *http.Request, p httprouter.Params, operator string) {
	direction := p.ByName("direction")
	if direction != "in" && direction != "out" {
		notFound(w, r)
		return
	}
	id := object.ID{Kind: object.KindAvailabilityZone, Name: p.ByName("name")}
	plan := modifyPlan(id, func(spec object.Spec) object.Spec {
		zone, _ := spec.(object.AvailabilityZoneSpec)
		zone.InService = direction == "in"
		return zone
	})
	s.applyOperation(w, r, operation{operator: operator, action: "zone-" + direction, request: []byte(id.Name), plan: plan})
}

// modifyPlan returns a plan that modifies an object whatever its current version.
func modifyPlan(id object.ID, change func(object.Spec) object.Spec) func(*configuration.Snapshot) ([]configuration.Draft, error) {
	return func(base *configuration.Snapshot) ([]configuration.Draft, error) {
		o, ok := base.Object(id)
		if !ok {
			return nil, unknownObject(id)
		}
		return []configuration.Draft{{ID: id, Spec: change(o.Spec), AnyVersion: true}}, nil
	}
}

func decodeStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is more after its end")
	}
	return nil
}
