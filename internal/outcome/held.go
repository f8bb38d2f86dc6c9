package outcome

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Held is one replica's record for a key. The zero Held is no record. An
// Outcome that is set means that Decision is decided: only its owner, which
// knows that, writes one.
type Held struct {
	Accepted Ballot
	Decision Decision
	Outcome  pb.OutcomeKind
	Endpoint fleet.EndpointID
	Status   uint16
	Tokens   uint32
	Age      time.Duration // since the last change
}

// Found tells whether the replica has accepted anything.
func (h Held) Found() bool { return h.Decision.Kind != DecisionUnset }

// Ended tells whether the attempt's outcome is known.
func (h Held) Ended() bool { return h.Outcome != pb.OutcomeKind_OUTCOME_KIND_UNSPECIFIED }

// supersedes tells whether h tells more than o of the same key.
func (h Held) supersedes(o Held) bool {
	if h.Ended() != o.Ended() {
		return h.Ended()
	}
	return h.Found() && (!o.Found() || h.Accepted.Compare(o.Accepted) > 0)
}
