package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Mistake is one mistake in a settings file.
type Mistake struct {
	File string
	// Line is the line number, from 1; it is 0 if the mistake has no position, such
	// as a missing field.
	Line int
	// Field is the path of the field, as in "platform.timeout-ms".
	Field   string
	Message string
}

// Error implements error.
func (m Mistake) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", m.File, m.Line, m.Field, m.Message)
}

// decoder decodes JSON with comments into a struct and records every mistake with
// its line. It supports structs, slices, strings, integers and booleans.
type decoder struct {
	file     string
	source   []byte
	mistakes []Mistake
	// lines holds the line of each decoded field, for the checks after decoding.
	lines map[string]int
}

func (d *decoder) line(v *hujson.Value) int {
	return 1 + strings.Count(string(d.source[:v.StartOffset]), "\n")
}

func (d *decoder) mistake(v *hujson.Value, field, format string, args ...any) {
	d.mistakes = append(d.mistakes, Mistake{
		File: d.file, Line: d.line(v), Field: field, Message: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) decode(v *hujson.Value, field string, into reflect.Value) {
	d.lines[field] = d.line(v)
	switch into.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, field, into)
	case reflect.Slice:
		d.decodeSlice(v, field, into)
	default:
		d.decodeLiteral(v, field, into)
	}
}

func (d *decoder) decodeStruct(v *hujson.Value, field string, into reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.mistake(v, field, "must be an object")
		return
	}
	fields := fieldsByName(into)
	seen := make(map[string]bool)
	for i := range o.Members {
		member := &o.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		path := join(field, name)
		target, known := fields[name]
		switch {
		case !known:
			d.mistake(&member.Name, path, "unknown field")
		case seen[name]:
			d.mistake(&member.Name, path, "stands twice")
		default:
			d.decode(&member.Value, path, target)
		}
		seen[name] = true
	}
}

func (d *decoder) decodeSlice(v *hujson.Value, field string, into reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.mistake(v, field, "must be a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		d.decode(&a.Elements[i], fmt.Sprintf("%s[%d]", field, i), into.Index(i))
	}
}

func (d *decoder) decodeLiteral(v *hujson.Value, field string, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.mistake(v, field, "must be a single value")
		return
	}
	switch kind := literal.Kind(); {
	case into.Kind() == reflect.String && kind == '"':
		into.SetString(literal.String())
	case into.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		into.SetBool(literal.Bool())
	case into.CanInt() && kind == '0':
		n := literal.Int()
		if float64(n) != literal.Float() {
			d.mistake(v, field, "must be a whole number")
			return
		}
		into.SetInt(n)
	default:
		d.mistake(v, field, "must be a %s", typeName(into.Kind()))
	}
}

func typeName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	default:
		return "whole number"
	}
}

// fieldsByName returns the fields of a struct by their JSON names.
func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("json")] = v.Field(i)
	}
	return fields
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}
