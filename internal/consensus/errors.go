package consensus

import "errors"

// Errors of a Core, to be compared with errors.Is. Each of them means that
// nothing was appended.
var (
	// ErrNotLeader: only the leader accepts proposals and reads.
	ErrNotLeader = errors.New("not the leader")
	// ErrBusy: too many uncommitted entries or pending reads.
	ErrBusy = errors.New("too many entries await commit")
	// ErrTooLarge: the command exceeds MaxCommandBytes.
	ErrTooLarge = errors.New("command too large")
	// ErrChangePending: an earlier membership change, or the first entry of
	// this leader's term, is not committed yet.
	ErrChangePending = errors.New("an earlier membership change is pending")
	// ErrMembership: the change is invalid or would leave the group without a
	// reachable quorum.
	ErrMembership = errors.New("membership change refused")
)
