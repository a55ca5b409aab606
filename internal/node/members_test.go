package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/membership"
)

func TestMemberSnapshotUpdate(t *testing.T) {
	first := membership.Member{ID: "a", Zone: "z", Address: "1", Service: "s", Slots: 5, Version: 1}
	second := membership.Member{ID: "b", Zone: "z", Address: "2"}
	tests := map[string]struct {
		change func(*membership.Member)
		want   memberDiff
	}{
		"nothing":     {func(*membership.Member) {}, memberDiff{}},
		"version":     {func(m *membership.Member) { m.Version++ }, memberDiff{}},
		"incarnation": {func(m *membership.Member) { m.Incarnation++ }, memberDiff{}},
		"suspect":     {func(m *membership.Member) { m.State = membership.Suspect }, memberDiff{}},
		"service":     {func(m *membership.Member) { m.Service = "t" }, memberDiff{backends: true}},
		"slots":       {func(m *membership.Member) { m.Slots++ }, memberDiff{backends: true}},
		"cold":        {func(m *membership.Member) { m.Cold = true }, memberDiff{backends: true}},
		"leaving":     {func(m *membership.Member) { m.Leaving = true }, memberDiff{true, true}},
		"address":     {func(m *membership.Member) { m.Address = "3" }, memberDiff{true, true}},
		"zone":        {func(m *membership.Member) { m.Zone = "y" }, memberDiff{true, true}},
		"other host":  {func(m *membership.Member) { m.ID = "c" }, memberDiff{true, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s memberSnapshot
			qt.Assert(t, s.update([]membership.Member{first, second}), qt.Equals, memberDiff{true, true})
			changed := first
			test.change(&changed)
			qt.Assert(t, s.update([]membership.Member{second, changed}), qt.Equals, test.want)
			qt.Assert(t, s.update([]membership.Member{changed, second}), qt.Equals, memberDiff{})
			qt.Assert(t, s.update([]membership.Member{second}), qt.Equals, memberDiff{true, true})
		})
	}
}
