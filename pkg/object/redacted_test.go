package object_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/object"
)

// TestRedacted checks that nothing of a key that a secret can be guessed from is shown.
func TestRedacted(t *testing.T) {
	key := object.Object{Kind: object.KindKey, Spec: object.KeySpec{
		ClientAccount: "bern", Salt: "salt", Hash: "hash", Digest: "digest", Withdrawn: true,
	}}
	qt.Assert(t, key.Redacted().Spec, qt.Equals, object.Spec(object.KeySpec{ClientAccount: "bern", Withdrawn: true}))
	qt.Assert(t, key.Spec.(object.KeySpec).Digest, qt.Equals, "digest")
}
