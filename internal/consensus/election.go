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
	c.votes, c.members, c.receiving = nil, nil, nil
	c.lease = lease{}
	c.failReads()
	c.resetElection(now)
}

func (c *Core) resetElection(now time.Time) {
	extra := time.Duration(c.config.Random.Int64N(int64(c.config.ElectionTimeout)))
	c.electionDue = now.Add(c.config.ElectionTimeout + extra)
}

// followsLeader tells whether a leader was heard so recently that standing
// or voting against it is out of the question. It guards against a member
// that was cut off one way or came back with an old log: without it, the
// member's candidacies would depose a working leader again and again; and a
// vote inside the lease would let the old leader answer a stale read.
func (c *Core) followsLeader(now time.Time) bool {
	return c.role == Leader || now.Sub(c.lastLeader) < c.config.ElectionTimeout
}

// mayStand: voters stand, and so does a member whose removal is in its log but
// not known to be committed. It may be the only one with that entry; the
// others then lack its vote, which it can't give to their shorter logs, and
// without its candidacy no leader would ever be elected.
func (c *Core) mayStand() bool {
	return isVoter(c.log.membership(), c.config.ID) ||
		isVoter(c.log.membershipBefore(c.log.commit), c.config.ID)
}

// standPre asks whether an election could be won, without a new term. A
// member that can't reach a quorum thus never raises its term, and on its
// return disturbs nobody.
func (c *Core) standPre(now time.Time) {
	c.role, c.leader = PreCandidate, ""
	c.votes = map[string]bool{c.config.ID: true}
	c.receiving = nil
	c.resetElection(now)
	if c.won() {
		c.stand(now, false)
		return
	}
	c.askVotes(pb.MessageKind_MESSAGE_KIND_PRE_VOTE, c.term+1, false)
}

func (c *Core) stand(now time.Time, handover bool) {
	c.role, c.leader = Candidate, ""
	c.term++
	c.vote = c.config.ID
	c.votes = map[string]bool{c.config.ID: true}
	c.resetElection(now)
	if c.won() {
		c.becomeLeader(now)
		return
	}
	c.askVotes(pb.MessageKind_MESSAGE_KIND_VOTE, c.term, handover)
}

func (c *Core) askVotes(kind pb.MessageKind, term uint64, handover bool) {
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

func (c *Core) won() bool {
	membership := c.log.membership()
	granted := countVoters(membership, func(id string) bool { return c.votes[id] })
	return granted >= quorum(membership)
}

// atLeastAsNew tells whether the candidate's log holds all that this member
// acknowledged: else a committed entry could be lost by its election.
func (c *Core) atLeastAsNew(m *pb.ConsensusMessage) bool {
	own := c.log.lastTerm()
	return m.PrevTerm > own || m.PrevTerm == own && m.PrevIndex >= c.log.last()
}

func (c *Core) answerPreVote(now time.Time, m *pb.ConsensusMessage) {
	if c.followsLeader(now) {
		return
	}
	reply := &pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From}
	if m.Term > c.term && c.atLeastAsNew(m) {
		reply.Term = m.Term
	} else {
		reply.Reject = true
	}
	c.send(reply)
}

func (c *Core) countPreVote(now time.Time, m *pb.ConsensusMessage) {
	if c.role != PreCandidate || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	if c.won() {
		c.stand(now, false)
	}
}

func (c *Core) answerVote(now time.Time, m *pb.ConsensusMessage) {
	if c.followsLeader(now) && !m.Handover {
		return
	}
	free := c.vote == m.From || c.vote == "" && c.leader == ""
	granted := free && c.atLeastAsNew(m)
	if granted {
		c.vote = m.From
		c.resetElection(now)
	}
	c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Reject: !granted})
}

func (c *Core) countVote(now time.Time, m *pb.ConsensusMessage) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.won() {
		c.becomeLeader(now)
	}
}

func (c *Core) becomeLeader(now time.Time) {
	c.role, c.leader = Leader, c.config.ID
	c.votes = nil
	c.pending = 0
	c.members = map[string]*progress{}
	c.lease = lease{}
	c.syncProgress(now)
	c.appendEntry(pb.EntryKind_ENTRY_KIND_NO_OP, nil)
	c.broadcast(now, true)
	c.startRound(now)
}
