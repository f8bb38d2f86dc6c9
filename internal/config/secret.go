package config

import (
	"encoding/hex"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// SecretBytes is the length of the fleet secret.
const SecretBytes = 32

// Secret is the fleet secret. It keys the hashes of request keys and
// fingerprints, so that a record can't be matched to a guessed body. Until the
// fleet subtree exists, its hex form is also the operator's credential.
type Secret [SecretBytes]byte

// Hex returns the secret in the form that the file has.
func (s Secret) Hex() string { return hex.EncodeToString(s[:]) }

// String keeps the secret out of logs.
func (s Secret) String() string { return "(secret)" }

// GoString keeps the secret out of logs.
func (s Secret) GoString() string { return "(secret)" }

// LoadSecret reads the fleet secret from a file.
func LoadSecret(path string) (Secret, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Secret{}, trace.ConvertSystemError(err)
	}
	var secret Secret
	raw, err := hex.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(raw) != SecretBytes {
		return Secret{}, trace.BadParameter("%s must hold %d random bytes as hex; \"hyssopsail certs\" writes one", path, SecretBytes)
	}
	copy(secret[:], raw)
	return secret, nil
}
