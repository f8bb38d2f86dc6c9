// Package keyhash represents the keys of callers, operators and endpoints as hashes, so
// that settings, logs and tables never contain the keys themselves.
package keyhash

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"strings"
)

// Hash is "sha256:" followed by 64 lower-case hex digits.
type Hash string

const prefix = "sha256:"

// Of returns the hash of a key. A plain hash is enough, as keys are long and random and
// never passwords.
func Of(key string) Hash {
	sum := sha256.Sum256([]byte(key))
	return Hash(prefix + hex.EncodeToString(sum[:]))
}

// Matches reports whether h is the hash of key. Its running time doesn't depend on h.
func (h Hash) Matches(key string) bool {
	return subtle.ConstantTimeCompare([]byte(h), []byte(Of(key))) == 1
}

// UnmarshalScalar implements strictyaml.ScalarUnmarshaler.
func (h *Hash) UnmarshalScalar(text string) error {
	digits, found := strings.CutPrefix(text, prefix)
	sum, err := hex.DecodeString(digits)
	if !found || err != nil || len(sum) != sha256.Size || strings.ToLower(digits) != digits {
		return errors.New(`write "sha256:" and 64 lower-case hex digits; "hyssopsail hash-key" makes one`)
	}
	*h = Hash(text)
	return nil
}
