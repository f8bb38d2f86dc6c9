package consensus

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Change adds a member, changes a member's address, or removes a member. A
// removal without a disk ID selects the member by its instance ID.
type Change struct {
	Remove bool
	Member *pb.Member
}

// Bootstrap returns the initial state of a new group, one committed membership
// entry, to be persisted on one member's disk. The other members start empty
// and receive the log from it.
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

// ProposeChange appends one membership change and returns its index. An added
// member starts as a learner. Once it has caught up, the leader removes the
// voter whose lost disk it replaces, if any, and then promotes it to a voter.
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

// changeAllowed reports whether a membership change may be proposed. With one
// change at a time, any two quorums of consecutive memberships share a member.
// The leader's first entry must be committed too; otherwise an uncommitted
// change of an earlier leader and the new one could each get a quorum without a
// common member.
func (c *Core) changeAllowed() bool {
	return c.committedInTerm() && c.log.membershipIndex() <= c.log.commit
}

func (c *Core) proposeAddition(now time.Time, m *pb.Member) (uint64, error) {
	if m.DiskId == "" || m.InstanceId == "" || m.RpcAddress == "" {
		return 0, fmt.Errorf("%w: instance ID, disk ID and address are needed", ErrMembership)
	}
	next := c.copyMembership()
	existing := find(next, m.DiskId)
	if existing == nil {
		next.Members = append(next.Members, &pb.Member{
			InstanceId: m.InstanceId, DiskId: m.DiskId, RpcAddress: m.RpcAddress, Zone: m.Zone, Learner: true,
		})
		return c.appendMembership(now, next), nil
	}
	if existing.InstanceId == m.InstanceId && existing.RpcAddress == m.RpcAddress {
		return c.log.membershipIndex(), nil
	}
	existing.InstanceId, existing.RpcAddress, existing.Zone = m.InstanceId, m.RpcAddress, m.Zone
	return c.appendMembership(now, next), nil
}

func (c *Core) proposeRemoval(now time.Time, m *pb.Member) (uint64, error) {
	next := &pb.Membership{}
	for _, member := range c.log.membership().Members {
		if !matchesMember(m, member) {
			next.Members = append(next.Members, member)
		}
	}
	if len(next.Members) == len(c.log.membership().Members) {
		return c.log.membershipIndex(), nil // a repeat: already removed
	}
	if len(next.Members) < len(c.log.membership().Members)-1 {
		return 0, fmt.Errorf("%w: several members fit, name the disk ID", ErrMembership)
	}
	if voters(next) == 0 || !c.quorumActive(now, next) {
		return 0, fmt.Errorf("%w: the rest would be no quorum that answers", ErrMembership)
	}
	return c.appendMembership(now, next), nil
}

func matchesMember(wanted, member *pb.Member) bool {
	if wanted.DiskId != "" {
		return wanted.DiskId == member.DiskId
	}
	return wanted.InstanceId == member.InstanceId
}

// advanceLearners takes the next step toward promoting a learner that has
// caught up.
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

// caughtUp reports whether a member holds all committed entries. A voter without
// them would raise the quorum size but hold nothing, so that the loss of one
// more disk would stop the group.
func (c *Core) caughtUp(now time.Time, id string) bool {
	p := c.progress[id]
	return p != nil && p.answered && p.match >= c.log.commit && c.recentlyActive(now, id)
}

func (c *Core) advanceLearner(now time.Time, learner *pb.Member) {
	if old := c.predecessor(learner); old != nil {
		// If the old member is reachable, its disk isn't lost: two processes
		// use the same instance ID, and an operator must remove one of them.
		if !c.recentlyActive(now, old.DiskId) {
			// A rejected removal is retried at the next tick.
			_, _ = c.proposeRemoval(now, &pb.Member{DiskId: old.DiskId})
		}
		return
	}
	next := c.copyMembership()
	find(next, learner.DiskId).Learner = false
	if c.quorumActive(now, next) {
		c.appendMembership(now, next)
	}
}

// predecessor returns the member with the learner's instance ID on another
// disk, or nil.
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
	// Answers from a quorum of the old membership don't support a lease under
	// the new one.
	c.lease.expires = time.Time{}
	c.syncProgress(now)
	c.broadcast(now, false)
	return index
}
