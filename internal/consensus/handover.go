package consensus

import (
	"fmt"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// HandOver asks the voter that holds most of the log to stand at once, so that
// a planned stop costs no election timeout. This member leads on until another
// is elected, and longer if the message is lost; call it again then.
//
// Its lease is over for the rest of the term, before the message leaves: the
// members that vote for the successor break the promise the lease rests on,
// also when the message arrives late.
func (c *Core) HandOver(now time.Time) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	successor := c.successor(now)
	if successor == "" {
		return fmt.Errorf("%w: no other voter answers", ErrMembership)
	}
	c.lease.given = true
	c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: successor})
	return nil
}

// successor is the voter with the longest log among those that answer.
func (c *Core) successor(now time.Time) string {
	best := ""
	for _, member := range c.log.membership().Members {
		id := member.DiskId
		if member.Learner || id == c.config.ID || !c.heardLately(now, id) {
			continue
		}
		if best == "" || c.members[id].match > c.members[best].match {
			best = id
		}
	}
	return best
}

func (c *Core) handleTimeoutNow(now time.Time, m *pb.ConsensusMessage) {
	if c.role != Follower || c.leader != m.From || !isVoter(c.log.membership(), c.config.ID) {
		return
	}
	c.stand(now, true)
}
