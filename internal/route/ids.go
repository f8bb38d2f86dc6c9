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
	attemptBytes     = 16
	bodyTagBytes     = 4
	bodyTagSeparator = "-"
)

// newAttemptID returns 128 bits from the system's random source, so that attempt IDs
// are unique across processes and restarts.
func newAttemptID() fleet.AttemptID {
	var b [attemptBytes]byte
	_, _ = crand.Read(b[:]) // never fails, as documented by crypto/rand
	return fleet.AttemptID(hex.EncodeToString(b[:]))
}

// NewRequestID returns an ID for a request in logs and on the time line.
func NewRequestID() fleet.RequestID { return fleet.RequestID("r-" + string(newAttemptID())[:20]) }

// newClaimAttempt returns an attempt ID that includes a few bits of the fingerprint.
// By them another entry that reads the record can tell a repeat from a request with
// another body under the same key.
func newClaimAttempt(f fleet.Fingerprint) fleet.AttemptID {
	return newAttemptID() + fleet.AttemptID(bodyTagSeparator+bodyTag(f))
}

func bodyTag(f fleet.Fingerprint) string { return hex.EncodeToString(f[:bodyTagBytes]) }

// sameBody reports whether a record's attempt belongs to a request with fingerprint
// f. An attempt without a tag counts as the same.
func sameBody(a fleet.AttemptID, f fleet.Fingerprint) bool {
	_, tag, ok := strings.Cut(string(a), bodyTagSeparator)
	return !ok || tag == bodyTag(f)
}

// hasher computes the fleet's keyed hashes.
type hasher struct{ secret []byte }

// recordKey returns the ledger key of one generation of a caller's key.
func (h hasher) recordKey(team fleet.Team, key string, generation int) outcome.Key {
	return outcome.KeyFor(h.secret, team, strconv.Itoa(generation)+":"+key)
}

func (h hasher) modelFingerprint(r ModelRequest, m engineapi.ModelRef, output int) fleet.Fingerprint {
	requested := fmt.Sprintf("model %q %d", m, output)
	return suspect.FingerprintOf(h.secret, string(r.Team), requested, []byte(r.Prompt))
}

func (h hasher) callFingerprint(r CallRequest) fleet.Fingerprint {
	requested := fmt.Sprintf("call %q %q %q %q", r.Service, r.Method, r.Path, r.Query)
	return suspect.FingerprintOf(h.secret, string(r.Team), requested, r.Body)
}
