package quarantine

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// Limits bounds what the register and the shared suspects keep.
type Limits struct {
	SuspectTTL      time.Duration // a suspect or quarantine expires after this time without a crash
	ProvenTTL       time.Duration // a completed run proves its fingerprint harmless for this time
	RunTTL          time.Duration // a run whose end was not reported is dropped after this time
	MaxUnprovenRuns int           // concurrent runs of a fingerprint that has not completed
	MaxTracked      int           // fingerprints tracked by one register
	RetryAfter      time.Duration // time after which a waiting run asks again
}

// DefaultLimits allow one run of an unproven fingerprint: with two, a request that two entries
// send at once crashes two endpoints before either death is known, and it can't be told apart
// from the other requests on both. SuspectTTL follows the quarantine life of the settings.
var DefaultLimits = Limits{
	SuspectTTL:      suspect.DefaultLimits.TTL,
	ProvenTTL:       suspect.ProvenTTL,
	RunTTL:          10 * time.Minute,
	MaxUnprovenRuns: 1,
	MaxTracked:      65536,
	RetryAfter:      50 * time.Millisecond,
}
