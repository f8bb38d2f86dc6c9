package orders

// Outcome is the result of an order.
type Outcome int

// Outcomes of an order.
const (
	OutcomeUnset      Outcome = iota
	OutcomeDone               // the endpoint's state shows the order
	OutcomeSuperseded         // a newer order to the endpoint was issued; this one has no effect
	OutcomeOutOfOrder         // a newer order was issued, and this one may have overwritten it
	OutcomeRefused            // the control group or the endpoint refused it permanently
	OutcomeFailed             // reissued too often, or the endpoint's state can't be read
)

// String returns the name that logs and stored data use.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeSuperseded:
		return "superseded"
	case OutcomeOutOfOrder:
		return "slipped-in"
	case OutcomeRefused:
		return "refused"
	case OutcomeFailed:
		return "failed"
	}
	return "unset"
}
