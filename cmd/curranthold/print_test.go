package main

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

// TestPrintChanges checks that the output for a changed object says whether it was
// created or replaced.
func TestPrintChanges(t *testing.T) {
	at := time.Unix(1000, 0)
	tests := map[string]struct {
		updated time.Time
		want    string
	}{
		"created":  {at, "key/captains-1 created\naccepted as generation 3\n"},
		"replaced": {at.Add(time.Millisecond), "key/captains-1 replaced\naccepted as generation 3\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			o := object.Object{Kind: object.KindKey, Metadata: object.Metadata{Name: "captains-1", Created: at, Updated: test.updated}}
			qt.Assert(t, printChanges(&out, "accepted", client.Result{Generation: 3, Objects: []object.Object{o}}), qt.IsNil)
			qt.Check(t, out.String(), qt.Equals, test.want)
		})
	}
}
