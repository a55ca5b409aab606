// Package event defines numbered log events.
//
// Each package declares its events as variables with [New], in its own range of
// numbers. docs/EVENTS.md lists all events for operators; a test checks that it
// matches the code.
package event

import (
	"fmt"
	"sort"

	"github.com/apex/log"
)

// Level is the level at which an event is logged.
type Level = log.Level

// The levels in use.
const (
	Info  = log.InfoLevel
	Warn  = log.WarnLevel
	Error = log.ErrorLevel
)

// Event is one kind of log event.
type Event struct {
	number  int
	name    string
	level   Level
	meaning string
}

// Fields are the structured values of one occurrence of an event.
type Fields = log.Fields

var registry = map[int]*Event{}

// New registers an event and returns it. It panics if the number is already
// registered. It must not be called concurrently, and is meant for package
// initialization.
func New(number int, name string, level Level, meaning string) *Event {
	if _, taken := registry[number]; taken {
		panic(fmt.Sprintf("event: number %d is registered twice", number))
	}
	e := &Event{number: number, name: name, level: level, meaning: meaning}
	registry[number] = e
	return e
}

// Log logs one occurrence of the event. Fields must not contain secrets.
func (e *Event) Log(fields Fields) {
	entry := log.WithFields(fields).WithField("event", e.number)
	switch e.level {
	case log.ErrorLevel:
		entry.Error(e.name)
	case log.WarnLevel:
		entry.Warn(e.name)
	default:
		entry.Info(e.name)
	}
}

// Number returns the event's number.
func (e *Event) Number() int { return e.number }

// Name returns the event's name, in lower case with hyphens.
func (e *Event) Name() string { return e.name }

// Level returns the level at which the event is logged.
func (e *Event) Level() Level { return e.level }

// Meaning returns the event's description in docs/EVENTS.md.
func (e *Event) Meaning() string { return e.meaning }

// All returns the registered events in order of their numbers.
func All() []*Event {
	all := make([]*Event, 0, len(registry))
	for _, e := range registry {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].number < all[j].number })
	return all
}
