package balance_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/pkg/object"
)

func candidate(id, zone string) balance.Host {
	h := host(id, zone)
	h.Version, h.Candidate = "v2", true
	return h
}

var superseded = admission.Load{Limit: 100, Slots: 100, ShedFrom: object.UrgencyCount, Superseded: true}

// TestChooseCandidate guards against calls that reach a version that is not in force without
// being meant for it, and against calls that are refused because of it.
func TestChooseCandidate(t *testing.T) {
	asks := balance.Request{Candidate: true}
	tests := map[string]struct {
		hosts   []balance.Host
		prepare func(*fixture)
		request balance.Request
		want    map[string]int
	}{
		"not asked for":       {hosts: []balance.Host{host("a1", "a"), candidate("a2", "a")}, want: map[string]int{"a1": 100}},
		"asked for":           {hosts: []balance.Host{host("a1", "a"), candidate("b2", "b")}, request: asks, want: map[string]int{"b2": 100}},
		"asked for, none":     {hosts: []balance.Host{host("a1", "a")}, request: asks, want: map[string]int{"a1": 100}},
		"no other host":       {hosts: []balance.Host{candidate("a2", "a")}, want: map[string]int{"no-host": 100}},
		"no other host, both": {hosts: []balance.Host{candidate("a2", "a")}, request: asks, want: map[string]int{"a2": 100}},
		"refuses": {
			hosts:   []balance.Host{host("a1", "a"), candidate("a2", "a")},
			prepare: func(f *fixture) { f.Observe("a2", leaving, f.now) },
			request: asks, want: map[string]int{"a1": 100},
		},
		"full": {
			hosts:   []balance.Host{host("a1", "a"), candidate("a2", "a")},
			prepare: func(f *fixture) { f.Observe("a2", full, f.now) },
			request: asks, want: map[string]int{"a1": 100},
		},
		"not reachable": {
			hosts:   []balance.Host{host("a1", "a"), candidate("a2", "a")},
			prepare: func(f *fixture) { f.RecordUnreachable("a2", f.now) },
			request: asks, want: map[string]int{"a1": 100},
		},
		"in a zone out of service": {
			hosts:   []balance.Host{host("a1", "a"), candidate("b2", "b")},
			prepare: func(f *fixture) { f.SetZones(map[string]bool{"b": false}) },
			request: asks, want: map[string]int{"a1": 100},
		},
		"superseded": {
			hosts:   []balance.Host{host("a1", "a"), host("a3", "a"), candidate("a2", "a")},
			prepare: func(f *fixture) { f.Observe("a1", superseded, f.now) },
			want:    map[string]int{"a2": 100},
		},
		"superseded, some in force already": {
			hosts:   []balance.Host{host("a1", "a"), {ID: "a3", Zone: "a", Slots: 100, Version: "v2"}, candidate("b2", "b")},
			prepare: func(f *fixture) { f.Observe("a1", superseded, f.now) },
			want:    map[string]int{"a3": 100},
		},
		"superseded, old ones not in force already": {
			hosts: []balance.Host{
				{ID: "a1", Zone: "a", Slots: 100, Candidate: true},
				host("a3", "a"),
				{ID: "b2", Zone: "b", Slots: 100, Version: "v2"},
				candidate("b4", "b"),
			},
			prepare: func(f *fixture) {
				f.Observe("a1", superseded, f.now)
				f.Observe("b4", full, f.now)
			},
			want: map[string]int{"b2": 100},
		},
		"superseded candidate": {
			hosts:   []balance.Host{{ID: "a1", Zone: "a", Slots: 100, Candidate: true}, {ID: "a2", Zone: "a", Slots: 100, Version: "v2"}},
			prepare: func(f *fixture) { f.Observe("a1", superseded, f.now) },
			request: asks, want: map[string]int{"a2": 100},
		},
		"superseded, but the candidate refuses": {
			hosts: []balance.Host{host("a1", "a"), candidate("a2", "a")},
			prepare: func(f *fixture) {
				f.Observe("a1", superseded, f.now)
				f.Observe("a2", leaving, f.now)
			},
			want: map[string]int{"a1": 100},
		},
		"superseded a while ago": {
			hosts: []balance.Host{host("a1", "a"), candidate("a2", "a")},
			prepare: func(f *fixture) {
				f.Observe("a1", superseded, f.now)
				f.now = f.now.Add(6 * time.Second)
			},
			want: map[string]int{"a1": 100},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(test.hosts...)
			if test.prepare != nil {
				test.prepare(f)
			}
			qt.Assert(t, f.counts(100, test.request), qt.DeepEquals, test.want)
		})
	}
}

// TestCandidatesTakeTurns guards against a candidate that gets too little load to show how it
// responds under load.
func TestCandidatesTakeTurns(t *testing.T) {
	f := &fixture{now: time.Unix(1_000_000, 0)}
	f.Balancer = balance.New(balance.Config{Zone: "a", Now: func() time.Time { return f.now }, CandidateFraction: 0.04})
	hosts := []balance.Host{host("old", "a")}
	for i := range 40 {
		hosts = append(hosts, candidate(fmt.Sprint(i), "a"))
	}
	f.SetHosts(map[string][]balance.Host{"rota": hosts})
	used := map[string]bool{}
	for range 200 {
		counts := f.counts(100, balance.Request{Candidate: true})
		qt.Assert(t, len(counts), qt.Equals, 2)
		for id := range counts {
			used[id] = true
		}
		f.now = f.now.Add(time.Second)
	}
	qt.Check(t, used, qt.HasLen, 40)
}

// TestSupersededSurvivesNewHosts guards against calls that go back to the old version, or
// find no host, when the membership changes.
func TestSupersededSurvivesNewHosts(t *testing.T) {
	old, c2, c3 := host("a1", "a"), candidate("a2", "a"), candidate("a3", "a")
	tests := map[string][]balance.Host{
		"another candidate":        {old, c2, c3},
		"old host gone first":      {c2, c3},
		"one in force already":     {old, c2, host("a3", "a")},
		"all in force already":     {old, host("a2", "a"), host("a3", "a")},
		"old host not in force":    {{ID: "a1", Zone: "a", Slots: 100, Candidate: true}, host("a2", "a")},
		"all changed at the start": {host("a2", "a"), host("a3", "a")},
	}
	for name, hosts := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(old, c2)
			f.Observe("a1", superseded, f.now)
			f.SetHosts(map[string][]balance.Host{"rota": hosts})
			counts := f.counts(100, balance.Request{})
			qt.Check(t, counts["a1"], qt.Equals, 0)
			qt.Check(t, counts["no-host"], qt.Equals, 0)
		})
	}
}
