package consensus

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Propose appends a command and gives its place: it is committed once an
// entry of that very index and term shows up in Ready.Committed.
func (c *Core) Propose(now time.Time, command []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if len(command) > MaxCommand {
		return 0, 0, ErrTooLarge
	}
	if c.log.last()-c.log.commit >= c.config.MaxUncommitted ||
		c.pending > 0 && c.pending+len(command) > c.config.MaxPendingBytes {
		return 0, 0, ErrBusy
	}
	c.pending += len(command)
	index = c.appendEntry(pb.EntryKind_ENTRY_KIND_COMMAND, command)
	return index, c.term, nil
}

// Flush sends what was proposed since the last call to the members. Calling
// it once for many proposals makes one message of them.
func (c *Core) Flush(now time.Time) {
	if c.role == Leader {
		c.broadcast(now, false)
	}
}

func (c *Core) appendEntry(kind pb.EntryKind, data []byte) uint64 {
	index := c.log.last() + 1
	c.log.append(&pb.LogEntry{Index: index, Term: c.term, Kind: kind, Data: data})
	return index
}

// syncProgress makes the progress table fit the membership.
func (c *Core) syncProgress(now time.Time) {
	membership := c.log.membership()
	for _, member := range membership.Members {
		if c.members[member.DiskId] == nil {
			p := &progress{next: c.log.last() + 1, contact: now}
			if member.DiskId == c.config.ID {
				p.match = c.log.stable
			}
			c.members[member.DiskId] = p
		}
	}
	for id := range c.members {
		if find(membership, id) == nil {
			delete(c.members, id)
		}
	}
}

func (c *Core) tickLeader(now time.Time) {
	if !c.quorumHeard(now, c.log.membership()) {
		// A leader that is cut off, also one way only, hears no quorum. It
		// stops being leader, so that it neither takes changes that can't
		// commit nor keeps members that hear it from electing another.
		c.becomeFollower(now, c.term, "")
		return
	}
	if !now.Before(c.heartbeatDue) {
		c.startRound(now)
		c.confirmRounds()
	}
	c.advanceLearners(now)
}

// quorumHeard tells whether a quorum of membership answered within an
// election timeout.
func (c *Core) quorumHeard(now time.Time, membership *pb.Membership) bool {
	heard := countVoters(membership, func(id string) bool { return c.heardLately(now, id) })
	return heard >= quorum(membership) || voters(membership) == 0
}

func (c *Core) heardLately(now time.Time, id string) bool {
	if id == c.config.ID {
		return true
	}
	p := c.members[id]
	return p != nil && now.Sub(p.contact) < c.config.ElectionTimeout
}

// heardMember notes an answer; nil when it is not for a leader or not from a
// member.
func (c *Core) heardMember(now time.Time, m *pb.ConsensusMessage) *progress {
	if c.role != Leader {
		return nil
	}
	p := c.members[m.From]
	if p == nil {
		return nil
	}
	p.contact, p.answered = now, true
	return p
}

// advanceLeader follows an Advance: own entries have become durable.
func (c *Core) advanceLeader(now time.Time) {
	if p := c.members[c.config.ID]; p != nil {
		p.match = max(p.match, c.log.stable)
	}
	before := c.log.commit
	c.advanceCommit()
	c.afterCommit(now, before)
}

// advanceCommit commits what a quorum persisted. Only an entry of the
// leader's own term is counted, and those before it follow: an entry of an
// earlier term on a quorum could still be overwritten by a member whose last
// entry is of a term between the two.
func (c *Core) advanceCommit() {
	index := reachedByQuorum(c.log.membership(), func(id string) uint64 { return c.members[id].match })
	if term, _ := c.log.termAt(index); index <= c.log.commit || term != c.term {
		return
	}
	for _, e := range c.log.entries[c.log.commit-c.log.offset : index-c.log.offset] {
		if e.Term == c.term && e.Kind == pb.EntryKind_ENTRY_KIND_COMMAND {
			c.pending -= len(e.Data)
		}
	}
	c.log.commit = index
	c.releaseReads()
}

// leaveIfRemoved ends the leadership of a member that is no voter any more
// once the group knows it.
func (c *Core) leaveIfRemoved(now time.Time) {
	if c.role != Leader || c.log.membershipIndex() > c.log.commit {
		return
	}
	if !isVoter(c.log.membership(), c.config.ID) {
		c.becomeFollower(now, c.term, "")
	}
}
