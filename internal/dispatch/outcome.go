package dispatch

// Outcome is the result of an attempt at an endpoint.
type Outcome int

// The outcomes.
const (
	// OutcomeServed: a complete answer arrived and reports no failure.
	OutcomeServed Outcome = iota
	// OutcomeFailed: the endpoint ran the request and reported a failure.
	OutcomeFailed
	// OutcomeFull: the endpoint had no capacity and did not run the request.
	OutcomeFull
	// OutcomeWrongIncarnation: another incarnation answered at the address.
	OutcomeWrongIncarnation
	// OutcomeUnreachable: no connection could be opened.
	OutcomeUnreachable
	// OutcomeLost: the request was sent and no complete answer arrived.
	OutcomeLost
	// OutcomeCanceled: the caller disconnected, or the deadline passed.
	OutcomeCanceled
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"served", "failed", "full", "misfit", "unreachable", "lost", "given-up"}[o]
}
