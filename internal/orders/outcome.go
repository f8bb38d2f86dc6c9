package orders

// Outcome is how an order ended.
type Outcome int

// The outcomes.
const (
	OutcomeUnset      Outcome = iota
	OutcomeDone               // the endpoint's state shows it
	OutcomeSuperseded         // a newer order to the endpoint was issued; this one has no effect
	OutcomeSlippedIn          // a newer order was issued, and this one may have undone it
	OutcomeRefused            // the control group or the endpoint refused it for good
	OutcomeFailed             // issued again too often, or the endpoint can't be read
)

// String gives the outcome's name.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeSuperseded:
		return "superseded"
	case OutcomeSlippedIn:
		return "slipped-in"
	case OutcomeRefused:
		return "refused"
	case OutcomeFailed:
		return "failed"
	}
	return "unset"
}
