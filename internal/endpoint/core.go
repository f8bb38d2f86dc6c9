package endpoint

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// core decides for all endpoints of one home. It does no I/O and reads no
// clock: each step takes the time and typed input, and leaves what is to be
// done in effects. It is not safe for concurrent use.
type core struct {
	self           fleet.Owner
	limits         Limits
	view           fleet.View
	current        bool // this instance's leases are valid
	viewHistory    *viewHistory
	handovers      map[fleet.EndpointID]receivedHandover
	predictor      *Predictor
	endpoints      map[fleet.EndpointID]*record
	crashed        map[fleet.EndpointID]fleet.Incarnation // whose crash was reported
	left           map[fleet.EndpointID]fleet.Incarnation // that sent a leave, here or to another entry
	effects        effects
	arrivals       uint64
	digestSequence uint64
	staticVersion  uint64 // of the data that brief digests omit
	cacheVersion   uint64 // of all cache indexes together
	lastTick       time.Time
	runningSince   time.Time // since when this process has run without a stall
	faults         testFaults
}

// testFaults disables protections, for tests that must fail without them.
type testFaults struct {
	noGrantDelay, noSweep, noReleaseRecord, noStallGuard, anyHandover, noMissedViewCheck, earlyExpiry bool
}

func newCore(now time.Time, self fleet.Owner, limits Limits, seed uint64) *core {
	return &core{
		self:          self,
		limits:        limits,
		viewHistory:   newViewHistory(now, self, limits),
		predictor:     NewPredictor(rand.New(rand.NewPCG(seed, 1))),
		endpoints:     make(map[fleet.EndpointID]*record),
		crashed:       make(map[fleet.EndpointID]fleet.Incarnation),
		left:          make(map[fleet.EndpointID]fleet.Incarnation),
		lastTick:      now,
		runningSince:  now,
		handovers:     make(map[fleet.EndpointID]receivedHandover),
		staticVersion: 1,
		cacheVersion:  1,
	}
}

// takeEffects returns the effects so far and clears them.
func (c *core) takeEffects() effects {
	out := c.effects
	c.effects = effects{}
	return out
}

// observe applies the daemon's view and whether its leases are valid. Endpoints
// whose home is elsewhere by the new view lose their queue and get no more
// grants here.
func (c *core) observe(now time.Time, view fleet.View, current bool) {
	if current && !c.current {
		c.runningSince = now
	}
	c.current = current
	fresh, missed := c.viewHistory.observe(now, view)
	if !fresh {
		return
	}
	wasHome := make(map[*record]bool, len(c.endpoints))
	for _, r := range c.endpoints {
		wasHome[r] = c.isHome(r)
	}
	c.view = view
	for _, r := range c.endpoints {
		// In a view that this instance missed, another one may have been the
		// home and have granted slots. Nothing is granted until the next
		// heartbeat shows whether that was so; see resolveMissedView.
		r.missedView = (r.missedView || missed) && !c.faults.noMissedViewCheck
		if r.missedView && c.hadRecentGap(now, r) {
			r.knowsAllGrants = false
		}
		c.homeChanged(now, r, wasHome[r], c.isHome(r))
	}
}

// homeChanged handles a change of r's home. An earlier home's record of an
// endpoint is no longer complete, so when this instance becomes the home, it
// treats the endpoint like a new one.
func (c *core) homeChanged(now time.Time, r *record, wasHome, isHome bool) {
	if wasHome == isHome {
		return
	}
	c.staticVersion++
	if wasHome {
		c.refuseAll(r, c.notHome(r))
		c.handOver(now, r)
		return
	}
	c.resetRecord(r)
}

// resetRecord treats r like an endpoint that has just joined.
func (c *core) resetRecord(r *record) {
	r.hasHeldList = false
	r.knowsAllGrants = false
	r.noGrantsBefore = later(r.noGrantsBefore, c.viewHistory.noGrantsBefore(r.announced.ID, r.announced.Zone))
	c.staticVersion++
}

// homeOf returns the home of r by the current view.
func (c *core) homeOf(r *record) (fleet.Instance, bool) {
	if !r.homeKnown || r.homeView != c.view.Number {
		home, ok := fleet.HomeOf(r.announced.ID, r.announced.Zone, c.view)
		r.home, r.homeKnown, r.homeView = home, ok, c.view.Number
	}
	return r.home, r.homeKnown
}

func (c *core) isHome(r *record) bool {
	home, ok := c.homeOf(r)
	return ok && home.Owner() == c.self
}

func (c *core) notHome(r *record) response {
	a := refused(pb.GrantStatus_GRANT_STATUS_NOT_HOME)
	if home, ok := c.homeOf(r); ok && home.Owner() != c.self {
		a.homeAddress = home.RPCAddress
	}
	return a
}

// refuseAll sends one response to all queued requests of r.
func (c *core) refuseAll(r *record, a response) {
	for _, w := range r.queue.all() {
		c.respondQueued(r, w, a)
	}
}

func (c *core) respondQueued(r *record, w *queuedRequest, a response) {
	r.queue.remove(w)
	c.effects.responses = append(c.effects.responses, queuedResponse{to: w, response: a})
}

// tick handles the passing of time: expired leases and grants, queued requests
// that can't be served in time, and sweeps.
func (c *core) tick(now time.Time) {
	if now.Sub(c.lastTick) > c.limits.EndpointLease/2 {
		// After a stall of this process every endpoint seems silent, and all
		// requests running there would be reported as suspects. So silence
		// counts only after this process has run for a whole lease.
		c.runningSince = now
	}
	c.lastTick = now
	c.dropOldHandovers(now)
	for id, r := range c.endpoints {
		c.tickRecord(now, id, r)
	}
}

func (c *core) tickRecord(now time.Time, id fleet.EndpointID, r *record) {
	silence := now.Sub(r.lastContact)
	if silence >= c.limits.EndpointLease && c.isHome(r) {
		c.expireLease(now, r)
	}
	if silence >= c.limits.EndpointLease+2*c.limits.GrantLife && now.Sub(c.runningSince) > c.limits.EndpointLease {
		c.refuseAll(r, refused(pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT))
		delete(c.endpoints, id)
		c.staticVersion++
		return
	}
	if !r.crashReportAt.IsZero() && !now.Before(r.crashReportAt) {
		c.reportCrash(now, r)
	}
	if c.faults.earlyExpiry {
		c.freeExpired(now, r)
	}
	c.sweep(now, r)
	c.dispatchQueued(now, r)
	c.refuseOverdue(now, r)
	for key, at := range r.releasedAt {
		if now.Sub(at) > 2*c.limits.GrantLife+c.limits.releaseGrace() {
			delete(r.releasedAt, key)
		}
	}
}

// expireLease stops grants. Unless this process itself was stalled, it also
// requests a probe: only an endpoint that doesn't answer it counts as crashed.
func (c *core) expireLease(now time.Time, r *record) {
	if !r.unreachable {
		r.unreachable = true
		c.staticVersion++
		c.refuseAll(r, refused(pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT))
		c.recordEvent(timeline.KindEndpointLost, r, "", "lease ran out")
	}
	stalled := !c.current || now.Sub(c.runningSince) < c.limits.EndpointLease
	if stalled && !c.faults.noStallGuard {
		return
	}
	c.probe(now, r)
}

const minProbeInterval = time.Second

func (c *core) probe(now time.Time, r *record) {
	if now.Sub(r.probedAt) < minProbeInterval || c.crashed[r.announced.ID] >= r.announced.Incarnation {
		return
	}
	r.probedAt = now
	c.effects.probes = append(c.effects.probes, r.target())
}

// mayGrant reports whether slots of r may be granted at now.
func (c *core) mayGrant(now time.Time, r *record) bool {
	if !c.current || !c.isHome(r) || r.leaving || r.unreachable || r.missedView || !r.hasHeldList {
		return false
	}
	if r.heldListAt.Before(r.noGrantsBefore) && !c.faults.noGrantDelay {
		return false // the held list may lack the work that began last
	}
	return now.Sub(r.lastContact) < c.limits.EndpointLease
}

func (c *core) recordEvent(kind timeline.Kind, r *record, attempt fleet.AttemptID, detail string) {
	c.effects.events = append(c.effects.events, timeline.Event{
		Kind: kind, Endpoint: r.announced.ID, Attempt: attempt, Detail: detail,
	})
}

// lookup returns the record of an endpoint incarnation.
func (c *core) lookup(id fleet.EndpointID, incarnation fleet.Incarnation) (*record, bool) {
	r, ok := c.endpoints[id]
	if !ok || r.announced.Incarnation != incarnation {
		return nil, false
	}
	return r, true
}

// leave stops all grants of an endpoint incarnation; later incarnations aren't
// affected. It reports whether this instance is the home, so that no more
// grants are issued. Other instances remember the leave in case they become the
// home: a leaving endpoint still sends heartbeats, which don't mention the
// leave.
func (c *core) leave(id fleet.EndpointID, incarnation fleet.Incarnation) (confirmed bool) {
	c.rememberLeft(id, incarnation)
	r, ok := c.endpoints[id]
	if !ok || r.announced.Incarnation > incarnation {
		return false
	}
	if !r.leaving {
		r.leaving = true
		c.staticVersion++
		c.refuseAll(r, refused(pb.GrantStatus_GRANT_STATUS_LEAVING))
		c.recordEvent(timeline.KindEndpointLeave, r, "", "")
	}
	return c.isHome(r)
}

func (c *core) rememberLeft(id fleet.EndpointID, incarnation fleet.Incarnation) {
	if c.left[id] >= incarnation {
		return
	}
	if len(c.left) >= maxRememberedIncarnations {
		for old := range c.left {
			if _, here := c.endpoints[old]; !here {
				delete(c.left, old)
				break
			}
		}
	}
	c.left[id] = incarnation
}
