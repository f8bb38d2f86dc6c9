package consensus

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Change adds a member, gives a member a new address, or removes one. A
// removal without a disk ID goes by the instance ID.
type Change struct {
	Remove bool
	Member *pb.Member
}

// Bootstrap is the state on the disk that begins a group: one committed
// membership entry. Other members start empty and get the log from it.
func Bootstrap(members []*pb.Member) (State, error) {
	if voters(&pb.Membership{Members: members}) == 0 {
		return State{}, fmt.Errorf("%w: no voter", ErrMembership)
	}
	data, err := proto.Marshal(&pb.Membership{Members: members})
	if err != nil {
		return State{}, err
	}
	entry := &pb.LogEntry{Index: 1, Term: 1, Kind: pb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data}
	return State{HardState: &pb.HardState{Term: 1, Commit: 1}, Entries: []*pb.LogEntry{entry}}, nil
}

// ProposeChange appends one membership change and gives its index. An added
// member begins as a learner; the leader makes it a voter by itself once it
// has caught up, after it removed the voter whose lost disk it replaces.
func (c *Core) ProposeChange(now time.Time, change Change) (uint64, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if change.Member == nil {
		return 0, fmt.Errorf("%w: no member named", ErrMembership)
	}
	if !c.changeAllowed() {
		return 0, ErrChangePending
	}
	if change.Remove {
		return c.proposeRemoval(now, change.Member)
	}
	return c.proposeAddition(now, change.Member)
}

// changeAllowed: one change at a time keeps each two consecutive memberships
// sharing a member in all their quorums. The leader's own first entry must be
// committed too, else an uncommitted change of an earlier leader and the new
// one could each win a quorum that the other doesn't see.
func (c *Core) changeAllowed() bool {
	return c.committedInTerm() && c.log.membershipIndex() <= c.log.commit
}

func (c *Core) proposeAddition(now time.Time, m *pb.Member) (uint64, error) {
	if m.DiskId == "" || m.InstanceId == "" || m.RpcAddress == "" {
		return 0, fmt.Errorf("%w: instance ID, disk ID and address are needed", ErrMembership)
	}
	next := c.copyMembership()
	known := find(next, m.DiskId)
	if known == nil {
		next.Members = append(next.Members, &pb.Member{
			InstanceId: m.InstanceId, DiskId: m.DiskId, RpcAddress: m.RpcAddress, Learner: true,
		})
		return c.appendMembership(now, next), nil
	}
	if known.InstanceId == m.InstanceId && known.RpcAddress == m.RpcAddress {
		return c.log.membershipIndex(), nil
	}
	known.InstanceId, known.RpcAddress = m.InstanceId, m.RpcAddress
	return c.appendMembership(now, next), nil
}

func (c *Core) proposeRemoval(now time.Time, m *pb.Member) (uint64, error) {
	next := &pb.Membership{}
	for _, member := range c.log.membership().Members {
		if !names(m, member) {
			next.Members = append(next.Members, member)
		}
	}
	if len(next.Members) == len(c.log.membership().Members) {
		return c.log.membershipIndex(), nil // removed before: a repeat
	}
	if len(next.Members) < len(c.log.membership().Members)-1 {
		return 0, fmt.Errorf("%w: several members fit, name the disk ID", ErrMembership)
	}
	if voters(next) == 0 || !c.quorumHeard(now, next) {
		return 0, fmt.Errorf("%w: the rest would be no quorum that answers", ErrMembership)
	}
	return c.appendMembership(now, next), nil
}

func names(wanted, member *pb.Member) bool {
	if wanted.DiskId != "" {
		return wanted.DiskId == member.DiskId
	}
	return wanted.InstanceId == member.InstanceId
}

// advanceLearners takes the next step for a learner that has caught up.
func (c *Core) advanceLearners(now time.Time) {
	if !c.changeAllowed() {
		return
	}
	for _, member := range c.log.membership().Members {
		if member.Learner && c.caughtUp(now, member.DiskId) {
			c.advanceLearner(now, member)
			return
		}
	}
}

// caughtUp: a voter that lacked committed entries would count for quorums and
// yet hold nothing, so that the loss of one more disk would stop the group.
func (c *Core) caughtUp(now time.Time, id string) bool {
	p := c.members[id]
	return p != nil && p.answered && p.match >= c.log.commit && c.heardLately(now, id)
}

func (c *Core) advanceLearner(now time.Time, learner *pb.Member) {
	if old := c.predecessor(learner); old != nil {
		// It answers, so its disk isn't lost: two processes claim the
		// same instance ID, and an operator must say which may stay.
		if !c.heardLately(now, old.DiskId) {
			// A refusal is tried again at the next tick.
			_, _ = c.proposeRemoval(now, &pb.Member{DiskId: old.DiskId})
		}
		return
	}
	next := c.copyMembership()
	find(next, learner.DiskId).Learner = false
	if c.quorumHeard(now, next) {
		c.appendMembership(now, next)
	}
}

// predecessor is the member that the learner's instance was on another disk.
func (c *Core) predecessor(learner *pb.Member) *pb.Member {
	for _, member := range c.log.membership().Members {
		if member.InstanceId == learner.InstanceId && member.DiskId != learner.DiskId {
			return member
		}
	}
	return nil
}

func (c *Core) copyMembership() *pb.Membership {
	return proto.Clone(c.log.membership()).(*pb.Membership)
}

func (c *Core) appendMembership(now time.Time, m *pb.Membership) uint64 {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("consensus: membership can't be encoded: %v", err))
	}
	index := c.appendEntry(pb.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	// Answers of the old quorum say nothing about the new one.
	c.lease.until = time.Time{}
	c.syncProgress(now)
	c.broadcast(now, false)
	return index
}
