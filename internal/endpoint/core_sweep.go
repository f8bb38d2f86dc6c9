package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// How often a live owner is asked after its holds: soon for those that this
// home has not granted, seldom for the others, whose owner's release is
// retried until this home has it.
const (
	askReportedEvery = 2 * time.Second
	askGrantedEvery  = 10 * time.Second
	recancelEvery    = 2 * time.Second
)

// sweep cancels holds that nobody waits for.
//
// The failure: a caller has gone, the cancel was lost or its entry was killed,
// and the engine's memory stays taken until the output ends. The guards: a
// hold whose owner's process has left the view, one that its owner has
// released and the endpoint still lists, and one that its owner disowns, are
// cancelled; the cancel goes with each reply to the endpoint until it lists
// the hold no more.
func (c *core) sweep(now time.Time, r *record) {
	if c.guards.noSweep || !c.isHome(r) {
		return
	}
	for _, h := range r.holds {
		if c.view.Holds(h.owner) {
			h.ownerSeen = true
		}
		switch {
		case c.ownerGone(now, h):
			c.cancel(now, r, h, "owner gone")
		case h.state == holdReleased:
			if now.Sub(h.released) > c.limits.releaseGrace() {
				c.cancel(now, r, h, "released")
			}
		default:
			c.askOwner(now, r, h)
		}
	}
}

// ownerGone tells whether the process that owns h has left the view for good.
// An owner that this home has never seen may have joined by a view that is
// still on its way, for no longer than SettingsLease.
func (c *core) ownerGone(now time.Time, h *hold) bool {
	if !c.current || c.view.Holds(h.owner) {
		return false
	}
	i, there := c.view.Instances[h.owner.Instance]
	if h.ownerSeen || (there && i.Incarnation > h.owner.Incarnation) {
		return true
	}
	return now.Sub(h.granted) > c.limits.SettingsLease && now.Sub(c.awake) > c.limits.SettingsLease
}

func (c *core) cancel(now time.Time, r *record, h *hold, why string) {
	if !h.cancelled.IsZero() && now.Sub(h.cancelled) < recancelEvery {
		return
	}
	if h.cancelled.IsZero() {
		c.note(timeline.KindHoldSwept, r, h.key.attempt, why)
	}
	h.cancelled = now
	c.out.cancels = append(c.out.cancels, cancelOrder{target: r.target(), attempt: h.key.attempt})
}

func (c *core) askOwner(now time.Time, r *record, h *hold) {
	every := askGrantedEvery
	if h.state == holdReported {
		every = askReportedEvery
	}
	if !h.confirmed() || !c.current || now.Sub(h.granted) < c.limits.disownGrace() || now.Sub(h.asked) < every {
		return
	}
	if h.asked.IsZero() && h.state != holdReported && now.Sub(h.granted) < every {
		return
	}
	h.asked = now
	c.out.disowns = append(c.out.disowns, disownAsk{target: r.target(), owner: h.owner, held: &pb.HeldAttempt{
		AttemptId: string(h.key.attempt),
		Owner:     h.owner.Proto(),
		Stage:     string(h.stage),
		AgeMs:     uint64(now.Sub(h.granted).Milliseconds()),
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
