package replica

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/consensus"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

var _ Group = (*Node)(nil)

// Propose implements Group. It returns ErrUncertain if ctx ends before the
// outcome is known.
func (n *Node) Propose(ctx context.Context, command []byte) (Applied, error) {
	e := proposeEvent{command: command, reply: make(chan proposeResult, 1)}
	if err := n.enqueue(ctx, e); err != nil {
		return Applied{}, err
	}
	select {
	case r := <-e.reply:
		return r.applied, r.err
	case <-ctx.Done():
		return Applied{}, trace.Wrap(ErrUncertain, "%v", ctx.Err())
	case <-n.done:
		return replyOr(e.reply, proposeResult{err: ErrUncertain}).unpack()
	}
}

func (r proposeResult) unpack() (Applied, error) { return r.applied, r.err }

// ReadBarrier implements Group.
func (n *Node) ReadBarrier(ctx context.Context) error {
	e := readEvent{reply: make(chan error, 1)}
	if err := n.enqueue(ctx, e); err != nil {
		return err
	}
	select {
	case err := <-e.reply:
		return err
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-n.done:
		return replyOr(e.reply, n.endedError())
	}
}

// ProposeMember implements Group. It returns once the change is committed. An
// added member is then a voter that holds all committed entries, and a member
// on its instance's lost disk has been removed.
func (n *Node) ProposeMember(ctx context.Context, remove bool, member *pb.Member) (*pb.Membership, error) {
	change := consensus.Change{Remove: remove, Member: member}
	e := changeEvent{change: change, reply: make(chan changeResult, 1)}
	if err := n.enqueue(ctx, e); err != nil {
		return nil, err
	}
	select {
	case r := <-e.reply:
		return r.membership, r.err
	case <-ctx.Done():
		return nil, trace.Wrap(ErrUncertain, "%v", ctx.Err())
	case <-n.done:
		r := replyOr(e.reply, changeResult{err: ErrUncertain})
		return r.membership, r.err
	}
}

// TransferLeadership transfers leadership before a planned stop. It returns nil once this
// member is not the leader, also if it was not before, and the error of ctx if
// no other member took over in time. Run and the transport must be running.
func (n *Node) TransferLeadership(ctx context.Context) error {
	retry := time.NewTicker(n.options.ElectionTimeout)
	defer retry.Stop()
	for n.Status().IsLeader {
		e := transferEvent{reply: make(chan struct{})}
		if err := n.enqueue(ctx, e); err != nil {
			return err
		}
		select {
		case <-e.reply:
		case <-retry.C:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-n.done:
			return nil
		}
	}
	return nil
}

// Step implements Group. It returns when the message is queued, or an error if
// the queue is full.
func (n *Node) Step(_ context.Context, message *pb.ConsensusMessage) error {
	if message == nil {
		return trace.BadParameter("no message")
	}
	select {
	case <-n.done:
		return n.endedError()
	default:
	}
	select {
	case n.inbox <- messageEvent{message: message}:
		return nil
	default:
		return trace.LimitExceeded("too many messages wait")
	}
}

// Init implements Group. Run must be running. members must contain this disk as
// a voter, and each other disk with the ID that its instance reports. The other
// disks join the group with the first message from this one.
func (n *Node) Init(fleetID string, members []*pb.Member) error {
	group, err := groupName(fleetID, members)
	if err != nil {
		return err
	}
	if err := validateInitialMembers(n.DiskID(), members); err != nil {
		return err
	}
	e := initEvent{group: group, members: members, reply: make(chan error, 1)}
	if err := n.enqueue(context.Background(), e); err != nil {
		return err
	}
	select {
	case err := <-e.reply:
		return err
	case <-n.done:
		return replyOr(e.reply, n.endedError())
	}
}

func validateInitialMembers(own string, members []*pb.Member) error {
	seen := map[string]bool{}
	voter := false
	for _, m := range members {
		if m.DiskId == "" || m.InstanceId == "" || m.RpcAddress == "" {
			return trace.BadParameter("a member needs an instance ID, a disk ID and an address")
		}
		if seen[m.DiskId] || seen[m.InstanceId] {
			return trace.BadParameter("member %s stands twice", m.InstanceId)
		}
		seen[m.DiskId], seen[m.InstanceId] = true, true
		voter = voter || m.DiskId == own && !m.Learner
	}
	if !voter {
		return trace.BadParameter("disk %s is not among the voters", own)
	}
	return nil
}

// enqueue queues an event. After an error the event will not be run.
func (n *Node) enqueue(ctx context.Context, e event) error {
	select {
	case <-n.done:
		return n.endedError()
	default:
	}
	select {
	case n.inbox <- e:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-n.done:
		return n.endedError()
	}
}

// endedError returns the error for calls after Run has ended.
func (n *Node) endedError() error {
	if n.failed.Load() {
		return ErrStorage
	}
	return ErrNotLeader
}

// replyOr returns the reply if one was sent before Run ended, and otherwise
// fallback.
func replyOr[T any](reply chan T, fallback T) T {
	select {
	case r := <-reply:
		return r
	default:
		return fallback
	}
}
