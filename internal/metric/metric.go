// Package metric publishes counters, gauges and histograms with expvar, in one
// group per package. docs/METRICS.md lists them all.
package metric

import "expvar"

// prefix is the prefix of every group's expvar name.
const prefix = "curranthold-"

// Group holds the metrics of one package.
type Group struct{ values *expvar.Map }

// NewGroup publishes a group. Each name may be used only once. NewGroup is meant for
// package initialization.
func NewGroup(name string) Group {
	return Group{values: expvar.NewMap(prefix + name)}
}

// Int returns the counter or gauge with the given name, and creates it on the first
// call. A name ends with the unit of its value; a name without a unit is a count.
func (g Group) Int(name string) *expvar.Int {
	g.values.Add(name, 0)
	return g.values.Get(name).(*expvar.Int)
}

// IntMap publishes and returns a new map of counters or gauges. Each name may be
// used only once.
func (g Group) IntMap(name string) *expvar.Map {
	values := new(expvar.Map).Init()
	g.values.Set(name, values)
	return values
}
