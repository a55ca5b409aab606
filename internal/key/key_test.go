package key_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/key"
)

func TestMatches(t *testing.T) {
	presented, spec := key.Generate("captains-1", "captains")
	other, _ := key.Generate("captains-1", "captains")
	verifier, err := key.NewVerifier(spec)
	qt.Assert(t, err, qt.IsNil)
	_, secret, _ := strings.Cut(presented, "captains-1.")
	qt.Assert(t, strings.Contains(spec.Hash+spec.Salt, secret), qt.IsFalse)

	tests := map[string]struct {
		verifier        key.Verifier
		presented       string
		parses, matches bool
	}{
		"valid":             {verifier, presented, true, true},
		"another secret":    {verifier, other, true, false},
		"zero verifier":     {key.Verifier{}, presented, true, false},
		"one byte less":     {verifier, presented[:len(presented)-1], false, false},
		"one byte more":     {verifier, presented + "A", false, false},
		"other version":     {verifier, "ch2" + presented[3:], false, false},
		"no name":           {verifier, "ch1.." + secret, false, false},
		"not base64":        {verifier, "ch1.captains-1." + strings.Repeat("!", 43), false, false},
		"with newline":      {verifier, "ch1.captains-1." + secret[:42] + "\n", false, false},
		"empty":             {verifier, "", false, false},
		"too long":          {verifier, strings.Repeat("x", 1<<20), false, false},
		"trailing bits set": {verifier, "ch1.captains-1." + strings.Repeat("A", 42) + "B", false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := key.Parse(test.presented)
			qt.Assert(t, err == nil, qt.Equals, test.parses)
			qt.Assert(t, test.verifier.Matches(&p) && err == nil, qt.Equals, test.matches)
		})
	}
}
