package coordinator

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/replica"
)

// removeLost removes a voter that has been silent for long, one at a time. An
// instance that was replaced by another one would else count for quorums for
// ever, and after some replacements the loss of one more would stop the group.
// One that is only away joins anew when it is back.
func (c *Coordinator) removeLost() {
	heard, silent := c.hearVoters()
	after := lostMember
	if endangered(heard, len(silent), c.options.Tolerance) {
		after = lostSuccessor
	}
	lost := c.silentLongerThan(silent, after)
	if lost == nil || heard < c.options.firstVoters() || !c.beginReport(lost.DiskId) {
		return
	}
	go func() {
		defer c.endReport(lost.DiskId)
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
		defer cancel()
		_, err := c.options.Group.ProposeMember(ctx, true, lost)
		c.options.Part.Warn("Member removed.", "instance", lost.InstanceId, "disk", lost.DiskId, "heard", heard, "err", err)
	}()
}

// hearVoters counts the voters that are heard, this one too, and gives the rest.
func (c *Coordinator) hearVoters() (heard int, silent []replica.MemberProgress) {
	for _, m := range c.options.Group.Status().Members {
		switch {
		case m.Member.Learner:
		case c.hears(m):
			heard++
		default:
			silent = append(silent, m)
		}
	}
	return heard, silent
}

// hears tells whether a member answered lately; this one always does.
func (c *Coordinator) hears(m replica.MemberProgress) bool {
	return m.Member.DiskId == c.options.Self.DiskId || m.LastContactMs >= 0 && m.LastContactMs < silentMember.Milliseconds()
}

// silentLongerThan gives the first of the silent voters that has been so for
// longer than after, nil when there is none.
func (c *Coordinator) silentLongerThan(silent []replica.MemberProgress, after time.Duration) *pb.Member {
	for _, m := range silent {
		if m.LastContactMs > after.Milliseconds() || m.LastContactMs < 0 && c.ledFor(after) {
			return m.Member
		}
	}
	return nil
}

// endangered tells whether silent voters should be removed soon: with them, the
// losses that the fleet must bear would stop the group, and without them they
// would not.
//
// Failure guarded: two instances are replaced within seconds, then two disks of
// six are lost. The two that are gone still counted, four of eight were no
// majority, and no change was taken any more, while entries served by whatever
// configuration a member had on its disk. The guard holds because those that
// are heard are then a majority after the losses. It leaves a group alone whose
// rest would bear fewer losses than it must: a change that few disks hold could
// be lost with them. A single silent voter is left too: it is mostly back soon,
// and each removal and return is a change of the membership.
func endangered(heard, silent, tolerance int) bool {
	majority := (heard+silent)/2 + 1
	return silent >= fewestReplaced && heard-tolerance < majority && heard-tolerance > heard/2
}

func (c *Coordinator) ledFor(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leadingSince.IsZero() && time.Since(c.leadingSince) > d
}
