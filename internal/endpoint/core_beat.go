package endpoint

import (
	"fmt"
	"reflect"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// announce takes an endpoint's description. ok is false when it is stale, or
// no more endpoints fit.
func (c *core) announce(now time.Time, a engineapi.Announcement) (r *record, ok bool) {
	r, known := c.endpoints[a.ID]
	if known && a.Incarnation < r.announced.Incarnation {
		return r, false
	}
	if known && a.Incarnation > r.announced.Incarnation {
		c.died(now, r)
		c.refuseAll(r, answer{status: statusFull})
		known = false
	}
	if !known {
		return c.join(now, a)
	}
	r.heard = now
	r.crashAt = time.Time{}
	if r.silent {
		r.silent = false
		c.statics++
	}
	if !reflect.DeepEqual(r.announced, a) {
		r.announced = a
		r.homeKnown = false
		c.statics++
	}
	return r, true
}

func (c *core) join(now time.Time, a engineapi.Announcement) (*record, bool) {
	if _, there := c.endpoints[a.ID]; !there && len(c.endpoints) >= maxEndpoints {
		return nil, false
	}
	r := newRecord(now, a, c.tenure.quiet(a.ID, a.Zone))
	r.leaving = c.left[a.ID] >= a.Incarnation
	c.endpoints[a.ID] = r
	c.statics++
	c.note(timeline.KindEndpointJoin, r, "", string(a.Role))
	return r, true
}

// firstSequence is the number of an incarnation's first heartbeat. No home has
// granted on the incarnation before it, since a home grants on held lists
// only; so there is nothing to wait out.
const firstSequence = 1

// heartbeat takes a held list; it gives the attempts to cancel.
func (c *core) heartbeat(now time.Time, b engineapi.Heartbeat) (cancel []fleet.AttemptID, ok bool) {
	r, ok := c.announce(now, b.Announcement)
	if !ok {
		return nil, false
	}
	if r.beat && b.Sequence <= r.sequence {
		// A late heartbeat's held list is older than what is known.
		return nil, true
	}
	if !r.beat && b.Sequence == firstSequence {
		r.quiet = now
	}
	if !c.current && !c.guards.noDoubt {
		// What comes while this instance may be out of the view doesn't count
		// as heard: another home may have had the numbers between.
		return r.cancelled(), true
	}
	if r.beat && b.Sequence != r.sequence+1 {
		r.skipped = now
	}
	c.resolveDoubt(now, r, b.Sequence)
	first := !r.beat
	r.beat = true
	r.beatAt = now
	r.sequence = b.Sequence
	r.load = b.Load
	r.limited.said(now, b.LimitPerSecond)
	r.loadAt = now.Add(-boundedMs(uint64(max(b.Load.AgeMs, 0)), maxWait))
	c.clearFailed(now, r)
	c.takeHeld(now, r, b.Held)
	if first {
		c.firstBeat(now, r)
	}
	c.sweep(now, r)
	c.lapse(now, r)
	c.pump(now, r)
	return r.cancelled(), true
}

// resolveDoubt decides, after a view was missed, whether another home may have
// granted meanwhile. If this heartbeat is the next after the last one here, no
// other home has had one, and so none has granted.
func (c *core) resolveDoubt(now time.Time, r *record, sequence uint64) {
	if !r.doubt {
		return
	}
	r.doubt = false
	if sequence != r.sequence+1 || c.skippedLately(now, r) {
		c.rebuild(r)
	}
}

// skippedLately tells whether heartbeats may have gone to a home that this
// instance has not heard of yet: its view is no older than SettingsLease.
func (c *core) skippedLately(now time.Time, r *record) bool {
	return !r.skipped.IsZero() && now.Sub(r.skipped) <= c.limits.SettingsLease+c.limits.Heartbeat
}

// firstBeat uses a handover that came before the endpoint did.
func (c *core) firstBeat(now time.Time, r *record) {
	c.statics++
	r.first = r.sequence
	if h, ok := c.handed[r.announced.ID]; ok {
		r.take(now, h.message, c.guards.anyHandover)
		delete(c.handed, r.announced.ID)
	}
	if wait := r.quiet.Sub(now); wait > 0 {
		c.note(timeline.KindEndpointJoin, r, "", fmt.Sprintf("first heartbeat here is number %d; no grant for %v", r.first, wait.Round(time.Millisecond)))
	}
}

// clearFailed forgets failed runs of an endpoint that is alive after all.
func (c *core) clearFailed(now time.Time, r *record) {
	for f, at := range r.failed {
		if now.Sub(at) > c.limits.Heartbeat {
			delete(r.failed, f)
		}
	}
}

func (c *core) takeHeld(now time.Time, r *record, held []engineapi.Held) {
	listed := make(map[fleet.AttemptID]struct{}, len(held))
	for _, h := range held {
		if _, twice := listed[h.Attempt]; twice {
			continue
		}
		listed[h.Attempt] = struct{}{}
		c.takeOne(now, r, h)
	}
	for key, h := range r.holds {
		if _, there := listed[key.attempt]; there {
			continue
		}
		if h.state == holdReported || h.state == holdReleased || !h.cancelled.IsZero() {
			c.free(now, r, h)
		}
	}
}

func (c *core) takeOne(now time.Time, r *record, listed engineapi.Held) {
	known := r.byAttempt(listed.Attempt)
	if len(known) == 0 {
		known = []*hold{c.adopt(now, r, listed)}
	}
	for _, h := range known {
		if h.state == holdPromised {
			h.state = holdFirm
		}
		if h.seen.IsZero() {
			h.entered = later(h.granted, now.Add(-boundedMs(uint64(max(listed.AgeMs, 0)), time.Hour)))
		}
		h.seen = now
		h.lapse = now.Add(c.limits.GrantLife)
		h.stage = listed.Stage
	}
}

// adopt makes a hold of what the endpoint lists and this home has not granted:
// an earlier home did, or its owner has released it and it is still there.
func (c *core) adopt(now time.Time, r *record, listed engineapi.Held) *hold {
	age := boundedMs(uint64(max(listed.AgeMs, 0)), time.Hour)
	h := &hold{
		key:     holdKey{attempt: listed.Attempt, kind: kindOf(listed.Stage)},
		state:   holdReported,
		owner:   listed.Owner,
		granted: now.Add(-age),
	}
	for _, kind := range []fleet.EndpointRole{fleet.RolePrefill, fleet.RoleDecode, fleet.RolePlain} {
		at, released := r.released[holdKey{listed.Attempt, kind}]
		if released && at.After(h.released) {
			h.state = holdReleased
			h.released = at
		}
	}
	r.holds[h.key] = h
	return h
}

func kindOf(s engineapi.Stage) fleet.EndpointRole {
	switch s {
	case engineapi.StagePrefill, engineapi.StageExported:
		return fleet.RolePrefill
	case engineapi.StageCall:
		return fleet.RolePlain
	}
	return fleet.RoleDecode
}

// cancelled lists what the endpoint is to free and still lists.
func (r *record) cancelled() []fleet.AttemptID {
	var list []fleet.AttemptID
	for key, h := range r.holds {
		if !h.cancelled.IsZero() {
			list = append(list, key.attempt)
		}
	}
	return list
}
