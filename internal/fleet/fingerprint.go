package fleet

import "encoding/hex"

// Fingerprint is a keyed hash of team, model and body: the same request has
// the same one whatever its key. It can't be turned back into a body.
type Fingerprint [16]byte

// String gives the hex form for logs and the time line.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// FingerprintFromBytes takes a message's field; a wrong length gives ok false.
func FingerprintFromBytes(b []byte) (f Fingerprint, ok bool) {
	if len(b) != len(f) {
		return Fingerprint{}, false
	}
	copy(f[:], b)
	return f, true
}
