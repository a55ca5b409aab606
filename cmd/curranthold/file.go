package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"curranthold.example/curranthold/pkg/object"
)

// fileError is the error for a file of object declarations that has mistakes.
type fileError struct {
	mistakes []fileMistake
}

// fileMistake is one mistake in a file, with its location. A line of 0 means that
// the line is unknown.
type fileMistake struct {
	file  string
	line  int
	field string
	text  string
	hint  string
}

// String returns the mistake in the form FILE:LINE: FIELD: TEXT (HINT).
func (m fileMistake) String() string {
	text := m.file
	if m.line > 0 {
		text += ":" + strconv.Itoa(m.line)
	}
	if m.field != "" {
		text += ": " + m.field
	}
	text += ": " + m.text
	if m.hint != "" {
		text += " (" + m.hint + ")"
	}
	return text
}

// Error implements error.
func (e *fileError) Error() string {
	texts := make([]string, len(e.mistakes))
	for i, m := range e.mistakes {
		texts[i] = m.String()
	}
	return strings.Join(texts, "\n")
}

// declarations holds the objects of a file, and the parsed JSON value of each, from
// which the line numbers of mistakes are found.
type declarations struct {
	file    string
	data    []byte
	objects []object.Object
	parsed  map[object.ID]*hujson.Value
}

// readDeclarations reads a file that holds one object or a list of objects in
// JSON with comments. The name "-" selects the standard input.
func readDeclarations(name string) (*declarations, error) {
	if name == "" {
		return nil, usageError("-f names no file")
	}
	data, err := readFile(name)
	if err != nil {
		return nil, err
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, &fileError{mistakes: []fileMistake{syntaxMistake(name, err)}}
	}
	d := &declarations{file: name, data: data, parsed: map[object.ID]*hujson.Value{}}
	values := []*hujson.Value{&root}
	if list, ok := root.Value.(*hujson.Array); ok {
		values = nil
		for i := range list.Elements {
			values = append(values, &list.Elements[i])
		}
	}
	var mistakes []fileMistake
	for _, value := range values {
		mistakes = append(mistakes, d.add(value)...)
	}
	if len(mistakes) > 0 {
		return nil, &fileError{mistakes: mistakes}
	}
	return d, nil
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// syntaxMistake converts an error of the JSON parser to a mistake. It takes the line
// from the text of the error, which begins with "hujson: line LINE, column COLUMN: ".
func syntaxMistake(file string, err error) fileMistake {
	m := fileMistake{file: file, text: err.Error()}
	var column int
	if _, scanErr := fmt.Sscanf(m.text, "hujson: line %d, column %d:", &m.line, &column); scanErr == nil {
		_, m.text, _ = strings.Cut(m.text, ": ")
		_, m.text, _ = strings.Cut(m.text, ": ")
	}
	return m
}

// add decodes and checks one object, and adds it to the declarations. It returns
// the mistakes in the object.
func (d *declarations) add(value *hujson.Value) []fileMistake {
	if duplicate := d.duplicates(value, ""); len(duplicate) > 0 {
		return duplicate
	}
	standard := value.Clone()
	standard.Standardize()
	o, err := object.Decode(bytes.TrimSpace(standard.Pack()))
	var errs object.FieldErrors
	if err != nil && !errors.As(err, &errs) {
		errs = object.FieldErrors{{Message: err.Error()}}
	}
	if err == nil {
		errs = o.Validate()
	}
	if _, duplicate := d.parsed[o.ID()]; duplicate && len(errs) == 0 {
		errs = object.FieldErrors{{Field: "name", Message: "the object " + o.ID().String() + " stands twice in the file"}}
	}
	if len(errs) > 0 {
		return d.mistakes(value, errs)
	}
	d.objects = append(d.objects, o)
	d.parsed[o.ID()] = value
	return nil
}

// duplicates returns a mistake for each field that occurs more than once in an
// object or in the objects nested in it.
func (d *declarations) duplicates(value *hujson.Value, parent string) []fileMistake {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	var found []fileMistake
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		literal, _ := member.Name.Value.(hujson.Literal)
		field := strings.TrimPrefix(parent+"."+literal.String(), ".")
		if seen[field] {
			found = append(found, fileMistake{file: d.file, line: d.line(&member.Name), field: field, text: "the field stands twice"})
		}
		seen[field] = true
		found = append(found, d.duplicates(&member.Value, field)...)
	}
	return found
}

func (d *declarations) mistakes(value *hujson.Value, errs object.FieldErrors) []fileMistake {
	found := make([]fileMistake, len(errs))
	for i, err := range errs {
		found[i] = fileMistake{file: d.file, line: d.lineOf(value, err.Field), field: err.Field, text: err.Message, hint: err.Hint}
	}
	return found
}

// addLocations converts the mistakes that a node lists in a refusal to mistakes in
// the file, with line numbers for the objects that are in the file. It returns
// conflicts and other errors unchanged.
func (d *declarations) addLocations(err error) error {
	var refusal *object.Refusal
	if !errors.As(err, &refusal) || len(refusal.Mistakes) == 0 || refusal.Code == object.Conflict {
		return err
	}
	located := &fileError{}
	for _, mistake := range refusal.Mistakes {
		m := fileMistake{file: d.file, field: mistake.Field, text: mistake.String() + ": " + mistake.Message, hint: mistake.Hint}
		if value, ok := d.parsed[mistake.ID]; ok {
			m.line = d.lineOf(value, mistake.Field)
		}
		located.mistakes = append(located.mistakes, m)
	}
	return located
}

// lineOf returns the line of a field. If the field is not in the file, it returns
// the line of the innermost enclosing field or object that is.
func (d *declarations) lineOf(value *hujson.Value, field string) int {
	for field != "" {
		if found := value.Find("/" + strings.ReplaceAll(field, ".", "/")); found != nil {
			return d.line(found)
		}
		cut := strings.LastIndexByte(field, '.')
		field = field[:max(cut, 0)]
	}
	return d.line(value)
}

func (d *declarations) line(value *hujson.Value) int {
	return 1 + bytes.Count(d.data[:value.StartOffset], []byte("\n"))
}
