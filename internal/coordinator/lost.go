package coordinator

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/replica"
)

// removeLostVoter removes a voter that has not responded for long, one at a time. A
// replaced instance would otherwise count for quorums forever, and after some
// replacements the loss of one more instance would stop the group. A voter that was only
// away joins again when it is back.
func (c *Coordinator) removeLostVoter() {
	responsive, silent := c.partitionVoters()
	after := voterRemovalDelay
	if quorumAtRisk(responsive, len(silent), c.options.Tolerance) {
		after = urgentRemovalDelay
	}
	lost := c.firstSilentFor(silent, after)
	if lost == nil || responsive < c.options.requiredVoters() || !c.beginTask(lost.DiskId) {
		return
	}
	go func() {
		defer c.endTask(lost.DiskId)
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
		defer cancel()
		_, err := c.options.Group.ProposeMember(ctx, true, lost)
		c.options.Part.Warn("Removing a silent voter finished.", "instance", lost.InstanceId, "disk", lost.DiskId, "heard", responsive, "err", err)
	}()
}

// partitionVoters counts the voters that respond, including this one, and returns the
// silent ones.
func (c *Coordinator) partitionVoters() (responsive int, silent []replica.MemberProgress) {
	for _, m := range c.options.Group.Status().Members {
		switch {
		case m.Member.Learner:
		case c.isResponsive(m):
			responsive++
		default:
			silent = append(silent, m)
		}
	}
	return responsive, silent
}

// isResponsive reports whether a member answered within memberTimeout; this member always
// counts as responsive.
func (c *Coordinator) isResponsive(m replica.MemberProgress) bool {
	return m.Member.DiskId == c.options.Self.DiskId || m.LastContactMs >= 0 && m.LastContactMs < memberTimeout.Milliseconds()
}

// firstSilentFor returns the first of the silent voters that has been silent for longer
// than after, or nil.
func (c *Coordinator) firstSilentFor(silent []replica.MemberProgress, after time.Duration) *pb.Member {
	for _, m := range silent {
		if m.LastContactMs > after.Milliseconds() || m.LastContactMs < 0 && c.leadingLongerThan(after) {
			return m.Member
		}
	}
	return nil
}

// quorumAtRisk reports whether silent voters should be removed early: if they stay,
// losing tolerance more instances would stop the group; without them it would not.
//
// This guards against two instances being replaced within seconds, and two disks of six
// being lost after that. The replaced instances still counted, so the four remaining of
// eight were no majority: no change was accepted any more, and entries served the
// configuration that a member had on its disk. After an early removal the instances that
// respond still have a majority after the losses.
//
// A group whose remaining voters could not bear that many losses is not changed: a change
// that few disks hold could be lost with them. So is a single silent voter: it is usually
// back soon, and each removal and return changes the membership.
func quorumAtRisk(responsive, silent, tolerance int) bool {
	majority := (responsive+silent)/2 + 1
	return silent >= minSilentVotersAtRisk && responsive-tolerance < majority && responsive-tolerance > responsive/2
}

func (c *Coordinator) leadingLongerThan(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leadingSince.IsZero() && time.Since(c.leadingSince) > d
}
