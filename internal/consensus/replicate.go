package consensus

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// broadcast calls sendEntries for every other member.
func (c *Core) broadcast(now time.Time, sendCommit bool) {
	for _, member := range c.log.membership().Members {
		if member.DiskId != c.config.ID {
			c.sendEntries(now, member.DiskId, sendCommit)
		}
	}
}

// sendEntries sends entries until the member's window is full. With sendCommit,
// it sends a message without entries if only the commit index is new.
func (c *Core) sendEntries(now time.Time, id string, sendCommit bool) {
	p := c.progress[id]
	for p.next <= c.log.last() && !p.blocked(c.config.MaxInflight) {
		c.sendAppend(now, id, p)
	}
	if sendCommit && p.sentCommit < c.log.commit && !p.blocked(c.config.MaxInflight) {
		c.sendAppend(now, id, p)
	}
}

func (c *Core) sendAppend(now time.Time, id string, p *progress) {
	previous := p.next - 1
	term, ok := c.log.termAt(previous)
	if !ok {
		c.beginSnapshot(now, id, p)
		return
	}
	var entries []*pb.LogEntry
	if p.next <= c.log.last() {
		entries = c.log.slice(p.next, c.config.MaxMessageBytes)
	}
	c.send(&pb.ConsensusMessage{
		Kind: pb.MessageKind_MESSAGE_KIND_APPEND, To: id,
		PrevIndex: previous, PrevTerm: term, Entries: entries, Commit: c.log.commit,
	})
	p.sentAt, p.sentCommit = now, c.log.commit
	if p.mode == probing {
		p.paused = true
		return
	}
	if n := len(entries); n > 0 {
		p.next = entries[n-1].Index + 1
		p.inflight = append(p.inflight, entries[n-1].Index)
	}
}

// resendIfLost is called after a heartbeat reply. Since the member is reachable,
// a message unanswered for two heartbeat intervals is taken as lost.
func (c *Core) resendIfLost(now time.Time, id string, p *progress) {
	if now.Sub(p.sentAt) < 2*c.config.HeartbeatInterval {
		return
	}
	if p.mode == sendingSnapshot {
		c.sendSnapshotPart(now, id, p)
		return
	}
	if p.match < c.log.last() {
		p.probe()
		c.sendAppend(now, id, p)
	}
}

// recordLeaderContact records a message from the leader of this term.
func (c *Core) recordLeaderContact(now time.Time, m *pb.ConsensusMessage) {
	if c.role == Leader {
		panic(fmt.Sprintf("consensus: %s and %s both lead term %d", c.config.ID, m.From, c.term))
	}
	if c.role != Follower {
		c.becomeFollower(now, c.term, m.From)
	}
	c.leader, c.leaderContact = m.From, now
	c.resetElection(now)
}

func (c *Core) handleAppend(now time.Time, m *pb.ConsensusMessage) {
	if !entriesValid(m) {
		return
	}
	c.recordLeaderContact(now, m)
	if m.PrevIndex < c.log.commit {
		c.acknowledge(m.From, c.log.commit)
		return
	}
	if !c.log.matches(m.PrevIndex, m.PrevTerm) {
		c.rejectAppend(m)
		return
	}
	for _, e := range m.Entries {
		c.appendOrOverwrite(e)
	}
	last := m.PrevIndex + uint64(len(m.Entries))
	// Entries after last may come from a deposed leader, so the commit index
	// advances only to the entries that this message confirmed.
	c.log.commit = max(c.log.commit, min(m.Commit, last))
	c.acknowledge(m.From, last)
}

// entriesValid reports whether the entries continue from m.PrevIndex without a
// gap and can be appended.
func entriesValid(m *pb.ConsensusMessage) bool {
	for i, e := range m.Entries {
		if e.GetIndex() != m.PrevIndex+1+uint64(i) {
			return false
		}
		if e.Kind != pb.EntryKind_ENTRY_KIND_MEMBERSHIP {
			continue
		}
		if proto.Unmarshal(e.Data, &pb.Membership{}) != nil {
			return false
		}
	}
	return true
}

// appendOrOverwrite appends an entry from the leader. A local entry at the same
// index with another term is dropped with all entries after it.
func (c *Core) appendOrOverwrite(e *pb.LogEntry) {
	if c.log.matches(e.Index, e.Term) {
		return
	}
	if e.Index <= c.log.last() {
		c.log.truncate(e.Index)
	}
	c.log.append(e)
}

func (c *Core) acknowledge(to string, index uint64) {
	c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: to, PrevIndex: index})
}

func (c *Core) rejectAppend(m *pb.ConsensusMessage) {
	hint := c.log.conflictIndex(m.PrevIndex, m.PrevTerm)
	term, _ := c.log.termAt(hint)
	c.send(&pb.ConsensusMessage{
		Kind: pb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Reject: true,
		PrevIndex: m.PrevIndex, HintIndex: hint, HintTerm: term,
	})
}

func (c *Core) handleAppendReply(now time.Time, m *pb.ConsensusMessage) {
	p := c.recordContact(now, m)
	if p == nil {
		return
	}
	if m.Reject {
		c.handleAppendRejection(now, m, p)
		return
	}
	if m.PrevIndex > c.log.last() {
		return
	}
	p.recordAck(m.PrevIndex)
	if p.mode == probing || p.mode == sendingSnapshot && p.match >= p.snapshot.Index {
		p.probe()
		p.mode = replicating
	}
	before := c.log.commit
	c.advanceCommit()
	c.afterCommit(now, before)
	if c.role == Leader {
		c.sendEntries(now, m.From, false)
	}
}

// afterCommit sends the commit index to all members if it advanced from before.
func (c *Core) afterCommit(now time.Time, before uint64) {
	if c.log.commit == before {
		return
	}
	c.broadcast(now, true)
	c.stepDownIfRemoved(now)
}

// handleAppendRejection searches for the last index at which the member's log
// matches.
func (c *Core) handleAppendRejection(now time.Time, m *pb.ConsensusMessage, p *progress) {
	switch p.mode {
	case sendingSnapshot:
		return
	case replicating:
		if m.PrevIndex <= p.match {
			return // outdated
		}
		p.probe()
	case probing:
		if m.PrevIndex != p.next-1 {
			return // outdated
		}
		candidate := c.log.conflictIndex(m.HintIndex, m.HintTerm)
		p.next = max(p.match+1, min(candidate+1, p.next-1))
		p.paused = false
	}
	c.sendAppend(now, m.From, p)
}
