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
	c, failure := resolveCallParams(r.opts.Source.State().Tree, req, r.bounds)
	if failure != nil {
		return nil, failure
	}
	ctx, stop := r.withAbort(ctx)
	defer stop()
	m := r.newActiveCall(req, c)
	// The grant is still held here only after a panic.
	defer func() { r.release(m.latestGrant, nil, 0) }()
	defer m.arrivals.account.Close()
	if c.idempotent {
		return m.runRepeatable(ctx)
	}
	return m.runOnce(ctx)
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

func (r *Router) newActiveCall(req CallRequest, c callParams) *activeCall {
	return &activeCall{
		router:      r,
		req:         req,
		params:      c,
		fingerprint: r.hash.callFingerprint(req),
		gate:        placement.Gate(r.opts.Source, req.Team, r.opts.Recorder),
		arrivals:    r.openArrivals(req.ID, servicePool+req.Service),
		avoid:       endpointSet{},
		deadline:    req.Arrived.Add(c.patience),
	}
}

// refuseUnclaimed returns f, a refusal before the claim. For a keyed call it first
// records the refusal at the ledger, so that it holds at all entries.
func (m *activeCall) refuseUnclaimed(ctx context.Context, f *Failure) *Failure {
	if m.req.Key == "" {
		return f
	}
	return m.router.confirmNotRun(ctx, forbidInput{
		team: m.req.Team, key: m.req.Key, permitted: m.params.permitted, fingerprint: m.fingerprint,
	}, f)
}

func (m *activeCall) recordEvent(k timeline.Kind, a fleet.AttemptID, at fleet.EndpointID) {
	m.router.record(timeline.Event{Kind: k, Request: m.req.ID, Attempt: a, Team: m.req.Team, Endpoint: at})
}

func (m *activeCall) query() endpoint.Query {
	q := endpoint.Query{Kind: fleet.RolePlain, Service: m.req.Service}
	if team, ok := m.router.opts.Source.State().Tree.Teams[m.req.Team]; ok {
		q.Permitted = team.Permitted()
	}
	return q
}

// admit asks the admission controller once. done must be called when the call ends.
func (m *activeCall) admit() (done func(), failure *Failure) {
	w := predictWaits(nil, m.router.opts.Follower.Candidates(m.query()), 0)
	q := admission.Request{
		Team:          m.req.Team,
		Limits:        m.params.team.Limits,
		Share:         m.params.team.Share,
		Work:          1,
		Patience:      time.Until(m.deadline),
		PredictedWait: w.decode,
		Queued:        w.queued,
		RequestID:     m.req.ID,
	}
	d := m.router.admit(q)
	if !d.Admitted {
		return nil, admissionRefusal(d)
	}
	return func() { m.router.admissionDone(q) }, nil
}

// acquireSlot chooses an endpoint and requests a grant from its home. If that is
// refused for want of a slot, it tries other endpoints.
func (m *activeCall) acquireSlot(ctx context.Context, id fleet.AttemptID, alone bool) (*heldGrant, *attemptFailure) {
	policies, ok := m.router.policies.get(m.router.opts.Source.State().Tree.Fleet.Decisions)
	if !ok {
		return nil, finalAttemptFailure(noPolicyFailure())
	}
	avoid := m.avoid.copyWith()
	var last *attemptFailure
	for range maxGrantRequests {
		candidates, cooldown := m.router.availableCandidates(ctx, m.query(), m.deadline)
		chosen, ok := m.router.choose(policies.Plain, m.scheduleRequest(avoid), withoutAvoided(candidates, avoid))
		if !ok && last == nil {
			return nil, noCandidateFailure(candidates, cooldown)
		}
		if !ok {
			return nil, last
		}
		h, failed := m.requestGrant(ctx, chosen, id, alone, max(time.Until(m.deadline), 0))
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

func (m *activeCall) scheduleRequest(avoid endpointSet) schedule.Request {
	return schedule.Request{
		Team:      m.req.Team,
		EntryZone: m.router.opts.Source.Self().Zone,
		Avoid:     avoid,
	}
}

func (m *activeCall) requestGrant(ctx context.Context, c endpoint.Candidate, id fleet.AttemptID, alone bool, wait time.Duration) (*heldGrant, *attemptFailure) {
	grant, refusal, err := m.router.opts.Follower.Take(ctx, endpoint.GrantRequest{
		Endpoint:    c.ID,
		Kind:        fleet.RolePlain,
		Attempt:     id,
		Team:        m.req.Team,
		Wait:        wait,
		Share:       m.params.team.Share,
		Priority:    m.params.priority,
		Fingerprint: m.fingerprint,
		Alone:       alone,
	})
	switch {
	case ctx.Err() != nil:
		m.router.releaseUnused(grant)
		return nil, &attemptFailure{cause: causeFromContext(ctx)}
	case err != nil:
		return nil, &attemptFailure{cause: causeNoSlot}
	case refusal != nil:
		m.recordEvent(timeline.KindGrantRefused, id, c.ID)
		return nil, &attemptFailure{cause: causeNoSlot, retryAfter: refusal.RetryAfter}
	}
	m.recordEvent(timeline.KindGranted, id, c.ID)
	m.latestGrant = newHeldGrant(*grant, time.Now())
	return m.latestGrant, nil
}
