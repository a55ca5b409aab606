package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/settings"
)

const example = "../../examples/node.json"

func TestExample(t *testing.T) {
	s, err := settings.Load(example)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Host, qt.Equals, "glocke-a1")
	qt.Assert(t, s.Secret(), qt.HasLen, 32)
	qt.Assert(t, s.Limits.ExtraAttempts, qt.Equals, 3)
}

func TestMistakes(t *testing.T) {
	source, err := os.ReadFile(example)
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct{ old, new, want string }{
		"unknown field":     {`"host":`, `"hots":`, `node.json:5: hots: unknown field`},
		"wrong type":        {`"extra-attempts": 3`, `"extra-attempts": "3"`, `node.json:64: limits.extra-attempts: must be a whole number`},
		"fraction":          {`"extra-attempts": 3`, `"extra-attempts": 2.5`, `node.json:64: limits.extra-attempts: must be a whole number`},
		"out of range":      {`"extra-attempts": 3`, `"extra-attempts": -1`, `node.json:64: limits.extra-attempts: must be between 0 and 100`},
		"canary share":      {`"canary-percent": 0`, `"canary-percent": 101`, `node.json:68: limits.canary-percent: must be between 0 and 100`},
		"rollback at once":  {`"rollback-ms": 5000`, `"rollback-ms": 0`, `node.json:70: limits.rollback-ms: must be between 1 and 600000`},
		"no IP address":     {`"127.0.0.1:7002"`, `"localhost:7002"`, `node.json:16: peer-address: must be an IP address with a port, as in 10.0.0.7:7000`},
		"missing host":      {`"host": "glocke-a1",`, ``, `node.json:0: host: is required`},
		"duplicate field":   {`"host": "glocke-a1",`, `"host": "a", "host": "b",`, `node.json:5: host: stands twice`},
		"short secret":      {`"fleet-secret": "65`, `"fleet-secret": "`, `fleet-secret: must be 32 bytes in hexadecimal`},
		"not JSON":          {`"host"`, `host`, `node.json:1: `},
		"unknown mechanism": {`"extra-attempts": 3`, `"disabled-mechanisms": ["cold-ramp", "early-refusal", "coldness"]`, `node.json:64: limits.disabled-mechanisms[2]: names no mechanism`},
		"object as string":  {`"seeds": [`, `"seeds": [{},`, `seeds[0]: must be a single value`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(string(source), test.old, test.new, 1)
			_, err := settings.Parse("node.json", []byte(changed))
			var mistakes settings.Mistakes
			qt.Assert(t, errors.As(err, &mistakes), qt.IsTrue)
			qt.Assert(t, err.Error(), qt.Contains, test.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	source, err := os.ReadFile(example)
	qt.Assert(f, err, qt.IsNil)
	f.Add(source)
	f.Add([]byte(`{"seeds": [1, {}], "limits": []}`))
	f.Fuzz(func(_ *testing.T, source []byte) {
		_, _ = settings.Parse("node.json", source)
	})
}
