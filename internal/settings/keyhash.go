package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"strings"
)

const keyHashPrefix = "sha256:"

// HashKey gives the form in which settings hold a key. Keys are random and
// long, so a plain hash is enough; they are never passwords.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(keyHashPrefix + hex.EncodeToString(sum[:]))
}

// Matches tells, in time that doesn't depend on the hash, whether key is the
// one that h stands for.
func (h KeyHash) Matches(key string) bool {
	return subtle.ConstantTimeCompare([]byte(h), []byte(HashKey(key))) == 1
}

// UnmarshalScalar implements strictyaml.ScalarUnmarshaler.
func (h *KeyHash) UnmarshalScalar(text string) error {
	digits, found := strings.CutPrefix(text, keyHashPrefix)
	sum, err := hex.DecodeString(digits)
	if !found || err != nil || len(sum) != sha256.Size || strings.ToLower(digits) != digits {
		return errors.New(`write "sha256:" and 64 lower-case hex digits; "hyssopsail hash-key" makes one`)
	}
	*h = KeyHash(text)
	return nil
}
