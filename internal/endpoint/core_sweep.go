package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Intervals at which a live owner is asked about a hold. Holds that this home
// has not granted are asked about often. The others need it seldom, because
// their owner retries the release until this home has it.
const (
	reportedQueryInterval = 2 * time.Second
	grantedQueryInterval  = 10 * time.Second
	recancelInterval      = 2 * time.Second
)

// sweep cancels orphaned holds.
//
// When a caller disconnects and the cancel is lost, or its entry is killed, the
// engine's memory would stay taken until the output ends. So a hold is
// cancelled if its owner's process has left the view, if its owner has released
// it and the endpoint still lists it, or if its owner disowns it. Each reply to
// the endpoint repeats the cancel until the endpoint no longer lists the hold.
func (c *core) sweep(now time.Time, r *record) {
	if c.faults.noSweep || !c.isHome(r) {
		return
	}
	for _, h := range r.holds {
		if c.view.Contains(h.owner) {
			h.ownerSeen = true
		}
		switch {
		case c.ownerLeft(now, h):
			c.cancel(now, r, h, "owner gone")
		case h.state == holdReleased:
			if now.Sub(h.releasedAt) > c.limits.releaseGrace() {
				c.cancel(now, r, h, "released")
			}
		default:
			c.queryOwner(now, r, h)
		}
	}
}

// ownerLeft reports whether the process that owns h has left the view for good.
// An owner that this home has never seen may have joined by a view that has not
// arrived here yet, for no longer than SettingsLease.
func (c *core) ownerLeft(now time.Time, h *hold) bool {
	if !c.current || c.view.Contains(h.owner) {
		return false
	}
	i, there := c.view.Instances[h.owner.Instance]
	if h.ownerSeen || (there && i.Incarnation > h.owner.Incarnation) {
		return true
	}
	return now.Sub(h.grantedAt) > c.limits.SettingsLease && now.Sub(c.runningSince) > c.limits.SettingsLease
}

func (c *core) cancel(now time.Time, r *record, h *hold, reason string) {
	if !h.cancelledAt.IsZero() && now.Sub(h.cancelledAt) < recancelInterval {
		return
	}
	if h.cancelledAt.IsZero() {
		c.recordEvent(timeline.KindHoldSwept, r, h.key.attempt, reason)
	}
	h.cancelledAt = now
	c.effects.cancels = append(c.effects.cancels, cancelOrder{target: r.target(), attempt: h.key.attempt})
}

func (c *core) queryOwner(now time.Time, r *record, h *hold) {
	interval := grantedQueryInterval
	if h.state == holdReported {
		interval = reportedQueryInterval
	}
	if !h.confirmed() || !c.current || now.Sub(h.grantedAt) < c.limits.minDisownAge() || now.Sub(h.ownerAskedAt) < interval {
		return
	}
	if h.ownerAskedAt.IsZero() && h.state != holdReported && now.Sub(h.grantedAt) < interval {
		return
	}
	h.ownerAskedAt = now
	c.effects.ownerQueries = append(c.effects.ownerQueries, ownerQuery{target: r.target(), owner: h.owner, held: &pb.HeldAttempt{
		AttemptId: string(h.key.attempt),
		Owner:     h.owner.Proto(),
		Stage:     string(h.stage),
		AgeMs:     uint64(now.Sub(h.grantedAt).Milliseconds()),
	}})
}

// disowned cancels a hold that its live owner doesn't run.
func (c *core) disowned(now time.Time, id fleet.EndpointID, owner fleet.Owner, attempt fleet.AttemptID) {
	r, ok := c.endpoints[id]
	if !ok {
		return
	}
	for _, h := range r.byAttempt(attempt) {
		if h.owner == owner && h.confirmed() {
			c.cancel(now, r, h, "disowned")
		}
	}
}
