package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// holdKey identifies a hold. At an endpoint of both roles one attempt may have
// a prefill and a decode slot.
type holdKey struct {
	attempt fleet.AttemptID
	kind    fleet.EndpointRole
}

// holdState is the state of a hold.
type holdState int

const (
	holdActive   holdState = iota // has a slot
	holdPending                   // granted ahead of a predicted slot release
	holdReported                  // listed by the endpoint, not granted here
	holdReleased                  // released by its owner, but listed later
)

// hold is one use of a slot.
type hold struct {
	key            holdKey
	state          holdState
	owner          fleet.Owner
	team           fleet.Team
	model          string
	fingerprint    fleet.Fingerprint
	alone          bool
	expectedTokens int
	promptTokens   int
	grantedAt      time.Time
	enteredAt      time.Time // when the engine took it, by its held list; zero: not listed yet
	listedAt       time.Time // arrival of the last held list with it; zero: none
	expiresAt      time.Time // when the slot is free if the hold isn't renewed or listed
	releasedAt     time.Time
	ownerAskedAt   time.Time // when the owner was last asked whether it runs
	ownerSeen      bool      // the owner was in a view that this home has seen
	stage          engineapi.Stage
	cancelledAt    time.Time
}

// confirmed reports whether the endpoint has listed the hold.
func (h *hold) confirmed() bool { return !h.listedAt.IsZero() }
