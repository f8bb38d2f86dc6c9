package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Request is what the choice of endpoints needs to know.
type Request struct {
	Team           fleet.Team
	EntryZone      fleet.AvailabilityZone
	PromptTokens   int
	ExpectedTokens int
	Prefixes       []uint64 // hashes of the prompt's blocks, shortest first
	KVBytes        int64
	Avoid          map[fleet.EndpointID]struct{} // just failed this request
}

// Choice picks one endpoint. ok is false when none will do.
type Choice interface {
	Choose(r Request, candidates []endpoint.Candidate, random *rand.Rand) (chosen endpoint.Candidate, ok bool)
}

// StartInput is what is known when a prefill could start.
type StartInput struct {
	DecodeReadyIn time.Duration // predicted wait for the decode slot
	PrefillTime   time.Duration // predicted, queue at the prefill engine included
	TransferTime  time.Duration // predicted on the link, its queue included
	KVLife        time.Duration
	WasteWeight   float64       // the team's weight of wasted prefill, 0 to 1
	Spread        time.Duration // predictor's error, one standard deviation
}

// Start decides how long to wait before a prefill starts, and whether the
// decode slot is taken before or after it.
type Start interface {
	Plan(in StartInput) StartPlan
}

// StartPlan is the outcome of Start.
type StartPlan struct {
	Delay        time.Duration // wait before the prefill
	ReserveFirst bool          // hold the decode grant before prefill starts
	Lead         time.Duration // ask the home for a grant so long before a slot is free
}
