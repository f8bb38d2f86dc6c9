package allocation

// Outcome is how the use of a reservation ended.
type Outcome int

// The outcomes.
const (
	OutcomeDone        Outcome = iota // used to its end, or not at all
	OutcomeFull                       // the endpoint had no free memory
	OutcomeUnreachable                // the endpoint is unreachable or doesn't respond
)
