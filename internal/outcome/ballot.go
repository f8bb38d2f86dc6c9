package outcome

import (
	"cmp"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// roundBits is the number of low bits of Ballot.Round that count the rounds of an
// epoch. The bits above hold the epoch, so that every ballot of an epoch is higher than
// all ballots of the epochs before: a replica needs no promises of an earlier epoch.
const roundBits = 20

// Ballot orders the proposals for a key. No two proposers share a ballot, except for
// the fast ballot of an epoch.
type Ballot struct {
	Round    uint64
	Owner    fleet.Owner
	Proposer uint64 // unique within the process
}

// fastBallot returns the lowest ballot of an epoch. Any proposer may send one accept
// with it, without a prepare. All replicas, not just a majority, must accept a value to
// decide it at this ballot.
func fastBallot(epoch uint64) Ballot {
	return Ballot{Round: epoch << roundBits}
}

// Fast reports whether b is the fast ballot of its epoch.
func (b Ballot) Fast() bool {
	return b.Round&(1<<roundBits-1) == 0 && b.Round != 0
}

// Epoch returns the shard epoch that b belongs to.
func (b Ballot) Epoch() uint64 { return b.Round >> roundBits }

// Compare returns -1, 0 or 1 if b is lower than, equal to or higher than c.
func (b Ballot) Compare(c Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Round, c.Round),
		cmp.Compare(b.Owner.Instance, c.Owner.Instance),
		cmp.Compare(b.Owner.Incarnation, c.Owner.Incarnation),
		cmp.Compare(b.Proposer, c.Proposer),
	)
}
