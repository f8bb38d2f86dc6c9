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
func (r StoredRecord) HasDecision() bool { return r.Decision.Kind != DecisionUnset }

// HasOutcome reports whether the attempt's outcome is known.
func (r StoredRecord) HasOutcome() bool { return r.Outcome != pb.OutcomeKind_OUTCOME_KIND_UNSPECIFIED }

// supersedes reports whether r replaces o, a record of the same key. A record with an
// outcome supersedes one without; otherwise, the one with the higher ballot does.
func (r StoredRecord) supersedes(o StoredRecord) bool {
	if r.HasOutcome() != o.HasOutcome() {
		return r.HasOutcome()
	}
	return r.HasDecision() && (!o.HasDecision() || r.Accepted.Compare(o.Accepted) > 0)
}
