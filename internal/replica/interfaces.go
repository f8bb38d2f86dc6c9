package replica

import (
	"context"
	"errors"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// StateMachine applies committed commands. It is called from one goroutine, in
// index order, and at most once per index. Skipped indexes hold entries of the
// consensus protocol.
type StateMachine interface {
	// Apply executes one command and returns its result for the proposer. It
	// must be deterministic: the result is not stored.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot taken at index.
	Restore(index uint64, data []byte) error
}

// Group is the interface of a running member for the users of the replicated log.
type Group interface {
	// Propose commits a command and returns its index and result. After
	// ErrUncertain the command may still be committed later.
	Propose(ctx context.Context, command []byte) (Applied, error)
	// ReadBarrier returns nil once all commands committed before the call are
	// applied here. It succeeds only on a leader with a valid lease or with
	// answers from a quorum.
	ReadBarrier(ctx context.Context) error
	// ProposeMember adds (first as a learner, then as a voter) or removes one
	// member.
	ProposeMember(ctx context.Context, remove bool, member *pb.Member) (*pb.Membership, error)
	// Status returns the current status for operators.
	Status() Status
	// Step accepts a message from another member.
	Step(ctx context.Context, message *pb.ConsensusMessage) error
	// Init bootstraps a new fleet. It fails unless the disk is empty.
	Init(fleetID string, members []*pb.Member) error
	// DiskID returns the ID of this instance's disk. An empty disk gets a new ID.
	DiskID() string
}

// Applied is the index and result of a committed and applied command.
type Applied struct {
	Index  uint64
	Result []byte
}

// Status is the state of the group as known to one member.
type Status struct {
	FleetID       string
	DiskID        string
	Leader        *pb.Member // nil if unknown
	IsLeader      bool
	Term          uint64
	Commit        uint64
	Applied       uint64
	Members       []MemberProgress
	StorageFailed bool
	Initialised   bool
}

// MemberProgress is the replication progress of one member as known to the leader.
type MemberProgress struct {
	Member        *pb.Member
	Match         uint64
	LastContactMs int64 // time since the last contact; -1 if there was none or this member is not the leader
}

// Errors of a Group, to be compared with errors.Is.
var (
	// ErrNotLeader: nothing was proposed; Status().Leader is the leader if known.
	ErrNotLeader = errors.New("not the leader")
	// ErrUncertain: it is unknown whether the command was or will be committed,
	// for example because leadership was lost.
	ErrUncertain = errors.New("outcome of the command is uncertain")
	// ErrNotInitialised: the disk doesn't belong to a fleet yet.
	ErrNotInitialised = errors.New("not initialised")
	// ErrStorage: the disk failed. This member is stopped until its data folder
	// is reopened or, without Options.Reopen, until a restart.
	ErrStorage = errors.New("storage failed")
)
