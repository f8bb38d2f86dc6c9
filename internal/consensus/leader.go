package consensus

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Propose appends a command and returns its index and term. The command is
// committed once Ready.Committed contains an entry with this index and term.
func (c *Core) Propose(now time.Time, command []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if len(command) > MaxCommandBytes {
		return 0, 0, ErrTooLarge
	}
	if c.log.last()-c.log.commit >= c.config.MaxUncommitted ||
		c.pendingBytes > 0 && c.pendingBytes+len(command) > c.config.MaxPendingBytes {
		return 0, 0, ErrBusy
	}
	c.pendingBytes += len(command)
	index = c.appendEntry(pb.EntryKind_ENTRY_KIND_COMMAND, command)
	return index, c.term, nil
}

// Flush sends the entries proposed since the last call to the members. One call
// after many proposals batches them into one message.
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

// syncProgress updates the progress table to match the membership.
func (c *Core) syncProgress(now time.Time) {
	membership := c.log.membership()
	for _, member := range membership.Members {
		if c.progress[member.DiskId] == nil {
			p := &progress{next: c.log.last() + 1, lastContact: now}
			if member.DiskId == c.config.ID {
				p.match = c.log.stable
			}
			c.progress[member.DiskId] = p
		}
	}
	for id := range c.progress {
		if find(membership, id) == nil {
			delete(c.progress, id)
		}
	}
}

func (c *Core) tickLeader(now time.Time) {
	if !c.quorumActive(now, c.log.membership()) {
		// A leader without answers from a quorum, also after a one-way
		// partition, steps down. Otherwise it would accept proposals that can't
		// commit and keep the members it still reaches from electing another.
		c.becomeFollower(now, c.term, "")
		return
	}
	if !now.Before(c.nextHeartbeat) {
		c.startRound(now)
		c.confirmRounds()
	}
	c.advanceLearners(now)
}

// quorumActive reports whether a quorum of membership answered within an
// election timeout.
func (c *Core) quorumActive(now time.Time, membership *pb.Membership) bool {
	heard := countVoters(membership, func(id string) bool { return c.recentlyActive(now, id) })
	return heard >= quorum(membership) || voters(membership) == 0
}

func (c *Core) recentlyActive(now time.Time, id string) bool {
	if id == c.config.ID {
		return true
	}
	p := c.progress[id]
	return p != nil && now.Sub(p.lastContact) < c.config.ElectionTimeout
}

// recordContact records an answer from a member and returns its progress. It
// returns nil if this member isn't the leader or the sender is no member.
func (c *Core) recordContact(now time.Time, m *pb.ConsensusMessage) *progress {
	if c.role != Leader {
		return nil
	}
	p := c.progress[m.From]
	if p == nil {
		return nil
	}
	p.lastContact, p.answered = now, true
	return p
}

// advanceLeader updates the commit index after this leader's own entries have
// become durable.
func (c *Core) advanceLeader(now time.Time) {
	if p := c.progress[c.config.ID]; p != nil {
		p.match = max(p.match, c.log.stable)
	}
	before := c.log.commit
	c.advanceCommit()
	c.afterCommit(now, before)
}

// advanceCommit commits the entries that a quorum persisted. Only entries of
// the current term are counted, and they commit all entries before them: an
// entry of an earlier term on a quorum could still be overwritten by a member
// whose last entry is of a term between the two.
func (c *Core) advanceCommit() {
	index := reachedByQuorum(c.log.membership(), func(id string) uint64 { return c.progress[id].match })
	if term, _ := c.log.termAt(index); index <= c.log.commit || term != c.term {
		return
	}
	for _, e := range c.log.entries[c.log.commit-c.log.offset : index-c.log.offset] {
		if e.Term == c.term && e.Kind == pb.EntryKind_ENTRY_KIND_COMMAND {
			c.pendingBytes -= len(e.Data)
		}
	}
	c.log.commit = index
	c.releaseReads()
}

// stepDownIfRemoved makes a leader that is no longer a voter step down once the
// membership change is committed.
func (c *Core) stepDownIfRemoved(now time.Time) {
	if c.role != Leader || c.log.membershipIndex() > c.log.commit {
		return
	}
	if !isVoter(c.log.membership(), c.config.ID) {
		c.becomeFollower(now, c.term, "")
	}
}
