package object

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validRoute = `{"kind":"route","name":"toll","spec":{"path-prefix":"/toll","service":"toll","urgency":"urgent"}}`

func TestInvalidObjects(t *testing.T) {
	tests := map[string]struct{ text, field string }{
		"unknown kind":                   {`{"kind":"rout","name":"a","spec":{}}`, "kind"},
		"unknown field":                  {`{"kind":"service","name":"a","spec":{"rate":1}}`, "spec.rate"},
		"unknown outer field":            {`{"kind":"service","name":"a","sepc":{},"spec":{}}`, "sepc"},
		"wrong type":                     {`{"kind":"client-account","name":"a","spec":{"rate":"5","burst":1}}`, "spec.rate"},
		"spec missing":                   {`{"kind":"service","name":"a"}`, "spec"},
		"urgency missing":                {`{"kind":"route","name":"a","spec":{"path-prefix":"/","service":"s"}}`, "spec.urgency"},
		"unknown urgency":                {strings.Replace(validRoute, "urgent", "hasty", 1), "spec"},
		"name not kebab case":            {`{"kind":"service","name":"A b","spec":{}}`, "name"},
		"name with two hyphens in a row": {`{"kind":"service","name":"a--b","spec":{}}`, "name"},
		"rate of zero":                   {`{"kind":"client-account","name":"a","spec":{"rate":0,"burst":1}}`, "spec.rate"},
		"burst below one":                {`{"kind":"client-account","name":"a","spec":{"rate":1,"burst":0.9}}`, "spec.burst"},
		"relative prefix":                {strings.Replace(validRoute, "/toll", "toll", 1), "spec.path-prefix"},
		"dot segment":                    {strings.Replace(validRoute, "/toll", "/a/../b", 1), "spec.path-prefix"},
		"trailing slash":                 {strings.Replace(validRoute, "/toll", "/toll/", 1), "spec.path-prefix"},
		"unknown isolated-keys":          {`{"kind":"availability-zone","name":"a","spec":{"in-service":true,"isolated-keys":"x"}}`, "spec.isolated-keys"},
		"isolated-after-ms too small":    {`{"kind":"availability-zone","name":"a","spec":{"in-service":true,"isolated-after-ms":10}}`, "spec.isolated-after-ms"},
		"rollout without target":         {`{"kind":"rollout","name":"a","spec":{"over-ms":12000}}`, "spec.target"},
		"rollout with space in target":   {`{"kind":"rollout","name":"a","spec":{"target":"v 2","over-ms":12000}}`, "spec.target"},
		"rollout over no time":           {`{"kind":"rollout","name":"a","spec":{"target":"v2"}}`, "spec.over-ms"},
		"rollout over too long":          {`{"kind":"rollout","name":"a","spec":{"target":"v2","over-ms":86400001}}`, "spec.over-ms"},
		"object too large":               {`{"kind":"service","name":"a","spec":{"description":"` + strings.Repeat("x", MaxSize) + `"}}`, ""},
		"trailing data":                  {validRoute + "{}", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o, err := Decode([]byte(test.text))
			if err == nil {
				err = o.Validate().Err()
			}
			var errs FieldErrors
			qt.Assert(t, errors.As(err, &errs), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, errs[0].Field, qt.Equals, test.field, qt.Commentf("%v", err))
		})
	}
	o, err := Decode([]byte(validRoute))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o.Validate(), qt.HasLen, 0)
}

// FuzzDecode checks that decoding and validating never panic, and that an object
// that decodes stays the same when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validRoute))
	f.Add([]byte(`{"kind":"client-account","name":"a","resource-version":3,"spec":{"rate":1.5,"burst":2}}`))
	f.Add([]byte(`{"kind":"key","name":"a","spec":{"client-account":"a","salt":"00","hash":"ff","withdrawn":true}}`))
	f.Add([]byte(`{"kind":"availability-zone","name":"a","created":"2026-01-01T00:00:00Z","spec":{"in-service":true,"isolated-keys":"serve"}}`))
	f.Add([]byte(`{"kind":"service","name":"a","spec":{},"status":{"conditions":[{"type":"in-force","status":"true"}]}}`))
	f.Add([]byte(`{"kind":"rollout","name":"a","spec":{"target":"v2","over-ms":12000}}`))
	f.Add([]byte(`{"kind":"route","spec":null}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		o, err := Decode(data)
		if err != nil {
			var errs FieldErrors
			qt.Assert(t, errors.As(err, &errs), qt.IsTrue)
			return
		}
		_ = o.Validate() // must not panic
		encoded, err := json.Marshal(o)
		qt.Assert(t, err, qt.IsNil)
		if len(encoded) > MaxSize {
			return
		}
		redecoded, err := Decode(encoded)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, redecoded.Spec, qt.DeepEquals, o.Spec)
		qt.Assert(t, redecoded.ID(), qt.Equals, o.ID())
	})
}
