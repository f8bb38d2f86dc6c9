package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/placement"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Router runs requests at one entry. Safe for many goroutines.
type Router struct {
	opts     Options
	bounds   Bounds
	hash     hasher
	policies *policyCache
	links    *links
	calls    *callTable
	flight   *flight
	seen     *seen
	resting  *resting
	metrics  *metrics
	life     context.Context // ended by abort
	abort    context.CancelCauseFunc

	admissionMu sync.Mutex // serialises opts.Admission

	randomMu sync.Mutex
	random   *rand.Rand // guarded by randomMu
}

// New makes a Router. It starts no goroutine of its own.
func New(o Options) *Router {
	r := &Router{
		opts:     o,
		bounds:   o.Bounds.withDefaults(),
		hash:     hasher{secret: o.Secret},
		policies: newPolicyCache(o.Policies),
		calls:    newCallTable(),
		seen:     newSeen(),
		resting:  newResting(),
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
	}
	r.life, r.abort = context.WithCancelCause(context.Background())
	if o.Prefill == nil {
		r.opts.Prefill = schedule.NewPrefillPredictor()
	}
	r.links = newLinks(o.Links)
	r.flight = newFlight(r.bounds.Running)
	r.metrics = newMetrics(o.Registerer, r.flight)
	return r
}

// Refuses tells whether a request of team would be refused whatever it is, so
// that its body need not be read: a body that is never read can't linger in a
// zone that the team forbids.
func (r *Router) Refuses(team fleet.Team, key string) *Failure {
	if r.flight.closed(time.Now()) {
		return unsureOfKey(key, stopping())
	}
	return unsureOfKey(key, r.checkSelf(team))
}

// checkSelf refuses what this entry may not take.
//
// A daemon that can't confirm its lease could place by settings that are no
// longer in force: it shows as a request served in a zone that the team has
// just forbidden. Refusing before anything else is looked at rules it out.
func (r *Router) checkSelf(team fleet.Team) *Failure {
	if !r.opts.Source.Current(time.Now()) {
		return refused(callerapi.CodeNotCurrent, "this entry can't confirm its settings now", 0)
	}
	refusal := placement.CheckEntry(r.opts.Source.State().Tree, team, r.opts.Source.Self().Zone)
	if refusal != nil && refusal.Cause == placement.CauseNotCurrent {
		return refused(callerapi.CodeNotCurrent, "this entry has no settings yet", 0)
	}
	if refusal != nil {
		return notRun(callerapi.CodeNoZone, "this entry's availability zone is not permitted for the team", 0)
	}
	return nil
}

// enter counts a request in, or refuses it at once.
func (r *Router) enter(team fleet.Team) (leave func(), failure *Failure) {
	if r.flight.closed(time.Now()) {
		return nil, stopping() // whatever else is true of an entry that leaves
	}
	if failure := r.checkSelf(team); failure != nil {
		return nil, failure
	}
	leave, entered := r.flight.enter(time.Now())
	if !entered.draining && !entered.full {
		return leave, nil
	}
	if entered.draining {
		return nil, stopping()
	}
	return nil, refused(callerapi.CodeOverloaded, "this entry holds all the requests that it can", 0)
}

func stopping() *Failure { return refused(callerapi.CodeDraining, "this entry is stopping", 0) }

func (r *Router) admit(a admission.Request) admission.Decision {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	return r.opts.Admission.Admit(time.Now(), a)
}

func (r *Router) admissionDone(a admission.Request) {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	r.opts.Admission.Done(time.Now(), a)
}

func (r *Router) admissionSaw(a admission.Request, waited time.Duration) {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	r.opts.Admission.FirstToken(time.Now(), a, waited)
}

func (r *Router) mayRetry(team fleet.Team, failed fleet.EndpointID) bool {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	return r.opts.Admission.MayRetry(time.Now(), team, failed)
}

// mayTryAgain spends a retry. One after a grant that ran out is free: no byte
// left under it, and the tries of a request are bounded all the same.
func (r *Router) mayTryAgain(team fleet.Team, s *setback) bool {
	return s.cause == causeGrantOver || r.mayRetry(team, s.endpoint)
}

func (r *Router) succeeded(team fleet.Team, by fleet.EndpointID) {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	r.opts.Admission.Succeeded(time.Now(), team, by)
}

func (r *Router) choose(c schedule.Choice, q schedule.Request, from []endpoint.Candidate) (endpoint.Candidate, bool) {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return c.Choose(q, from, r.random)
}

func (r *Router) record(e timeline.Event) { r.opts.Recorder.Record(e) }

func (r *Router) owner() fleet.Owner { return r.opts.Source.Self().Owner() }

// Running tells how many requests are in flight here.
func (r *Router) Running() int { return r.flight.running() }
