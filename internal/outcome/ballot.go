package outcome

import (
	"cmp"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// roundBits is the part of a round that counts within an epoch. The bits above
// are the epoch, so that each ballot of an epoch is higher than all of the
// epochs before: a replica needs no promises of an earlier epoch.
const roundBits = 20

// Ballot orders the proposals for a key. No two proposers share one, but for
// the fast ballot of an epoch.
type Ballot struct {
	Round    uint64
	Owner    fleet.Owner
	Proposer uint64 // numbers the proposers of one process
}

// fastBallot is the lowest ballot of an epoch. Any proposer may send one accept
// with it and without a prepare; it takes all replicas, not a majority, to
// decide.
func fastBallot(epoch uint64) Ballot {
	return Ballot{Round: epoch << roundBits}
}

// Fast tells whether b is the fast ballot of its epoch.
func (b Ballot) Fast() bool {
	return b.Round&(1<<roundBits-1) == 0 && b.Round != 0
}

// Epoch gives the shard epoch that b belongs to.
func (b Ballot) Epoch() uint64 { return b.Round >> roundBits }

// Compare gives -1, 0 or 1 as b is below, equal to or above c.
func (b Ballot) Compare(c Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Round, c.Round),
		cmp.Compare(b.Owner.Instance, c.Owner.Instance),
		cmp.Compare(b.Owner.Incarnation, c.Owner.Incarnation),
		cmp.Compare(b.Proposer, c.Proposer),
	)
}
