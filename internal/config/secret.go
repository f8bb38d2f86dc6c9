package config

import (
	"encoding/hex"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// SecretBytes is the length of a fleet's secret.
const SecretBytes = 32

// Secret keys the hashes of request keys and fingerprints, so that a record
// can't be matched to a guessed body. Before the fleet subtree exists its hex
// form is the operator's credential too.
type Secret [SecretBytes]byte

// Hex gives the file's form.
func (s Secret) Hex() string { return hex.EncodeToString(s[:]) }

// String keeps the secret out of logs.
func (s Secret) String() string { return "(secret)" }

// GoString keeps the secret out of logs.
func (s Secret) GoString() string { return "(secret)" }

// LoadSecret reads a fleet's secret.
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
