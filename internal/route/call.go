package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/placement"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Call runs a call of a plain service and returns its complete response, or the
// failure. A call that must not be repeated is claimed at the ledger before its
// first byte is sent, and is sent at most once.
func (r *Router) Call(ctx context.Context, req CallRequest) (*CallResponse, *Failure) {
	answer, failure := r.call(ctx, req)
	r.metrics.requestEnded(kindCall, failure)
	r.recordEnd(req.ID, req.Team, failure)
	return answer, failure
}

func (r *Router) call(ctx context.Context, req CallRequest) (*CallResponse, *Failure) {
	leave, failure := r.enter(req.Team)
	if failure != nil {
		return nil, unknownIfKeyed(req.Key, failure)
	}
	defer leave()
	r.record(timeline.Event{Kind: timeline.KindReceived, Request: req.ID, Team: req.Team})
	params, failure := resolveCallParams(r.opts.Source.State().Tree, req, r.bounds)
	if failure != nil {
		return nil, failure
	}
	ctx, stop := r.withAbort(ctx)
	defer stop()
	c := r.newActiveCall(req, params)
	// The grant is still held here only after a panic.
	defer func() { r.release(c.latestGrant, nil, 0) }()
	defer c.arrivals.account.Close()
	if params.idempotent {
		return c.runRepeatable(ctx)
	}
	return c.runOnce(ctx)
}

// activeCall is the state of one plain call over all its attempts. It is owned by
// one goroutine.
type activeCall struct {
	router      *Router
	req         CallRequest
	params      callParams
	fingerprint fleet.Fingerprint
	gate        engine.Gate
	arrivals    *arrivals
	avoid       endpointSet
	deadline    time.Time // for getting a slot at an endpoint
	latestGrant *heldGrant
}

func (r *Router) newActiveCall(req CallRequest, params callParams) *activeCall {
	return &activeCall{
		router:      r,
		req:         req,
		params:      params,
		fingerprint: r.hash.callFingerprint(req),
		gate:        placement.Gate(r.opts.Source, req.Team, r.opts.Recorder),
		arrivals:    r.openArrivals(req.ID, servicePool+req.Service),
		avoid:       endpointSet{},
		deadline:    req.Arrived.Add(params.patience),
	}
}

// refuseUnclaimed returns f, a refusal before the claim. For a keyed call it first
// records the refusal at the ledger, so that it holds at all entries.
func (c *activeCall) refuseUnclaimed(ctx context.Context, f *Failure) *Failure {
	if c.req.Key == "" {
		return f
	}
	return c.router.confirmNotRun(ctx, forbidInput{
		team: c.req.Team, key: c.req.Key, permitted: c.params.permitted, fingerprint: c.fingerprint,
	}, f)
}

func (c *activeCall) recordEvent(k timeline.Kind, a fleet.AttemptID, at fleet.EndpointID) {
	c.router.record(timeline.Event{Kind: k, Request: c.req.ID, Attempt: a, Team: c.req.Team, Endpoint: at})
}

func (c *activeCall) query() endpoint.Query {
	q := endpoint.Query{Kind: fleet.RolePlain, Service: c.req.Service}
	if team, ok := c.router.opts.Source.State().Tree.Teams[c.req.Team]; ok {
		q.Permitted = team.Permitted()
	}
	return q
}

// admit asks the admission controller once. done must be called when the call ends.
func (c *activeCall) admit() (done func(), failure *Failure) {
	w := predictWaits(nil, c.router.opts.Follower.Candidates(c.query()), 0)
	q := admission.Request{
		Team:          c.req.Team,
		Limits:        c.params.team.Limits,
		Share:         c.params.team.Share,
		WorkMs:        1,
		Patience:      time.Until(c.deadline),
		PredictedWait: w.decode,
		Queued:        w.queued,
		RequestID:     c.req.ID,
	}
	d := c.router.admit(q)
	if !d.Admitted {
		return nil, admissionRefusal(d)
	}
	return func() { c.router.admissionDone(q) }, nil
}

// acquireSlot chooses an endpoint and requests a grant from its home. If that is
// refused for want of a slot, it tries other endpoints.
func (c *activeCall) acquireSlot(ctx context.Context, id fleet.AttemptID, alone bool) (*heldGrant, *attemptFailure) {
	policies, ok := c.router.policies.get(c.router.opts.Source.State().Tree.Fleet.Decisions)
	if !ok {
		return nil, finalAttemptFailure(noPolicyFailure())
	}
	avoid := c.avoid.copyWith()
	var last *attemptFailure
	for range maxGrantRequests {
		candidates, cooldown := c.router.availableCandidates(ctx, c.query, c.deadline)
		chosen, ok := c.router.choose(policies.Plain, c.scheduleRequest(avoid), withoutAvoided(candidates, avoid))
		if !ok && last == nil {
			return nil, noCandidateFailure(candidates, cooldown)
		}
		if !ok {
			return nil, last
		}
		h, failed := c.requestGrant(ctx, chosen, id, alone, max(time.Until(c.deadline), 0))
		if failed == nil {
			return h, nil
		}
		if failed.cause != causeNoSlot {
			return nil, failed
		}
		avoid.add(chosen.ID)
		last = earlierRetry(last, failed)
	}
	return nil, last
}

func (c *activeCall) scheduleRequest(avoid endpointSet) schedule.Request {
	return schedule.Request{
		Team:      c.req.Team,
		EntryZone: c.router.opts.Source.Self().Zone,
		Avoid:     avoid,
	}
}

func (c *activeCall) requestGrant(ctx context.Context, candidate endpoint.Candidate, id fleet.AttemptID, alone bool, wait time.Duration) (*heldGrant, *attemptFailure) {
	grant, refusal, err := c.router.opts.Follower.Acquire(ctx, endpoint.GrantRequest{
		Endpoint:    candidate.ID,
		Kind:        fleet.RolePlain,
		Attempt:     id,
		Team:        c.req.Team,
		MaxWait:     wait,
		Share:       c.params.team.Share,
		Priority:    c.params.priority,
		Fingerprint: c.fingerprint,
		Alone:       alone,
	})
	switch {
	case ctx.Err() != nil:
		c.router.releaseUnused(grant)
		return nil, &attemptFailure{cause: causeFromContext(ctx)}
	case err != nil:
		return nil, &attemptFailure{cause: causeNoSlot}
	case refusal != nil:
		c.recordEvent(timeline.KindGrantRefused, id, candidate.ID)
		return nil, &attemptFailure{cause: causeNoSlot, retryAfter: refusal.RetryAfter}
	}
	c.recordEvent(timeline.KindGranted, id, candidate.ID)
	c.latestGrant = newHeldGrant(*grant, time.Now())
	return c.latestGrant, nil
}
