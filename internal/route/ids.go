package route

import (
	"crypto/hmac"
	crand "crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
)

const (
	attemptBytes = 16
	bodyTagBytes = 4
	bodyTagMark  = "-"
)

// newAttemptID gives 128 random bits from the system's source: attempt IDs of
// two processes, or of one before and after a restart, never meet.
func newAttemptID() fleet.AttemptID {
	var b [attemptBytes]byte
	_, _ = crand.Read(b[:]) // never fails, by crypto/rand's contract
	return fleet.AttemptID(hex.EncodeToString(b[:]))
}

// NewRequestID names a request in logs and the time line.
func NewRequestID() fleet.RequestID { return fleet.RequestID("r-" + string(newAttemptID())[:20]) }

// newClaimAttempt is an attempt ID that also carries a few bits of the
// fingerprint, so that another entry which meets the record can tell a repeat
// from another body under the same key.
func newClaimAttempt(f fleet.Fingerprint) fleet.AttemptID {
	return newAttemptID() + fleet.AttemptID(bodyTagMark+bodyTag(f))
}

func bodyTag(f fleet.Fingerprint) string { return hex.EncodeToString(f[:bodyTagBytes]) }

// sameBody tells whether a record's attempt was of the request f. An attempt
// without a tag says nothing, and counts as the same.
func sameBody(a fleet.AttemptID, f fleet.Fingerprint) bool {
	_, tag, ok := strings.Cut(string(a), bodyTagMark)
	return !ok || tag == bodyTag(f)
}

// hasher makes the keyed hashes of one fleet.
type hasher struct{ secret []byte }

func (h hasher) sum(kind string, parts ...string) [sha256.Size]byte {
	mac := hmac.New(sha256.New, h.secret)
	writePart(mac, kind)
	for _, p := range parts {
		writePart(mac, p)
	}
	var out [sha256.Size]byte
	mac.Sum(out[:0])
	return out
}

// writePart prefixes each part with its length, so that parts can't run into
// each other.
func writePart(mac interface{ Write([]byte) (int, error) }, part string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	_, _ = mac.Write(size[:])
	_, _ = mac.Write([]byte(part))
}

// recordKey names the record of a key's generation.
func (h hasher) recordKey(team fleet.Team, key string, generation int) outcome.Key {
	var g [8]byte
	binary.BigEndian.PutUint64(g[:], uint64(generation))
	sum := h.sum("record", string(team), key, string(g[:]))
	var k outcome.Key
	copy(k[:], sum[:])
	return k
}

func (h hasher) modelFingerprint(r ModelRequest, m engineapi.ModelRef, output int) fleet.Fingerprint {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(output))
	return cut(h.sum("model", string(r.Team), m.String(), r.Prompt, string(n[:])))
}

func (h hasher) callFingerprint(r CallRequest) fleet.Fingerprint {
	return cut(h.sum("call", string(r.Team), r.Service, r.Method, r.Path, r.Query, string(r.Body)))
}

func cut(sum [sha256.Size]byte) (f fleet.Fingerprint) {
	copy(f[:], sum[:])
	return f
}
