package consensus

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// broadcast sends every member the entries it can take; with commitToo also a
// message without entries, to one for which only the commit index is news.
func (c *Core) broadcast(now time.Time, commitToo bool) {
	for _, member := range c.log.membership().Members {
		if member.DiskId != c.config.ID {
			c.sendNew(now, member.DiskId, commitToo)
		}
	}
}

// sendNew sends entries until the member's window is full; with commitToo it
// sends an empty message when only the commit index is news.
func (c *Core) sendNew(now time.Time, id string, commitToo bool) {
	p := c.members[id]
	for p.next <= c.log.last() && !p.blocked(c.config.MaxInflight) {
		c.sendAppend(now, id, p)
	}
	if commitToo && p.told < c.log.commit && !p.blocked(c.config.MaxInflight) {
		c.sendAppend(now, id, p)
	}
}

func (c *Core) sendAppend(now time.Time, id string, p *progress) {
	previous := p.next - 1
	term, held := c.log.termAt(previous)
	if !held {
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
	p.sentAt, p.told = now, c.log.commit
	if p.mode == probing {
		p.paused = true
		return
	}
	if n := len(entries); n > 0 {
		p.next = entries[n-1].Index + 1
		p.inflight = append(p.inflight, entries[n-1].Index)
	}
}

// resendIfLost follows a heartbeat's answer: the member is there, so what
// went unanswered for two heartbeats was dropped on the way.
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

// heardLeader takes in that the leader of this term is alive.
func (c *Core) heardLeader(now time.Time, m *pb.ConsensusMessage) {
	if c.role == Leader {
		panic(fmt.Sprintf("consensus: %s and %s both lead term %d", c.config.ID, m.From, c.term))
	}
	if c.role != Follower {
		c.becomeFollower(now, c.term, m.From)
	}
	c.leader, c.lastLeader = m.From, now
	c.resetElection(now)
}

func (c *Core) handleAppend(now time.Time, m *pb.ConsensusMessage) {
	if !wellFormed(m) {
		return
	}
	c.heardLeader(now, m)
	if m.PrevIndex < c.log.commit {
		c.acknowledge(m.From, c.log.commit)
		return
	}
	if !c.log.matches(m.PrevIndex, m.PrevTerm) {
		c.refuseAppend(m)
		return
	}
	for _, e := range m.Entries {
		c.takeEntry(e)
	}
	last := m.PrevIndex + uint64(len(m.Entries))
	// Entries after last may be those of a leader that was deposed, so the
	// commit index reaches no further than what this message confirmed.
	c.log.commit = max(c.log.commit, min(m.Commit, last))
	c.acknowledge(m.From, last)
}

// wellFormed tells whether the entries follow the previous one in the message
// without a gap and can be appended.
func wellFormed(m *pb.ConsensusMessage) bool {
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

// takeEntry appends an entry of the leader; where an own one is in its place
// with another term, that and all after it go.
func (c *Core) takeEntry(e *pb.LogEntry) {
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

func (c *Core) refuseAppend(m *pb.ConsensusMessage) {
	hint := c.log.conflict(m.PrevIndex, m.PrevTerm)
	term, _ := c.log.termAt(hint)
	c.send(&pb.ConsensusMessage{
		Kind: pb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Reject: true,
		PrevIndex: m.PrevIndex, HintIndex: hint, HintTerm: term,
	})
}

func (c *Core) handleAppendReply(now time.Time, m *pb.ConsensusMessage) {
	p := c.heardMember(now, m)
	if p == nil {
		return
	}
	if m.Reject {
		c.handleRefusal(now, m, p)
		return
	}
	if m.PrevIndex > c.log.last() {
		return
	}
	p.acknowledged(m.PrevIndex)
	if p.mode == probing || p.mode == sendingSnapshot && p.match >= p.snapshot.Index {
		p.probe()
		p.mode = replicating
	}
	before := c.log.commit
	c.advanceCommit()
	c.afterCommit(now, before)
	if c.role == Leader {
		c.sendNew(now, m.From, false)
	}
}

// afterCommit spreads a commit index that rose from before.
func (c *Core) afterCommit(now time.Time, before uint64) {
	if c.log.commit == before {
		return
	}
	c.broadcast(now, true)
	c.leaveIfRemoved(now)
}

// handleRefusal looks for the point where the member's log agrees.
func (c *Core) handleRefusal(now time.Time, m *pb.ConsensusMessage, p *progress) {
	switch p.mode {
	case sendingSnapshot:
		return
	case replicating:
		if m.PrevIndex <= p.match {
			return // an old answer
		}
		p.probe()
	case probing:
		if m.PrevIndex != p.next-1 {
			return // an old answer
		}
		agree := c.log.conflict(m.HintIndex, m.HintTerm)
		p.next = max(p.match+1, min(agree+1, p.next-1))
		p.paused = false
	}
	c.sendAppend(now, m.From, p)
}
