package replica

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/consensus"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

var _ Group = (*Node)(nil)

// Propose implements Group. When ctx ends first the outcome is ErrUncertain.
func (n *Node) Propose(ctx context.Context, command []byte) (Applied, error) {
	e := proposeEvent{command: command, reply: make(chan proposeResult, 1)}
	if err := n.hand(ctx, e); err != nil {
		return Applied{}, err
	}
	select {
	case r := <-e.reply:
		return r.applied, r.err
	case <-ctx.Done():
		return Applied{}, trace.Wrap(ErrUncertain, "%v", ctx.Err())
	case <-n.done:
		return lastReply(e.reply, proposeResult{err: ErrUncertain}).unpack()
	}
}

func (r proposeResult) unpack() (Applied, error) { return r.applied, r.err }

// ReadBarrier implements Group.
func (n *Node) ReadBarrier(ctx context.Context) error {
	e := readEvent{reply: make(chan error, 1)}
	if err := n.hand(ctx, e); err != nil {
		return err
	}
	select {
	case err := <-e.reply:
		return err
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-n.done:
		return lastReply(e.reply, n.ended())
	}
}

// ProposeMember implements Group. It returns once the change is committed: an
// added member is then a voter that holds all committed entries, and the
// member of its instance's lost disk is gone.
func (n *Node) ProposeMember(ctx context.Context, remove bool, member *pb.Member) (*pb.Membership, error) {
	change := consensus.Change{Remove: remove, Member: member}
	e := changeEvent{change: change, reply: make(chan changeResult, 1)}
	if err := n.hand(ctx, e); err != nil {
		return nil, err
	}
	select {
	case r := <-e.reply:
		return r.membership, r.err
	case <-ctx.Done():
		return nil, trace.Wrap(ErrUncertain, "%v", ctx.Err())
	case <-n.done:
		r := lastReply(e.reply, changeResult{err: ErrUncertain})
		return r.membership, r.err
	}
}

// HandOver gives up leadership at a planned stop: it returns nil once this
// member doesn't lead, also when it did not before, and the error of ctx when
// no other member took over in time. Run and the transport must be working.
func (n *Node) HandOver(ctx context.Context) error {
	retry := time.NewTicker(n.options.ElectionTimeout)
	defer retry.Stop()
	for n.Status().IsLeader {
		e := handoverEvent{reply: make(chan struct{})}
		if err := n.hand(ctx, e); err != nil {
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

// Step implements Group. It returns when the message is queued; a full queue
// drops it.
func (n *Node) Step(_ context.Context, message *pb.ConsensusMessage) error {
	if message == nil {
		return trace.BadParameter("no message")
	}
	select {
	case <-n.done:
		return n.ended()
	default:
	}
	select {
	case n.inbox <- messageEvent{message: message}:
		return nil
	default:
		return trace.LimitExceeded("too many messages wait")
	}
}

// Init implements Group. Run must be working. members must name this disk as
// a voter, and every other disk by the ID that its instance shows; those join
// when they hear from this one.
func (n *Node) Init(fleetID string, members []*pb.Member) error {
	group, err := groupName(fleetID, members)
	if err != nil {
		return err
	}
	if err := checkFirstMembers(n.DiskID(), members); err != nil {
		return err
	}
	e := initEvent{group: group, members: members, reply: make(chan error, 1)}
	if err := n.hand(context.Background(), e); err != nil {
		return err
	}
	select {
	case err := <-e.reply:
		return err
	case <-n.done:
		return lastReply(e.reply, n.ended())
	}
}

func checkFirstMembers(own string, members []*pb.Member) error {
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

// hand queues an event; the error means it was not run.
func (n *Node) hand(ctx context.Context, e event) error {
	select {
	case <-n.done:
		return n.ended()
	default:
	}
	select {
	case n.inbox <- e:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-n.done:
		return n.ended()
	}
}

// ended is the error of a Node whose Run has ended.
func (n *Node) ended() error {
	if n.failed.Load() {
		return ErrStorage
	}
	return ErrNotLeader
}

// lastReply prefers an answer that came just before Run ended.
func lastReply[T any](reply chan T, otherwise T) T {
	select {
	case r := <-reply:
		return r
	default:
		return otherwise
	}
}
