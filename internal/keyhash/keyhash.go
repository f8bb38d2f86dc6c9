// Package keyhash holds callers', operators' and endpoints' keys as hashes, so
// that settings, logs and tables never need the keys themselves.
package keyhash

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"strings"
)

// Hash is "sha256:" and 64 hex digits.
type Hash string

const prefix = "sha256:"

// Of gives the hash of a key. Keys are random and long, so a plain hash is
// enough; they are never passwords.
func Of(key string) Hash {
	sum := sha256.Sum256([]byte(key))
	return Hash(prefix + hex.EncodeToString(sum[:]))
}

// Matches tells, in time that doesn't depend on the hash, whether key is the
// one that h stands for.
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
