package configuration

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/key"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// testSnapshot returns a snapshot with n accounts, n keys and n/10 routes, and the
// key of the last account as a caller presents it.
func testSnapshot(tb testing.TB, n int) (*Snapshot, string) {
	objects := map[object.ID]object.Object{}
	add := func(name string, spec object.Spec) {
		o := object.Object{Kind: spec.Kind(), Metadata: object.Metadata{Name: name}, Spec: spec}
		objects[o.ID()] = o
	}
	var presented string
	for i := range n {
		name := fmt.Sprintf("account-%d", i)
		add(name, object.ClientAccountSpec{Rate: 1, Burst: 1})
		var spec object.KeySpec
		presented, spec = key.Generate(name, name)
		add(name, spec)
		if i%10 == 0 {
			add(name, object.RouteSpec{PathPrefix: fmt.Sprintf("/rota/%d/claims", i), Service: "s"})
		}
	}
	s, err := compile(1, objects, &Snapshot{})
	qt.Assert(tb, err, qt.IsNil)
	return s, presented
}

func TestRoute(t *testing.T) {
	var s Snapshot
	for name, spec := range map[string]object.RouteSpec{
		"root-get": {Method: "GET", PathPrefix: "/"}, "rota": {PathPrefix: "/rota"},
		"rota-post": {Method: "POST", PathPrefix: "/rota"}, "claims": {Method: "POST", PathPrefix: "/rota/claims"},
	} {
		s.routes.add(&Route{Name: name, Spec: spec})
	}
	tests := map[string]struct{ method, path, want string }{
		"exact":                        {"GET", "/rota", "rota"},
		"one method before any":        {"POST", "/rota", "rota-post"},
		"longest prefix":               {"POST", "/rota/claims/7", "claims"},
		"longest prefix of the method": {"GET", "/rota/claims/7", "rota"},
		"whole segments only":          {"GET", "/rotas", "root-get"},
		"trailing slash":               {"GET", "/rota/", "rota"},
		"no match":                     {"PUT", "/other", ""},
		"dot segment":                  {"GET", "/rota/../peals", ""},
		"dot segment beyond the tree":  {"GET", "/x/y/z/../../../rota", ""},
		"empty segment":                {"GET", "//rota", ""},
		"relative":                     {"GET", "rota", ""},
		"empty":                        {"GET", "", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route, ok := s.Route(test.method, test.path)
			qt.Assert(t, ok, qt.Equals, test.want != "")
			if ok {
				qt.Assert(t, route.Name, qt.Equals, test.want)
			}
		})
	}
}

func TestAuthenticate(t *testing.T) {
	s, presented := testSnapshot(t, 2)
	withdrawn := *s.keys["account-1"]
	withdrawn.withdrawn = true
	s.keys["account-0"] = &withdrawn
	tests := map[string]struct {
		presented string
		want      verdict.Code
	}{
		"right":     {presented, ""},
		"missing":   {"", verdict.KeyMissing},
		"unknown":   {"ch1.account-7" + presented[len("ch1.account-1"):], verdict.KeyRefused},
		"withdrawn": {"ch1.account-0" + presented[len("ch1.account-1"):], verdict.KeyRefused},
		"malformed": {"secret", verdict.KeyRefused},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			account, err := s.Authenticate(test.presented)
			qt.Assert(t, codeOf(err), qt.Equals, test.want)
			if err == nil {
				qt.Assert(t, account, qt.Equals, "account-1")
				return
			}
			qt.Assert(t, verdict.Of(err), qt.Equals, verdict.NotRun)
			_, err = new(Snapshot).Authenticate(test.presented)
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

func TestLookupsAllocateNothing(t *testing.T) {
	s, presented := testSnapshot(t, 100)
	allocs := testing.AllocsPerRun(100, func() {
		_, _ = s.Authenticate(presented)
		_, _ = s.Route("GET", "/rota/90/claims/5")
		_, _ = s.Zone("zone-a")
	})
	qt.Assert(t, allocs, qt.Equals, 0.0)
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		s, presented := testSnapshot(b, n)
		b.Run(fmt.Sprintf("route/accounts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = s.Route("GET", "/rota/0/claims/5")
			}
		})
		b.Run(fmt.Sprintf("authenticate/accounts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = s.Authenticate(presented)
			}
		})
	}
}

// BenchmarkAdvance measures the time to apply a change of one object.
func BenchmarkAdvance(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		s, _ := testSnapshot(b, n)
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			changes := []Change{accountChange(b, 2)}
			for b.Loop() {
				_, err := newState(s).advance(changes)
				qt.Assert(b, err, qt.IsNil)
			}
		})
	}
}

func accountChange(tb testing.TB, generation uint64) Change {
	spec := object.ClientAccountSpec{Rate: 1, Burst: 2}
	data, err := object.Encode(object.Object{Kind: spec.Kind(), Metadata: object.Metadata{Name: "account-1", ResourceVersion: generation}, Spec: spec})
	qt.Assert(tb, err, qt.IsNil)
	return Change{Generation: generation, Entries: []Entry{{ID: object.ID{Kind: spec.Kind(), Name: "account-1"}, Data: data}}}
}

// BenchmarkMessages reports the size of each message between nodes on an open
// connection, over which gob has already sent the types, and the maximum number of
// hops in a zone.
func BenchmarkMessages(b *testing.B) {
	const zoneHosts = 1157
	sender := Sender{Host: "host-0123456789", Generation: 5100, HeardAgo: 1e9}
	part := Range{Digest: 1 << 63, First: 500, Count: 144}
	messages := map[string]any{
		"push": &PushArgs{
			Sender: sender, Address: "10.100.200.30:7401", Range: part,
			Changes: []Change{accountChange(b, 5101)}, Generation: 5101,
		},
		"push-answer":   &PushReply{Sender: sender},
		"head":          &HeadArgs{Sender: sender},
		"head-answer":   &HeadReply{Sender: sender, Ready: true},
		"survey":        &SurveyArgs{Sender: sender, Range: part, Budget: surveyBudget},
		"survey-answer": &SurveyReply{Sender: sender, Counts: counts{{5100, 143}, {5099, 1}}},
	}
	hops := 0
	for i := range zoneHosts {
		depth := 0
		for p := parent(i, zoneHosts); p >= 0; p = parent(p, zoneHosts) {
			depth++
		}
		hops = max(hops, depth)
	}
	for name, message := range messages {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var wire bytes.Buffer
			encoder := gob.NewEncoder(&wire)
			qt.Assert(b, encoder.Encode(message), qt.IsNil)
			for b.Loop() {
				wire.Reset()
				qt.Assert(b, encoder.Encode(message), qt.IsNil)
			}
			b.ReportMetric(float64(wire.Len()), "bytes")
			b.ReportMetric(float64(hops), "hops")
		})
	}
}
