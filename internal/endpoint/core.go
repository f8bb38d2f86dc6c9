package endpoint

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// core decides for all endpoints of one home. Pure: each step takes now and
// typed input; what is to be done outside is left in effects. Not safe for
// concurrent use.
type core struct {
	self      fleet.Owner
	limits    Limits
	view      fleet.View
	current   bool // this instance's leases hold
	tenure    *tenure
	handed    map[fleet.EndpointID]handedAt
	predictor *Predictor
	endpoints map[fleet.EndpointID]*record
	crashed   map[fleet.EndpointID]fleet.Incarnation // reported
	left      map[fleet.EndpointID]fleet.Incarnation // said that they leave, here or to another entry
	out       effects
	order     uint64
	sequence  uint64 // of digests
	statics   uint64 // version of what brief digests leave out
	caches    uint64 // version of the cache indexes together
	lastTick  time.Time
	awake     time.Time // since when this process has run without a stall
	guards    guards
}

// guards switches protections off in proofs that need to fail without them.
type guards struct {
	noQuiet, noSweep, noReleasedNote, noStallGuard, anyHandover, noDoubt, earlyLapse bool
}

func newCore(now time.Time, self fleet.Owner, limits Limits, seed uint64) *core {
	return &core{
		self:      self,
		limits:    limits,
		tenure:    newTenure(now, self, limits),
		predictor: NewPredictor(rand.New(rand.NewPCG(seed, 1))),
		endpoints: make(map[fleet.EndpointID]*record),
		crashed:   make(map[fleet.EndpointID]fleet.Incarnation),
		left:      make(map[fleet.EndpointID]fleet.Incarnation),
		lastTick:  now,
		awake:     now,
		handed:    make(map[fleet.EndpointID]handedAt),
		statics:   1,
		caches:    1,
	}
}

// drain hands the effects over.
func (c *core) drain() effects {
	out := c.out
	c.out = effects{}
	return out
}

// observe takes the daemon's view and whether its leases hold. Endpoints whose
// home is elsewhere by the new view lose their queue and get no grant from
// here on.
func (c *core) observe(now time.Time, view fleet.View, current bool) {
	if current && !c.current {
		c.awake = now
	}
	c.current = current
	fresh, missed := c.tenure.observe(now, view)
	if !fresh {
		return
	}
	was := make(map[*record]bool, len(c.endpoints))
	for _, r := range c.endpoints {
		was[r] = c.isHome(r)
	}
	c.view = view
	for _, r := range c.endpoints {
		// The failure: this instance slept through a view in which another was
		// home, and goes on granting beside what that one granted. The guard:
		// nothing is granted until the next heartbeat tells; see resolveDoubt.
		r.doubt = (r.doubt || missed) && !c.guards.noDoubt
		if r.doubt && c.skippedLately(now, r) {
			r.complete = false
		}
		c.moved(now, r, was[r], c.isHome(r))
	}
}

// moved takes note that r has another home. What an earlier home knows of it
// is no longer whole, so an endpoint that comes back is rebuilt like a new one.
func (c *core) moved(now time.Time, r *record, was, is bool) {
	if was == is {
		return
	}
	c.statics++
	if was {
		c.refuseAll(r, c.notHome(r))
		c.handOver(now, r)
		return
	}
	c.rebuild(r)
}

// rebuild treats r like an endpoint that has just come.
func (c *core) rebuild(r *record) {
	r.beat = false
	r.complete = false
	r.quiet = later(r.quiet, c.tenure.quiet(r.announced.ID, r.announced.Zone))
	c.statics++
}

// homeOf gives the home of r by the present view.
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

func (c *core) notHome(r *record) answer {
	a := refused(pb.GrantStatus_GRANT_STATUS_NOT_HOME)
	if home, ok := c.homeOf(r); ok && home.Owner() != c.self {
		a.homeAddress = home.RPCAddress
	}
	return a
}

// refuseAll ends the queue of r with one answer.
func (c *core) refuseAll(r *record, a answer) {
	for _, w := range r.queue.all() {
		c.end(r, w, a)
	}
}

func (c *core) end(r *record, w *waiting, a answer) {
	r.queue.remove(w)
	c.out.answers = append(c.out.answers, answered{to: w, answer: a})
}

// tick does what time brings: leases and grants that ran out, waits that can't
// be kept, and sweeps.
func (c *core) tick(now time.Time) {
	if now.Sub(c.lastTick) > c.limits.EndpointLease/2 {
		// The failure: this process was frozen; on waking it finds every
		// endpoint silent and reports all that ran there as suspects. The
		// guard: silence is judged only after a whole lease of running.
		c.awake = now
	}
	c.lastTick = now
	c.dropHanded(now)
	for id, r := range c.endpoints {
		c.tickRecord(now, id, r)
	}
}

func (c *core) tickRecord(now time.Time, id fleet.EndpointID, r *record) {
	silence := now.Sub(r.heard)
	if silence >= c.limits.EndpointLease && c.isHome(r) {
		c.fallSilent(now, r)
	}
	if silence >= c.limits.EndpointLease+2*c.limits.GrantLife && now.Sub(c.awake) > c.limits.EndpointLease {
		c.refuseAll(r, refused(pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT))
		delete(c.endpoints, id)
		c.statics++
		return
	}
	if !r.crashAt.IsZero() && !now.Before(r.crashAt) {
		c.died(now, r)
	}
	if c.guards.earlyLapse {
		c.lapse(now, r)
	}
	c.sweep(now, r)
	c.pump(now, r)
	c.shed(now, r)
	for key, at := range r.released {
		if now.Sub(at) > 2*c.limits.GrantLife+c.limits.releaseGrace() {
			delete(r.released, key)
		}
	}
}

// fallSilent stops grants and, once it is sure that not this process was the
// one that slept, asks for a probe: only an endpoint that doesn't answer it is
// taken for crashed.
func (c *core) fallSilent(now time.Time, r *record) {
	if !r.silent {
		r.silent = true
		c.statics++
		c.refuseAll(r, refused(pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT))
		c.note(timeline.KindEndpointLost, r, "", "lease ran out")
	}
	stalled := !c.current || now.Sub(c.awake) < c.limits.EndpointLease
	if stalled && !c.guards.noStallGuard {
		return
	}
	c.probe(now, r)
}

const probeEvery = time.Second

func (c *core) probe(now time.Time, r *record) {
	if now.Sub(r.probed) < probeEvery || c.crashed[r.announced.ID] >= r.announced.Incarnation {
		return
	}
	r.probed = now
	c.out.probes = append(c.out.probes, r.target())
}

// ready tells whether r may be granted at now.
func (c *core) ready(now time.Time, r *record) bool {
	if !c.current || !c.isHome(r) || r.leaving || r.silent || r.doubt || !r.beat {
		return false
	}
	if r.beatAt.Before(r.quiet) && !c.guards.noQuiet {
		return false // what began last isn't in the held list yet
	}
	return now.Sub(r.heard) < c.limits.EndpointLease
}

func (c *core) note(kind timeline.Kind, r *record, attempt fleet.AttemptID, detail string) {
	c.out.events = append(c.out.events, timeline.Event{
		Kind: kind, Endpoint: r.announced.ID, Attempt: attempt, Detail: detail,
	})
}

// known finds the record of an endpoint incarnation.
func (c *core) known(id fleet.EndpointID, incarnation fleet.Incarnation) (*record, bool) {
	r, ok := c.endpoints[id]
	if !ok || r.announced.Incarnation != incarnation {
		return nil, false
	}
	return r, true
}

// leave stops grants of an endpoint at once, and those of its next
// incarnations not. It tells whether this instance is the home, and so whether
// no more grants are given. Another instance keeps the note for the time when
// it becomes home: a leaving endpoint still sends heartbeats, which don't say
// that it leaves.
func (c *core) leave(id fleet.EndpointID, incarnation fleet.Incarnation) (confirmed bool) {
	c.noteLeft(id, incarnation)
	r, ok := c.endpoints[id]
	if !ok || r.announced.Incarnation > incarnation {
		return false
	}
	if !r.leaving {
		r.leaving = true
		c.statics++
		c.refuseAll(r, refused(pb.GrantStatus_GRANT_STATUS_LEAVING))
		c.note(timeline.KindEndpointLeave, r, "", "")
	}
	return c.isHome(r)
}

func (c *core) noteLeft(id fleet.EndpointID, incarnation fleet.Incarnation) {
	if c.left[id] >= incarnation {
		return
	}
	if len(c.left) >= maxCrashNotes {
		for old := range c.left {
			if _, here := c.endpoints[old]; !here {
				delete(c.left, old)
				break
			}
		}
	}
	c.left[id] = incarnation
}
