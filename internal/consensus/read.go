package consensus

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// pendingRead is a Read that waits until a quorum has answered round.
type pendingRead struct {
	id    uint64
	round uint64
}

// Read requests an index at which the applied state is current. The result
// comes in a Ready: at once under a valid lease, otherwise after a heartbeat
// round that starts after the call. id is chosen by the caller.
func (c *Core) Read(now time.Time, id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	// Until an entry of its term is committed, a new leader doesn't know how
	// far its predecessor committed. The lease alone would allow a read of the
	// state before an already confirmed command.
	if c.committedInTerm() && c.lease.valid(now) {
		c.readResults = append(c.readResults, ReadResult{ID: id, Index: c.log.commit, OK: true})
		return nil
	}
	if len(c.pendingReads) >= maxPendingReads {
		return ErrBusy
	}
	first := len(c.pendingReads) == 0
	c.pendingReads = append(c.pendingReads, pendingRead{id: id, round: c.lease.round + 1})
	if first {
		c.startRound(now)
		c.confirmRounds()
	}
	return nil
}

// maxPendingReads limits the reads that wait for a quorum.
const maxPendingReads = 1 << 16

func (c *Core) committedInTerm() bool {
	term, _ := c.log.termAt(c.log.commit)
	return term == c.term
}

// startRound sends a heartbeat to all members. The answers extend the lease,
// confirm reads, and show which members are reachable.
func (c *Core) startRound(now time.Time) {
	round := c.lease.start(now)
	c.nextHeartbeat = now.Add(c.config.HeartbeatInterval)
	for _, member := range c.log.membership().Members {
		if member.DiskId == c.config.ID {
			continue
		}
		p := c.progress[member.DiskId]
		c.send(&pb.ConsensusMessage{
			Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT, To: member.DiskId,
			Commit: min(p.match, c.log.commit), ReadRound: round,
		})
	}
}

// confirmRounds confirms the latest round that a quorum answered: it extends the
// lease and completes reads.
func (c *Core) confirmRounds() {
	round := reachedByQuorum(c.log.membership(), func(id string) uint64 {
		if id == c.config.ID {
			return c.lease.round
		}
		return c.progress[id].round
	})
	c.lease.confirm(round, c.config.leaseDuration())
	c.releaseReads()
}

func (c *Core) releaseReads() {
	if !c.committedInTerm() {
		return
	}
	n := 0
	for n < len(c.pendingReads) && c.pendingReads[n].round <= c.lease.confirmed {
		c.readResults = append(c.readResults, ReadResult{ID: c.pendingReads[n].id, Index: c.log.commit, OK: true})
		n++
	}
	c.pendingReads = slices.Delete(c.pendingReads, 0, n)
}

func (c *Core) failReads() {
	for _, r := range c.pendingReads {
		c.readResults = append(c.readResults, ReadResult{ID: r.id})
	}
	c.pendingReads = nil
}

func (c *Core) handleHeartbeat(now time.Time, m *pb.ConsensusMessage) {
	c.recordLeaderContact(now, m)
	// The leader limits Commit to the index up to which it knows this log to
	// match its own.
	c.log.commit = max(c.log.commit, min(m.Commit, c.log.last()))
	c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.From, ReadRound: m.ReadRound})
}

func (c *Core) handleHeartbeatReply(now time.Time, m *pb.ConsensusMessage) {
	p := c.recordContact(now, m)
	if p == nil {
		return
	}
	p.round = max(p.round, min(m.ReadRound, c.lease.round))
	c.confirmRounds()
	if len(c.pendingReads) > 0 && c.pendingReads[0].round > c.lease.round {
		c.startRound(now) // for the reads requested during the last round
	}
	c.resendIfLost(now, m.From, p)
}
