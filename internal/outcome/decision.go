package outcome

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// DecisionKind is what a record decides.
type DecisionKind uint8

// The kinds of decisions.
const (
	DecisionUnset     DecisionKind = iota
	DecisionIntent                 // the attempt may run
	DecisionTombstone              // no attempt may ever run
	DecisionMoved                  // the key is decided in a later zone class of its team
)

// Decision is the value that a record's consensus chooses.
type Decision struct {
	Kind    DecisionKind
	Attempt fleet.AttemptID
	Owner   fleet.Owner
}

func intentOf(attempt fleet.AttemptID, owner fleet.Owner) Decision {
	return Decision{Kind: DecisionIntent, Attempt: attempt, Owner: owner}
}

func tombstone() Decision { return Decision{Kind: DecisionTombstone} }

func moved() Decision { return Decision{Kind: DecisionMoved} }
