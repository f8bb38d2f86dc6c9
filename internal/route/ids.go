package route

import (
	crand "crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
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

// recordKey names the record of a key's generation.
func (h hasher) recordKey(team fleet.Team, key string, generation int) outcome.Key {
	return outcome.KeyFor(h.secret, team, strconv.Itoa(generation)+":"+key)
}

func (h hasher) modelFingerprint(r ModelRequest, m engineapi.ModelRef, output int) fleet.Fingerprint {
	what := fmt.Sprintf("model %q %d", m, output)
	return suspect.FingerprintOf(h.secret, string(r.Team), what, []byte(r.Prompt))
}

func (h hasher) callFingerprint(r CallRequest) fleet.Fingerprint {
	what := fmt.Sprintf("call %q %q %q %q", r.Service, r.Method, r.Path, r.Query)
	return suspect.FingerprintOf(h.secret, string(r.Team), what, r.Body)
}
