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

// Router runs requests at one entry. It is safe for concurrent use.
type Router struct {
	opts         Options
	bounds       Bounds
	hash         hasher
	policies     *policyCache
	links        *links
	shared       *sharedRequests
	inFlight     *inFlightRequests
	lastSeen     *lastSeenTimes
	cooldowns    *cooldowns
	metrics      *metrics
	abortContext context.Context // cancelled by Abort
	cancelAll    context.CancelCauseFunc

	admissionMu sync.Mutex // serialises calls to opts.Admission

	randomMu sync.Mutex
	random   *rand.Rand // guarded by randomMu
}

// New returns a Router. It starts no goroutines.
func New(o Options) *Router {
	r := &Router{
		opts:      o,
		bounds:    o.Bounds.withDefaults(),
		hash:      hasher{secret: o.Secret},
		policies:  newPolicyCache(o.Policies),
		shared:    newSharedRequests(),
		lastSeen:  newLastSeenTimes(),
		cooldowns: newCooldowns(),
		random:    rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
	}
	r.abortContext, r.cancelAll = context.WithCancelCause(context.Background())
	if o.Prefill == nil {
		r.opts.Prefill = schedule.NewPrefillPredictor()
	}
	r.links = newLinks(o.Links)
	r.inFlight = newInFlightRequests(r.bounds.MaxRunningRequests)
	r.metrics = newMetrics(o.Registerer, r.inFlight)
	return r
}

// EarlyRefusal returns the failure of a request that team may not make at this entry,
// whatever its body, or nil. Callers check it before they read the body, so that
// no body enters an availability zone that the team's settings forbid.
func (r *Router) EarlyRefusal(team fleet.Team, key string) *Failure {
	if r.inFlight.closed(time.Now()) {
		return unknownIfKeyed(key, drainingFailure())
	}
	return unknownIfKeyed(key, r.checkEntry(team))
}

// checkEntry returns a failure unless this entry may serve the team.
//
// An entry that can't confirm its lease may hold outdated settings and could
// serve a request in a zone that the team has just forbidden. It therefore
// refuses before any other check.
func (r *Router) checkEntry(team fleet.Team) *Failure {
	if !r.opts.Source.Current(time.Now()) {
		return refused(callerapi.CodeNotCurrent, "this entry can't confirm its settings now", 0)
	}
	refusal := placement.CheckEntry(r.opts.Source.State().Tree, team, r.opts.Source.Self().Zone)
	if refusal != nil && refusal.Cause == placement.CauseNotCurrent {
		return refused(callerapi.CodeNotCurrent, "this entry has no settings yet", 0)
	}
	if refusal != nil {
		return notRun(callerapi.CodeNoPermittedZone, "this entry's availability zone is not permitted for the team", 0)
	}
	return nil
}

// enter counts a request as in flight until leave is called, or returns why the
// entry doesn't accept it.
func (r *Router) enter(team fleet.Team) (leave func(), failure *Failure) {
	if r.inFlight.closed(time.Now()) {
		return nil, drainingFailure() // takes precedence over other refusals
	}
	if failure := r.checkEntry(team); failure != nil {
		return nil, failure
	}
	leave, refusal := r.inFlight.enter(time.Now())
	if !refusal.draining && !refusal.full {
		return leave, nil
	}
	if refusal.draining {
		return nil, drainingFailure()
	}
	return nil, refused(callerapi.CodeOverloaded, "this entry holds all the requests that it can", 0)
}

func drainingFailure() *Failure { return refused(callerapi.CodeDraining, "this entry is stopping", 0) }

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

func (r *Router) admissionFirstToken(a admission.Request, waited time.Duration) {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	r.opts.Admission.ObserveFirstToken(time.Now(), a, waited)
}

func (r *Router) mayRetry(team fleet.Team, failed fleet.EndpointID) bool {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	return r.opts.Admission.TakeRetry(time.Now(), team, failed)
}

// mayRetryAfter reports whether the retry budgets of the team and the endpoint allow a
// retry, and takes it from them. A retry after an expired
// grant is free: nothing was sent under the grant, and the attempts of a request
// are bounded anyway.
func (r *Router) mayRetryAfter(team fleet.Team, failed *attemptFailure) bool {
	return failed.cause == causeGrantExpired || r.mayRetry(team, failed.endpoint)
}

func (r *Router) recordSuccess(team fleet.Team, by fleet.EndpointID) {
	r.admissionMu.Lock()
	defer r.admissionMu.Unlock()
	r.opts.Admission.RecordSuccess(time.Now(), team, by)
}

func (r *Router) choose(c schedule.ChoicePolicy, q schedule.Request, from []endpoint.Candidate) (endpoint.Candidate, bool) {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return c.Choose(q, from, r.random)
}

func (r *Router) record(e timeline.Event) { r.opts.Recorder.Record(e) }

func (r *Router) owner() fleet.Owner { return r.opts.Source.Self().Owner() }

// RunningRequests returns the number of requests in flight at this entry.
func (r *Router) RunningRequests() int { return r.inFlight.running() }
