package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// grantTries bounds how many homes one stage asks.
const grantTries = 3

// want is what a stage asks a home for.
type want struct {
	kind   fleet.EndpointRole
	choice schedule.Choice
	wait   time.Duration // longest wait in a home's queue
	lead   time.Duration
}

// take chooses an endpoint and asks its home for a slot, going to another
// endpoint when the first one's home refuses.
//
// Failure guarded: an instance stops while another joins, and each home that is
// asked has just given the endpoint away, has not heard of it yet, or is gone.
// Counted as refusals, such answers used up the request's endpoints within some
// ms while their slots were free. They are asked again, for as long as a move
// takes.
func (a *attempt) take(ctx context.Context, w want) (*hold, *setback) {
	began := time.Now()
	avoid, moving := a.run.avoid.with(), false
	var last *setback
	for tries := 0; tries < grantTries; {
		chosen, s := a.pick(ctx, w, avoid)
		switch {
		case s != nil && last == nil:
			return nil, s
		case s != nil && moving && time.Since(began) < homeMove:
			if s := pause(ctx, absencePoll); s != nil {
				return nil, s
			}
			avoid, moving = a.run.avoid.with(), false
			continue
		case s != nil:
			return nil, last
		}
		left := max(w.wait-time.Since(began), 0)
		h, s := a.askHome(ctx, w, chosen, left)
		if s == nil {
			return h, nil
		}
		if s.cause != causeFull {
			return nil, s
		}
		avoid.add(chosen.ID)
		last = worse(last, s)
		moving = moving || s.moved
		if !s.moved {
			tries++
		}
	}
	return nil, last
}

// worse keeps the refusal that says when to come back soonest.
func worse(a, b *setback) *setback {
	if a != nil && a.retryAfter > 0 && (b.retryAfter == 0 || a.retryAfter < b.retryAfter) {
		return a
	}
	return b
}

func (a *attempt) pick(ctx context.Context, w want, avoid endpointSet) (endpoint.Candidate, *setback) {
	candidates, rest := a.run.router.open(ctx, a.query(w.kind), a.run.deadline)
	chosen, ok := a.run.router.choose(w.choice, a.scheduleRequest(avoid), allowed(candidates, avoid))
	if !ok {
		return endpoint.Candidate{}, noCandidate(candidates, rest)
	}
	return chosen, nil
}

// noCandidate tells an empty place from one whose endpoints are all avoided, or rest for a
// while yet.
func noCandidate(candidates []endpoint.Candidate, rest time.Duration) *setback {
	if len(candidates) == 0 && rest > 0 {
		return &setback{cause: causeFull, retryAfter: rest}
	}
	if len(candidates) == 0 {
		return &setback{cause: causeNoEndpoint}
	}
	return &setback{cause: causeExhausted}
}

// allowed drops the endpoints to avoid: a retry never goes to an endpoint
// that just failed the request, whatever a choice makes of Avoid.
func allowed(candidates []endpoint.Candidate, avoid endpointSet) []endpoint.Candidate {
	if len(avoid) == 0 {
		return candidates
	}
	out := make([]endpoint.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if _, skip := avoid[c.ID]; !skip {
			out = append(out, c)
		}
	}
	return out
}

func (a *attempt) scheduleRequest(avoid endpointSet) schedule.Request {
	m := a.run
	var prefixes []uint64
	if m.router.opts.Prefixes != nil {
		prefixes = m.router.opts.Prefixes(m.class.model, m.req.Prompt)
	}
	return schedule.Request{
		Team:           m.req.Team,
		EntryZone:      a.near(),
		PromptTokens:   m.class.prompt,
		ExpectedTokens: m.class.output - m.passed,
		Prefixes:       prefixes,
		KVBytes:        m.class.kvBytes(),
		Avoid:          avoid,
	}
}

func (a *attempt) askHome(ctx context.Context, w want, c endpoint.Candidate, wait time.Duration) (*hold, *setback) {
	m := a.run
	if c.Queued > 0 || c.NextFree > 0 {
		m.event(timeline.KindQueued, a.id, c.ID)
	}
	grant, refusal, err := m.router.opts.Follower.Take(ctx, endpoint.GrantRequest{
		Endpoint:       c.ID,
		Kind:           w.kind,
		Attempt:        a.id,
		Team:           m.req.Team,
		Model:          m.class.model,
		PromptTokens:   m.class.prompt,
		ExpectedTokens: m.class.output - m.passed,
		Wait:           wait,
		Lead:           w.lead,
		Share:          m.class.team.Share,
		Priority:       m.class.priority,
		Fingerprint:    m.fingerprint,
		Alone:          a.alone,
	})
	switch {
	case ctx.Err() != nil:
		m.router.returnUnused(grant)
		return nil, &setback{cause: fromContext(ctx)}
	case err != nil:
		return nil, &setback{cause: causeFull, moved: true}
	case refusal != nil:
		m.event(timeline.KindGrantRefused, a.id, c.ID)
		return nil, &setback{cause: causeFull, retryAfter: refusal.RetryAfter, moved: homeMoves(refusal.Status)}
	}
	m.event(timeline.KindGranted, a.id, c.ID)
	return newHold(*grant, time.Now()), nil
}

// homeMoves tells whether a refusal is for want of the right home, not of a slot.
func homeMoves(s pb.GrantStatus) bool {
	return s == pb.GrantStatus_GRANT_STATUS_NOT_HOME || s == pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT
}

// returnUnused gives back a grant that came too late to be used.
func (r *Router) returnUnused(g *endpoint.Grant) {
	if g != nil {
		r.free(newHold(*g, time.Now()), nil, 0)
	}
}
