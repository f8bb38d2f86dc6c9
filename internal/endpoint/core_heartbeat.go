package endpoint

import (
	"fmt"
	"reflect"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// announce applies an endpoint's announcement. ok is false if it is stale, or
// if the home has no room for another endpoint.
func (c *core) announce(now time.Time, a engineapi.Announcement) (r *record, ok bool) {
	r, known := c.endpoints[a.ID]
	if known && a.Incarnation < r.announced.Incarnation {
		return r, false
	}
	if known && a.Incarnation > r.announced.Incarnation {
		c.reportCrash(now, r)
		c.refuseAll(r, response{status: statusFull})
		known = false
	}
	if !known {
		return c.join(now, a)
	}
	r.lastContact = now
	r.crashReportAt = time.Time{}
	if r.unreachable {
		r.unreachable = false
		c.staticVersion++
	}
	if !reflect.DeepEqual(r.announced, a) {
		r.announced = a
		r.homeKnown = false
		c.staticVersion++
	}
	return r, true
}

func (c *core) join(now time.Time, a engineapi.Announcement) (*record, bool) {
	if _, there := c.endpoints[a.ID]; !there && len(c.endpoints) >= maxEndpoints {
		return nil, false
	}
	r := newRecord(now, a, c.viewHistory.noGrantsBefore(a.ID, a.Zone))
	r.leaving = c.left[a.ID] >= a.Incarnation
	c.endpoints[a.ID] = r
	c.staticVersion++
	c.recordEvent(timeline.KindEndpointJoin, r, "", string(a.Role))
	return r, true
}

// firstSequence is the number of an incarnation's first heartbeat. Homes grant
// only after a held list, so no home has granted slots of the incarnation
// before it, and there are no earlier grants to wait for.
const firstSequence = 1

// heartbeat applies a heartbeat and returns the attempts that the endpoint must
// cancel.
func (c *core) heartbeat(now time.Time, b engineapi.Heartbeat) (cancel []fleet.AttemptID, ok bool) {
	r, ok := c.announce(now, b.Announcement)
	if !ok {
		return nil, false
	}
	if r.hasHeldList && b.Sequence <= r.heartbeatSequence {
		// A late heartbeat's held list is older than what is known.
		return nil, true
	}
	if !r.hasHeldList && b.Sequence == firstSequence {
		r.noGrantsBefore = now
	}
	if !c.current && !c.faults.noMissedViewCheck {
		// A heartbeat that arrives while this instance may be out of the view
		// doesn't count: another home may have received the ones in between.
		return r.toCancel(), true
	}
	if r.hasHeldList && b.Sequence != r.heartbeatSequence+1 {
		r.lastGapAt = now
	}
	c.resolveMissedView(now, r, b.Sequence)
	first := !r.hasHeldList
	r.hasHeldList = true
	r.heldListAt = now
	r.heartbeatSequence = b.Sequence
	r.load = b.Load
	r.rateLimit.update(now, b.LimitPerSecond)
	r.loadAt = now.Add(-boundedMs(uint64(max(b.Load.AgeMs, 0)), maxWait))
	c.clearFailed(now, r)
	c.applyHeldList(now, r, b.Held)
	if first {
		c.firstHeartbeat(now, r)
	}
	c.sweep(now, r)
	c.freeExpired(now, r)
	c.dispatchQueued(now, r)
	return r.toCancel(), true
}

// resolveMissedView decides, after a view was missed, whether another home may
// have granted meanwhile. If this heartbeat is the next after the last one
// here, no other home has received one, so none has granted.
func (c *core) resolveMissedView(now time.Time, r *record, sequence uint64) {
	if !r.missedView {
		return
	}
	r.missedView = false
	if sequence != r.heartbeatSequence+1 || c.hadRecentGap(now, r) {
		c.resetRecord(r)
	}
}

// hadRecentGap reports whether heartbeats may have gone to a home that this
// instance doesn't know of yet. Its view is no older than SettingsLease.
func (c *core) hadRecentGap(now time.Time, r *record) bool {
	return !r.lastGapAt.IsZero() && now.Sub(r.lastGapAt) <= c.limits.SettingsLease+c.limits.Heartbeat
}

// firstHeartbeat applies a handover that arrived before the endpoint's first
// heartbeat.
func (c *core) firstHeartbeat(now time.Time, r *record) {
	c.staticVersion++
	r.firstHeartbeatSequence = r.heartbeatSequence
	if h, ok := c.handovers[r.announced.ID]; ok {
		r.applyHandover(now, h.message, c.faults.anyHandover)
		delete(c.handovers, r.announced.ID)
	}
	if wait := r.noGrantsBefore.Sub(now); wait > 0 {
		c.recordEvent(timeline.KindEndpointJoin, r, "", fmt.Sprintf("first heartbeat here is number %d; no grant for %v", r.firstHeartbeatSequence, wait.Round(time.Millisecond)))
	}
}

// clearFailed forgets failed requests at an endpoint that turned out to be
// alive.
func (c *core) clearFailed(now time.Time, r *record) {
	for f, at := range r.failedFingerprints {
		if now.Sub(at) > c.limits.Heartbeat {
			delete(r.failedFingerprints, f)
		}
	}
}

func (c *core) applyHeldList(now time.Time, r *record, held []engineapi.Held) {
	listed := make(map[fleet.AttemptID]struct{}, len(held))
	for _, h := range held {
		if _, twice := listed[h.Attempt]; twice {
			continue
		}
		listed[h.Attempt] = struct{}{}
		c.applyHeld(now, r, h)
	}
	for key, h := range r.holds {
		if _, there := listed[key.attempt]; there {
			continue
		}
		if h.state == holdReported || h.state == holdReleased || !h.cancelledAt.IsZero() {
			c.free(now, r, h)
		}
	}
}

func (c *core) applyHeld(now time.Time, r *record, listed engineapi.Held) {
	known := r.byAttempt(listed.Attempt)
	if len(known) == 0 {
		known = []*hold{c.adopt(now, r, listed)}
	}
	for _, h := range known {
		if h.state == holdPending {
			h.state = holdActive
		}
		if h.listedAt.IsZero() {
			h.enteredAt = later(h.grantedAt, now.Add(-boundedMs(uint64(max(listed.AgeMs, 0)), time.Hour)))
		}
		h.listedAt = now
		h.expiresAt = now.Add(c.limits.GrantLife)
		h.stage = listed.Stage
	}
}

// adopt creates a hold for a listed attempt that has none here: an earlier home
// granted it, or its owner has released it and the endpoint still has it.
func (c *core) adopt(now time.Time, r *record, listed engineapi.Held) *hold {
	age := boundedMs(uint64(max(listed.AgeMs, 0)), time.Hour)
	h := &hold{
		key:       holdKey{attempt: listed.Attempt, kind: kindOf(listed.Stage)},
		state:     holdReported,
		owner:     listed.Owner,
		grantedAt: now.Add(-age),
	}
	for _, kind := range []fleet.EndpointRole{fleet.RolePrefill, fleet.RoleDecode, fleet.RolePlain} {
		at, released := r.releasedAt[holdKey{listed.Attempt, kind}]
		if released && at.After(h.releasedAt) {
			h.state = holdReleased
			h.releasedAt = at
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

// toCancel returns the cancelled attempts that the endpoint still lists.
func (r *record) toCancel() []fleet.AttemptID {
	var list []fleet.AttemptID
	for key, h := range r.holds {
		if !h.cancelledAt.IsZero() {
			list = append(list, key.attempt)
		}
	}
	return list
}
