package consensus

import (
	"fmt"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// TransferLeadership asks the reachable voter with the longest log to start an
// election at once, so that a planned stop doesn't cost an election timeout.
// This member remains leader until another is elected. If the message is lost,
// it must be called again.
//
// The lease ends before the message is sent and stays invalid for the rest of
// the term: the votes for the successor violate the lease, also if the message
// arrives late.
func (c *Core) TransferLeadership(now time.Time) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	target := c.transferTarget(now)
	if target == "" {
		return fmt.Errorf("%w: no other voter answers", ErrMembership)
	}
	c.lease.transferred = true
	c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: target})
	return nil
}

// transferTarget returns the disk ID of the reachable voter with the longest
// log, or "" if there is none.
func (c *Core) transferTarget(now time.Time) string {
	best := ""
	for _, member := range c.log.membership().Members {
		id := member.DiskId
		if member.Learner || id == c.config.ID || !c.recentlyActive(now, id) {
			continue
		}
		if best == "" || c.progress[id].match > c.progress[best].match {
			best = id
		}
	}
	return best
}

func (c *Core) handleTimeoutNow(now time.Time, m *pb.ConsensusMessage) {
	if c.role != Follower || c.leader != m.From || !isVoter(c.log.membership(), c.config.ID) {
		return
	}
	c.campaign(now, true)
}
