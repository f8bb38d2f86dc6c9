package quarantine

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// Limits bound what the register and the shared suspects keep.
type Limits struct {
	SuspectLife  time.Duration // a suspect or quarantine lapses after this long without a crash
	ProvenLife   time.Duration // a completed run vouches for its fingerprint for so long
	RunLife      time.Duration // a run whose end was lost is forgotten after this long
	UnprovenRuns int           // concurrent runs of a fingerprint that never completed
	MaxTracked   int           // fingerprints tracked by one register
	RetryAfter   time.Duration // a waiting run asks again after this long
}

// DefaultLimits allow one run of an unproven fingerprint: with two, a request
// sent by two entries at once takes down two endpoints before either death is
// known, and the neighbours of both can't be told from it. SuspectLife follows the settings' quarantine life.
var DefaultLimits = Limits{
	SuspectLife:  suspect.DefaultLimits.Life,
	ProvenLife:   suspect.ProvenTTL,
	RunLife:      10 * time.Minute,
	UnprovenRuns: 1,
	MaxTracked:   65536,
	RetryAfter:   50 * time.Millisecond,
}
