package object

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxSize is the maximum size of an encoded object, in bytes.
const MaxSize = 16 << 10

// Spec holds the fields of an object that an operator declares. Its dynamic
// type is the struct type for the object's kind, such as [RouteSpec], not a
// pointer to it.
type Spec interface {
	// Kind returns the kind of the objects that have this spec.
	Kind() Kind
	// Validate checks the spec without regard to other objects. It returns nil if
	// the spec is valid.
	Validate() FieldErrors
}

// Object is a configuration object with its metadata and its observed status.
type Object struct {
	Kind Kind `json:"kind"`
	Metadata
	Spec Spec `json:"spec"`
	// Status is set by the resource API in its responses; it is not stored.
	Status *Status `json:"status,omitempty"`
}

// ID returns the object's identifier.
func (o Object) ID() ID { return ID{Kind: o.Kind, Name: o.Name} }

// rawObject is an Object whose spec and status are not decoded yet. The type of
// the spec depends on the kind.
type rawObject struct {
	Kind Kind `json:"kind"`
	Metadata
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type specDecoder func(data []byte) (Spec, error)

var specDecoders = map[Kind]specDecoder{
	KindClientAccount:    decodeSpec[ClientAccountSpec],
	KindKey:              decodeSpec[KeySpec],
	KindRollout:          decodeSpec[RolloutSpec],
	KindRoute:            decodeRouteSpec,
	KindService:          decodeSpec[ServiceSpec],
	KindAvailabilityZone: decodeSpec[AvailabilityZoneSpec],
}

// Decode decodes an object from JSON. It returns [FieldErrors] for malformed
// JSON, unknown fields, trailing data and objects larger than [MaxSize]. It does
// not validate the object: see [Object.Validate].
func Decode(data []byte) (Object, error) {
	if len(data) > MaxSize {
		return Object{}, FieldErrors{{
			Message: fmt.Sprintf("the object has %d bytes", len(data)),
			Hint:    fmt.Sprintf("an object has at most %d bytes", MaxSize),
		}}
	}
	var raw rawObject
	if err := unmarshalStrict(data, &raw); err != nil {
		return Object{}, fieldErrors("", err)
	}
	decode, ok := specDecoders[raw.Kind]
	if !ok {
		return Object{}, FieldErrors{unknownKind(raw.Kind)}
	}
	if len(raw.Spec) == 0 || string(raw.Spec) == "null" {
		return Object{}, FieldErrors{{Field: "spec", Message: "the spec is missing", Hint: "see docs/API.md for the fields of a " + string(raw.Kind)}}
	}
	spec, err := decode(raw.Spec)
	if err != nil {
		return Object{}, fieldErrors("spec", err)
	}
	o := Object{Kind: raw.Kind, Metadata: raw.Metadata, Spec: spec}
	if len(raw.Status) > 0 && string(raw.Status) != "null" {
		o.Status = new(Status)
		if err := unmarshalStrict(raw.Status, o.Status); err != nil {
			return Object{}, fieldErrors("status", err)
		}
	}
	return o, nil
}

// UnmarshalJSON implements json.Unmarshaler. It accepts the same input as [Decode].
func (o *Object) UnmarshalJSON(data []byte) error {
	decoded, err := Decode(data)
	if err != nil {
		return err
	}
	*o = decoded
	return nil
}

// Encode returns the JSON encoding of the object without its status.
func Encode(o Object) ([]byte, error) {
	o.Status = nil
	return json.Marshal(o)
}

// unmarshalStrict is json.Unmarshal that rejects unknown fields and trailing data.
func unmarshalStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is more after the end of the object")
	}
	return nil
}

func decodeSpec[T Spec](data []byte) (Spec, error) {
	var spec T
	if err := unmarshalStrict(data, &spec); err != nil {
		return nil, err
	}
	return spec, nil
}

// decodeRouteSpec also requires the urgency to be set: its zero value is the
// most urgent level, which a route must not get by leaving the field out.
func decodeRouteSpec(data []byte) (Spec, error) {
	var present struct {
		Urgency *Urgency `json:"urgency"`
	}
	spec, err := decodeSpec[RouteSpec](data)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &present); err != nil {
		return nil, err
	}
	if present.Urgency == nil {
		return nil, FieldErrors{{Field: "urgency", Message: "the urgency is missing", Hint: "one of urgent, normal, deferrable"}}
	}
	return spec, nil
}
