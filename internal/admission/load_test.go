package admission_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/pkg/object"
)

func TestLoadRoundTrip(t *testing.T) {
	for shedFrom := range object.Urgency(object.UrgencyCount + 1) {
		load := admission.Load{InFlight: 1, Queued: 2, Limit: 3, Slots: 4, ShedFrom: shedFrom, Cold: true, Leaving: true, Superseded: true}
		text, err := json.Marshal(load)
		qt.Assert(t, err, qt.IsNil)
		var back admission.Load
		qt.Assert(t, json.Unmarshal(text, &back), qt.IsNil)
		qt.Assert(t, back, qt.Equals, load)

		var buffer bytes.Buffer
		qt.Assert(t, gob.NewEncoder(&buffer).Encode(load), qt.IsNil)
		back = admission.Load{}
		qt.Assert(t, gob.NewDecoder(&buffer).Decode(&back), qt.IsNil)
		qt.Assert(t, back, qt.Equals, load)
	}
}
