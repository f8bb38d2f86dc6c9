package consensus

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func (c *Core) becomeFollower(now time.Time, term uint64, leader string) {
	if term != c.term {
		c.vote = ""
	}
	c.term, c.leader, c.role = term, leader, Follower
	c.votes, c.progress, c.receivedSnapshot = nil, nil, nil
	c.lease = lease{}
	c.failReads()
	c.resetElection(now)
}

func (c *Core) resetElection(now time.Time) {
	extra := time.Duration(c.config.Random.Int64N(int64(c.config.ElectionTimeout)))
	c.electionDeadline = now.Add(c.config.ElectionTimeout + extra)
}

// hasRecentLeader reports whether this member leads or heard from a leader
// within an election timeout, so that it must neither start an election nor
// vote in one. Otherwise a member with a one-way partition or an old log could
// repeatedly depose a working leader, and a vote during the lease would let the
// old leader serve a stale read.
func (c *Core) hasRecentLeader(now time.Time) bool {
	return c.role == Leader || now.Sub(c.leaderContact) < c.config.ElectionTimeout
}

// canCampaign reports whether this member may start an election: it is a voter,
// or its removal is in its log but not known to be committed. It may be the only
// member with that entry. The others then need its vote, which it can't grant
// to their shorter logs, and no leader could be elected without its candidacy.
func (c *Core) canCampaign() bool {
	return isVoter(c.log.membership(), c.config.ID) ||
		isVoter(c.log.membershipAtIndex(c.log.commit), c.config.ID)
}

// preCampaign starts a pre-vote, which finds out without a new term whether an
// election could be won. A member that can't reach a quorum thus never raises
// its term and doesn't disrupt the group when it reconnects.
func (c *Core) preCampaign(now time.Time) {
	c.role, c.leader = PreCandidate, ""
	c.votes = map[string]bool{c.config.ID: true}
	c.receivedSnapshot = nil
	c.resetElection(now)
	if c.hasVoteQuorum() {
		c.campaign(now, false)
		return
	}
	c.requestVotes(pb.MessageKind_MESSAGE_KIND_PRE_VOTE, c.term+1, false)
}

func (c *Core) campaign(now time.Time, handover bool) {
	c.role, c.leader = Candidate, ""
	c.term++
	c.vote = c.config.ID
	c.votes = map[string]bool{c.config.ID: true}
	c.resetElection(now)
	if c.hasVoteQuorum() {
		c.becomeLeader(now)
		return
	}
	c.requestVotes(pb.MessageKind_MESSAGE_KIND_VOTE, c.term, handover)
}

func (c *Core) requestVotes(kind pb.MessageKind, term uint64, handover bool) {
	for _, member := range c.log.membership().Members {
		if member.Learner || member.DiskId == c.config.ID {
			continue
		}
		c.send(&pb.ConsensusMessage{
			Kind: kind, To: member.DiskId, Term: term,
			PrevIndex: c.log.last(), PrevTerm: c.log.lastTerm(), Handover: handover,
		})
	}
}

func (c *Core) hasVoteQuorum() bool {
	membership := c.log.membership()
	granted := countVoters(membership, func(id string) bool { return c.votes[id] })
	return granted >= quorum(membership)
}

// logUpToDate reports whether the candidate's log holds all entries that this
// member acknowledged; otherwise its election could lose a committed entry.
func (c *Core) logUpToDate(m *pb.ConsensusMessage) bool {
	own := c.log.lastTerm()
	return m.PrevTerm > own || m.PrevTerm == own && m.PrevIndex >= c.log.last()
}

func (c *Core) handlePreVote(now time.Time, m *pb.ConsensusMessage) {
	if c.hasRecentLeader(now) {
		return
	}
	reply := &pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From}
	if m.Term > c.term && c.logUpToDate(m) {
		reply.Term = m.Term
	} else {
		reply.Reject = true
	}
	c.send(reply)
}

func (c *Core) handlePreVoteReply(now time.Time, m *pb.ConsensusMessage) {
	if c.role != PreCandidate || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteQuorum() {
		c.campaign(now, false)
	}
}

func (c *Core) handleVote(now time.Time, m *pb.ConsensusMessage) {
	if c.hasRecentLeader(now) && !m.Handover {
		return
	}
	canVote := c.vote == m.From || c.vote == "" && c.leader == ""
	granted := canVote && c.logUpToDate(m)
	if granted {
		c.vote = m.From
		c.resetElection(now)
	}
	c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Reject: !granted})
}

func (c *Core) handleVoteReply(now time.Time, m *pb.ConsensusMessage) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteQuorum() {
		c.becomeLeader(now)
	}
}

func (c *Core) becomeLeader(now time.Time) {
	c.role, c.leader = Leader, c.config.ID
	c.votes = nil
	c.pendingBytes = 0
	c.progress = map[string]*progress{}
	c.lease = lease{}
	c.syncProgress(now)
	c.appendEntry(pb.EntryKind_ENTRY_KIND_NO_OP, nil)
	c.broadcast(now, true)
	c.startRound(now)
}
