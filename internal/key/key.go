// Package key makes and checks the keys that client accounts present.
//
// A key reads ch1.NAME.SECRET: the version of the form, the name of the key
// object, and 256 random bits in unpadded URL-safe base64. Only a salted hash
// of the secret is kept.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"strings"

	"curranthold.example/curranthold/pkg/object"
)

const (
	version     = "ch1"
	secretBytes = 32
	saltBytes   = 16
	// encodedBytes is the length of an encoded secret.
	encodedBytes = 43
	// maxBytes bounds a presented key.
	maxBytes = 256
)

// ErrMalformed means that a presented key does not have the form of a key. It
// names no part of what was presented.
var ErrMalformed = errors.New("key: malformed")

// Generate returns a new key with the given name, and the spec of its object.
// The key itself is to be shown once and kept nowhere.
func Generate(name, account string) (string, object.KeySpec) {
	var secret [secretBytes]byte
	var salt [saltBytes]byte
	_, _ = rand.Read(secret[:]) // crypto/rand.Read never returns an error.
	_, _ = rand.Read(salt[:])
	hash := digest(salt[:], secret[:])
	spec := object.KeySpec{
		ClientAccount: account,
		Salt:          hex.EncodeToString(salt[:]),
		Hash:          hex.EncodeToString(hash[:]),
	}
	return version + "." + name + "." + base64.RawURLEncoding.EncodeToString(secret[:]), spec
}

// Digest returns the SHA-256 of a key that was made elsewhere, in hexadecimal.
func Digest(presented string) string {
	sum := sha256.Sum256([]byte(presented))
	return hex.EncodeToString(sum[:])
}

// Presented is a key as a caller presented it.
type Presented struct {
	name   string
	secret [secretBytes]byte
}

// Parse returns the parts of a presented key. It allocates nothing.
func Parse(presented string) (Presented, error) {
	if len(presented) > maxBytes {
		return Presented{}, ErrMalformed
	}
	rest, ok := strings.CutPrefix(presented, version+".")
	if !ok {
		return Presented{}, ErrMalformed
	}
	name, encoded, ok := strings.Cut(rest, ".")
	if !ok || name == "" || len(encoded) != encodedBytes {
		return Presented{}, ErrMalformed
	}
	var text [encodedBytes]byte
	copy(text[:], encoded)
	p := Presented{name: name}
	n, err := base64.RawURLEncoding.Strict().Decode(p.secret[:], text[:])
	if err != nil || n != secretBytes {
		return Presented{}, ErrMalformed
	}
	return p, nil
}

// Name returns the name of the key object.
func (p Presented) Name() string { return p.name }

// Verifier checks presented keys against one key object. The zero Verifier
// matches no key.
type Verifier struct {
	salt [saltBytes]byte
	hash [sha256.Size]byte
	set  bool
}

// NewVerifier returns the verifier for the key object with the given spec.
func NewVerifier(spec object.KeySpec) (Verifier, error) {
	salt, err := hex.DecodeString(spec.Salt)
	if err != nil || len(salt) != saltBytes {
		return Verifier{}, errors.New("key: salt is not valid")
	}
	hash, err := hex.DecodeString(spec.Hash)
	if err != nil || len(hash) != sha256.Size {
		return Verifier{}, errors.New("key: hash is not valid")
	}
	v := Verifier{set: true}
	copy(v.salt[:], salt)
	copy(v.hash[:], hash)
	return v, nil
}

// Matches reports whether p holds the key's secret. The time it takes depends
// neither on the secret nor on the hash.
func (v *Verifier) Matches(p *Presented) bool {
	hash := digest(v.salt[:], p.secret[:])
	return subtle.ConstantTimeCompare(hash[:], v.hash[:]) == 1 && v.set
}

func digest(salt, secret []byte) [sha256.Size]byte {
	var input [saltBytes + secretBytes]byte
	copy(input[:saltBytes], salt)
	copy(input[saltBytes:], secret)
	return sha256.Sum256(input[:])
}
