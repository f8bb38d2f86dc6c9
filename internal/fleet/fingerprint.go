package fleet

import "encoding/hex"

// Fingerprint is a keyed hash of team, model and body. Equal requests have equal
// fingerprints even if their request keys differ. The body can't be recovered
// from it.
type Fingerprint [16]byte

// String returns the hex form for logs and the time line.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// FingerprintFromBytes converts a message's field; ok is false if its length is
// wrong.
func FingerprintFromBytes(b []byte) (f Fingerprint, ok bool) {
	if len(b) != len(f) {
		return Fingerprint{}, false
	}
	copy(f[:], b)
	return f, true
}
