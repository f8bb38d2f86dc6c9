package consensus

import "errors"

// The refusals of a Core; compare with errors.Is. After each of them nothing
// was appended.
var (
	// ErrNotLeader: only a leader takes proposals and reads.
	ErrNotLeader = errors.New("not the leader")
	// ErrBusy: too many entries await commit.
	ErrBusy = errors.New("too many entries await commit")
	// ErrTooLarge: the command is over MaxCommand.
	ErrTooLarge = errors.New("command too large")
	// ErrChangePending: an earlier membership change, or the first entry of
	// this leader's term, is not committed yet.
	ErrChangePending = errors.New("an earlier membership change is pending")
	// ErrMembership: the change makes no sense or would leave the group
	// without a quorum that answers.
	ErrMembership = errors.New("membership change refused")
)
