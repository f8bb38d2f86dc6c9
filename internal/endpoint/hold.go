package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// holdKey names a hold: on an endpoint that takes both roles one attempt may
// have a prefill and a decode slot.
type holdKey struct {
	attempt fleet.AttemptID
	kind    fleet.EndpointRole
}

// holdState is where a hold is in its life.
type holdState int

const (
	holdFirm     holdState = iota // a slot is its own
	holdPromised                  // granted ahead of a predicted slot release
	holdReported                  // listed by the endpoint, not granted here
	holdReleased                  // released by its owner, yet listed later
)

// hold is one use of a slot.
type hold struct {
	key         holdKey
	state       holdState
	owner       fleet.Owner
	team        fleet.Team
	model       string
	fingerprint fleet.Fingerprint
	alone       bool
	expected    int
	prompt      int
	granted     time.Time
	entered     time.Time // into the engine's memory, by its held list; zero: not yet listed
	seen        time.Time // arrival of the last held list with it; zero: none
	lapse       time.Time // when the slot is free again without a word of it
	released    time.Time
	asked       time.Time // owner last asked whether it runs
	ownerSeen   bool      // the owner was in a view that this home has seen
	stage       engineapi.Stage
	cancelled   time.Time
}

// confirmed tells whether the endpoint has listed the hold.
func (h *hold) confirmed() bool { return !h.seen.IsZero() }
