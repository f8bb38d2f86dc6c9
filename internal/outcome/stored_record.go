package outcome

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// StoredRecord is one replica's record for a key. The zero value means no record. An
// Outcome that is set implies that Decision is decided: only the decision's owner,
// which knows this, writes one.
type StoredRecord struct {
	Accepted   Ballot
	Decision   Decision
	Outcome    pb.OutcomeKind
	Endpoint   fleet.EndpointID
	StatusCode uint16
	Tokens     uint32
	Age        time.Duration // since the last change
}

// HasDecision reports whether the replica has accepted a decision.
func (h StoredRecord) HasDecision() bool { return h.Decision.Kind != DecisionUnset }

// HasOutcome reports whether the attempt's outcome is known.
func (h StoredRecord) HasOutcome() bool { return h.Outcome != pb.OutcomeKind_OUTCOME_KIND_UNSPECIFIED }

// supersedes reports whether h replaces o, a record of the same key: h has an outcome
// and o has none, or h was accepted at a higher ballot.
func (h StoredRecord) supersedes(o StoredRecord) bool {
	if h.HasOutcome() != o.HasOutcome() {
		return h.HasOutcome()
	}
	return h.HasDecision() && (!o.HasDecision() || h.Accepted.Compare(o.Accepted) > 0)
}
