package replica

import (
	"context"
	"errors"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// StateMachine applies committed commands. Calls come from one goroutine, in
// index order, each index once for the life of the state. Indexes that are
// skipped hold the group's own entries.
type StateMachine interface {
	// Apply runs one command and gives its result for the proposer. The
	// result is not stored: equal states and commands must give equal results.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot taken at index.
	Restore(index uint64, data []byte) error
}

// Group is a running member of the replicated log, as its users see it.
type Group interface {
	// Propose commits a command and gives its index and result. After
	// ErrUncertain the command may still commit later.
	Propose(ctx context.Context, command []byte) (Applied, error)
	// ReadBarrier returns once all commands committed before the call are
	// applied here; only a leader with a live lease or a quorum's answer
	// returns nil.
	ReadBarrier(ctx context.Context) error
	// ProposeMember adds (as learner, then voter) or removes one member.
	ProposeMember(ctx context.Context, remove bool, member *pb.Member) (*pb.Membership, error)
	// Status is a snapshot for operators.
	Status() Status
	// Step takes a message from another member.
	Step(ctx context.Context, message *pb.ConsensusMessage) error
	// Init bootstraps a new fleet on an empty disk; it fails on any other.
	Init(fleetID string, members []*pb.Member) error
	// DiskID names this instance's disk; new for an empty one.
	DiskID() string
}

// Applied is the place and result of a committed command.
type Applied struct {
	Index  uint64
	Result []byte
}

// Status is what a member knows of the group.
type Status struct {
	FleetID       string
	DiskID        string
	Leader        *pb.Member // nil when not known
	IsLeader      bool
	Term          uint64
	Commit        uint64
	Applied       uint64
	Members       []MemberProgress
	StorageFailed bool
	Initialised   bool
}

// MemberProgress is the leader's view of one member.
type MemberProgress struct {
	Member        *pb.Member
	Match         uint64
	LastContactMs int64 // age; -1 when never or when this is not the leader
}

// The errors of a Group; compare with errors.Is.
var (
	// ErrNotLeader: not proposed here; Status().Leader may say where.
	ErrNotLeader = errors.New("not the leader")
	// ErrUncertain: leadership was lost before the command was known to commit.
	ErrUncertain = errors.New("outcome of the command is uncertain")
	// ErrNotInitialised: the disk belongs to no fleet yet.
	ErrNotInitialised = errors.New("not initialised")
	// ErrStorage: the disk failed; this member has stepped down for good.
	ErrStorage = errors.New("storage failed")
)
