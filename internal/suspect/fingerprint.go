package suspect

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// fingerprintDomain separates fingerprints from other hashes with the same secret.
const fingerprintDomain = "hyssopsail/fingerprint/1"

// FingerprintOf returns the keyed hash of a request's caller, of what it asks for (a model, or
// a plain service and its route) and of its body, with the fleet's secret as the key. The
// caller's name for an attempt is not part of it: a repeat of the same request has the same
// fingerprint.
func FingerprintOf(secret []byte, caller, requested string, body []byte) fleet.Fingerprint {
	mac := hmac.New(sha256.New, secret)
	for _, field := range []string{fingerprintDomain, caller, requested} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = mac.Write(size[:])
		_, _ = mac.Write([]byte(field))
	}
	_, _ = mac.Write(body)
	var f fleet.Fingerprint
	copy(f[:], mac.Sum(nil))
	return f
}
