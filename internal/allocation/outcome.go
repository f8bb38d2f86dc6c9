package allocation

// Outcome is how the use of an endpoint ended.
type Outcome int

// The outcomes.
const (
	OutcomeDone Outcome = iota // used to its end, or not at all
	OutcomeFull                // the endpoint had no room
	OutcomeGone                // the endpoint can't be reached, or says nothing
)
