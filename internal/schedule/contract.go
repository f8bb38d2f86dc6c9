package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Request holds the properties of a request that the choice of an endpoint
// depends on.
type Request struct {
	Team           fleet.Team
	EntryZone      fleet.AvailabilityZone
	PromptTokens   int
	ExpectedTokens int
	Prefixes       []uint64 // hashes of the prompt's block prefixes, shortest first
	KVBytes        int64
	Avoid          map[fleet.EndpointID]struct{} // endpoints that already failed this request
}

// ChoicePolicy is a policy that picks one endpoint from the candidates. ok is false
// when no candidate is eligible.
type ChoicePolicy interface {
	Choose(r Request, candidates []endpoint.Candidate, random *rand.Rand) (chosen endpoint.Candidate, ok bool)
}

// StartInput holds the predictions for a request whose prefill could start now.
type StartInput struct {
	DecodeReadyIn    time.Duration // predicted wait for the decode slot
	PrefillTime      time.Duration // predicted, including the queue at the prefill engine
	TransferTime     time.Duration // predicted for the link, including its queue
	KVLife           time.Duration
	WasteWeight      float64       // the team's weight of wasted prefill work, 0 to 1
	PredictionStdDev time.Duration // standard deviation of the prediction error
}

// StartPolicy is a policy that decides how long to delay a prefill, and whether the
// decode slot is reserved before or after it.
type StartPolicy interface {
	Plan(in StartInput) StartPlan
}

// StartPlan is the decision of a StartPolicy.
type StartPlan struct {
	Delay        time.Duration // delay before the prefill starts
	ReserveFirst bool          // hold the decode grant before the prefill starts
	LeadTime     time.Duration // request the grant from the home this long before a slot is free
}
