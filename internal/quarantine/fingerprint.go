package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// fingerprintDomain keeps fingerprints apart from other hashes under the same
// secret.
const fingerprintDomain = "hyssopsail/fingerprint/1"

// FingerprintOf hashes a request's team, model (or plain service and route)
// and body with the fleet's secret. The caller's key isn't part of it: the
// same request sent again with a new key has the same fingerprint.
func FingerprintOf(secret []byte, team fleet.Team, model string, body []byte) fleet.Fingerprint {
	mac := hmac.New(sha256.New, secret)
	for _, field := range []string{fingerprintDomain, string(team), model} {
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
