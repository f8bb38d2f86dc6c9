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

// Call runs a call of a plain service and gives its whole answer, or why
// there is none. A call that may not be repeated is claimed at the ledger
// before its first byte leaves, and sent at most once.
func (r *Router) Call(ctx context.Context, req CallRequest) (*CallAnswer, *Failure) {
	answer, failure := r.call(ctx, req)
	r.metrics.ended(kindCall, failure)
	r.recordEnd(req.ID, req.Team, failure)
	return answer, failure
}

func (r *Router) call(ctx context.Context, req CallRequest) (*CallAnswer, *Failure) {
	leave, failure := r.enter(req.Team)
	if failure != nil {
		return nil, unsureOfKey(req.Key, failure)
	}
	defer leave()
	r.record(timeline.Event{Kind: timeline.KindReceived, Request: req.ID, Team: req.Team})
	c, failure := classifyCall(r.opts.Source.State().Tree, req, r.bounds)
	if failure != nil {
		return nil, failure
	}
	ctx, stop := r.abortable(ctx)
	defer stop()
	m := r.newCallRun(req, c)
	// Only after a panic is a hold still there.
	defer func() { r.free(m.held, nil, 0) }()
	defer m.arrivals.account.Close()
	if c.idempotent {
		return m.repeatable(ctx)
	}
	return m.once(ctx)
}

// callRun is one plain call over its attempts. One goroutine owns it.
type callRun struct {
	router      *Router
	req         CallRequest
	class       callClass
	fingerprint fleet.Fingerprint
	gate        engine.Gate
	arrivals    *arrivals
	avoid       endpointSet
	deadline    time.Time // for the endpoint to be chosen and free
	held        *hold     // the newest
}

func (r *Router) newCallRun(req CallRequest, c callClass) *callRun {
	return &callRun{
		router:      r,
		req:         req,
		class:       c,
		fingerprint: r.hash.callFingerprint(req),
		gate:        placement.Gate(r.opts.Source, req.Team, r.opts.Recorder),
		arrivals:    r.openArrivals(req.ID, servicePool+req.Service),
		avoid:       endpointSet{},
		deadline:    req.Arrived.Add(c.patience),
	}
}

// unclaimed makes a refusal before the claim true over all entries.
func (m *callRun) unclaimed(ctx context.Context, f *Failure) *Failure {
	if m.req.Key == "" {
		return f
	}
	return m.router.truthful(ctx, forbidInput{
		team: m.req.Team, key: m.req.Key, permitted: m.class.permitted, fingerprint: m.fingerprint,
	}, f)
}

func (m *callRun) event(k timeline.Kind, a fleet.AttemptID, at fleet.EndpointID) {
	m.router.record(timeline.Event{Kind: k, Request: m.req.ID, Attempt: a, Team: m.req.Team, Endpoint: at})
}

func (m *callRun) query() endpoint.Query {
	q := endpoint.Query{Kind: fleet.RolePlain, Service: m.req.Service}
	if team, ok := m.router.opts.Source.State().Tree.Teams[m.req.Team]; ok {
		q.Permitted = team.Permitted()
	}
	return q
}

// admit asks admission once.
func (m *callRun) admit() (done func(), failure *Failure) {
	w := predictWaits(nil, m.router.opts.Follower.Candidates(m.query()), 0)
	q := admission.Request{
		Team:          m.req.Team,
		Limits:        m.class.team.Limits,
		Share:         m.class.team.Share,
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

// take chooses an endpoint and gets a slot at it from its home.
func (m *callRun) take(ctx context.Context, id fleet.AttemptID, alone bool) (*hold, *setback) {
	policies, ok := m.router.policies.get(m.router.opts.Source.State().Tree.Fleet.Decisions)
	if !ok {
		return nil, final(noPolicy())
	}
	avoid := m.avoid.with()
	var last *setback
	for range grantTries {
		candidates, rest := m.router.open(ctx, m.query(), m.deadline)
		chosen, ok := m.router.choose(policies.Plain, m.scheduleRequest(avoid), allowed(candidates, avoid))
		if !ok && last == nil {
			return nil, noCandidate(candidates, rest)
		}
		if !ok {
			return nil, last
		}
		h, s := m.askHome(ctx, chosen, id, alone, max(time.Until(m.deadline), 0))
		if s == nil {
			return h, nil
		}
		if s.cause != causeFull {
			return nil, s
		}
		avoid.add(chosen.ID)
		last = worse(last, s)
	}
	return nil, last
}

func (m *callRun) scheduleRequest(avoid endpointSet) schedule.Request {
	return schedule.Request{
		Team:      m.req.Team,
		EntryZone: m.router.opts.Source.Self().Zone,
		Avoid:     avoid,
	}
}

func (m *callRun) askHome(ctx context.Context, c endpoint.Candidate, id fleet.AttemptID, alone bool, wait time.Duration) (*hold, *setback) {
	grant, refusal, err := m.router.opts.Follower.Take(ctx, endpoint.GrantRequest{
		Endpoint:    c.ID,
		Kind:        fleet.RolePlain,
		Attempt:     id,
		Team:        m.req.Team,
		Wait:        wait,
		Share:       m.class.team.Share,
		Priority:    m.class.priority,
		Fingerprint: m.fingerprint,
		Alone:       alone,
	})
	switch {
	case ctx.Err() != nil:
		m.router.returnUnused(grant)
		return nil, &setback{cause: fromContext(ctx)}
	case err != nil:
		return nil, &setback{cause: causeFull}
	case refusal != nil:
		m.event(timeline.KindGrantRefused, id, c.ID)
		return nil, &setback{cause: causeFull, retryAfter: refusal.RetryAfter}
	}
	m.event(timeline.KindGranted, id, c.ID)
	m.held = newHold(*grant, time.Now())
	return m.held, nil
}
