package consensus

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// read is a Read that awaits a quorum's answer to round.
type read struct {
	id    uint64
	round uint64
}

// Read asks for an index such that the state after it is current. The answer
// comes in a Ready: at once under a live lease, else after a heartbeat round
// that began later. id is the caller's own.
func (c *Core) Read(now time.Time, id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	// Until an entry of its own term is committed, a new leader doesn't know
	// how far its predecessor's log was committed; the lease alone would let
	// it answer from before a change that was already confirmed.
	if c.committedInTerm() && c.lease.live(now) {
		c.results = append(c.results, ReadResult{ID: id, Index: c.log.commit, OK: true})
		return nil
	}
	if len(c.reads) >= maxReads {
		return ErrBusy
	}
	first := len(c.reads) == 0
	c.reads = append(c.reads, read{id: id, round: c.lease.round + 1})
	if first {
		c.startRound(now)
		c.confirmRounds()
	}
	return nil
}

// maxReads bounds the reads that await a quorum.
const maxReads = 1 << 16

func (c *Core) committedInTerm() bool {
	term, _ := c.log.termAt(c.log.commit)
	return term == c.term
}

// startRound sends a heartbeat to all; the answers extend the lease, confirm
// reads, and show the leader who is there.
func (c *Core) startRound(now time.Time) {
	round := c.lease.start(now)
	c.heartbeatDue = now.Add(c.config.HeartbeatInterval)
	for _, member := range c.log.membership().Members {
		if member.DiskId == c.config.ID {
			continue
		}
		p := c.members[member.DiskId]
		c.send(&pb.ConsensusMessage{
			Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT, To: member.DiskId,
			Commit: min(p.match, c.log.commit), ReadRound: round,
		})
	}
}

// confirmRounds finds the newest round that a quorum answered.
func (c *Core) confirmRounds() {
	round := reachedByQuorum(c.log.membership(), func(id string) uint64 {
		if id == c.config.ID {
			return c.lease.round
		}
		return c.members[id].round
	})
	c.lease.confirm(round, c.config.lease())
	c.releaseReads()
}

func (c *Core) releaseReads() {
	if !c.committedInTerm() {
		return
	}
	n := 0
	for n < len(c.reads) && c.reads[n].round <= c.lease.confirmed {
		c.results = append(c.results, ReadResult{ID: c.reads[n].id, Index: c.log.commit, OK: true})
		n++
	}
	c.reads = slices.Delete(c.reads, 0, n)
}

func (c *Core) failReads() {
	for _, r := range c.reads {
		c.results = append(c.results, ReadResult{ID: r.id})
	}
	c.reads = nil
}

func (c *Core) handleHeartbeat(now time.Time, m *pb.ConsensusMessage) {
	c.heardLeader(now, m)
	// The leader names no more than it knows this log to share.
	c.log.commit = max(c.log.commit, min(m.Commit, c.log.last()))
	c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.From, ReadRound: m.ReadRound})
}

func (c *Core) handleHeartbeatReply(now time.Time, m *pb.ConsensusMessage) {
	p := c.heardMember(now, m)
	if p == nil {
		return
	}
	p.round = max(p.round, min(m.ReadRound, c.lease.round))
	c.confirmRounds()
	if len(c.reads) > 0 && c.reads[0].round > c.lease.round {
		c.startRound(now) // for the reads that came during the last round
	}
	c.resendIfLost(now, m.From, p)
}
