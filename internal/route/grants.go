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

// maxGrantRequests limits how many homes one stage asks for a grant, not counting
// refusals because a home is moving.
const maxGrantRequests = 3

// slotRequest describes the slot that a stage needs.
type slotRequest struct {
	kind    fleet.EndpointRole
	choice  schedule.ChoicePolicy
	maxWait time.Duration // in a home's queue
	lead    time.Duration
}

// acquireSlot chooses an endpoint and requests a grant from its home. If that is
// refused, it tries another endpoint.
//
// While one instance stops and another joins, each home asked may have just handed
// the endpoint over, not know it yet, or be unreachable. Counted as refusals, such
// answers would use up the candidates within milliseconds although slots are free.
// They are therefore retried for up to maxHomeMoveDuration.
func (a *attempt) acquireSlot(ctx context.Context, w slotRequest) (*heldGrant, *attemptFailure) {
	began := time.Now()
	avoid, moving := a.request.avoid.copyWith(), false
	var last *attemptFailure
	for requested := 0; requested < maxGrantRequests; {
		chosen, failed := a.chooseEndpoint(ctx, w, avoid)
		switch {
		case failed != nil && last == nil:
			return nil, failed
		case failed != nil && moving && time.Since(began) < maxHomeMoveDuration:
			if failed := pause(ctx, absencePollInterval); failed != nil {
				return nil, failed
			}
			avoid, moving = a.request.avoid.copyWith(), false
			continue
		case failed != nil:
			return nil, last
		}
		remaining := max(w.maxWait-time.Since(began), 0)
		h, failed := a.requestGrant(ctx, w, chosen, remaining)
		if failed == nil {
			a.requireSoftware(chosen)
			return h, nil
		}
		if failed.cause != causeNoSlot {
			return nil, failed
		}
		avoid.add(chosen.ID)
		last = earlierRetry(last, failed)
		moving = moving || failed.homeMoving
		if !failed.homeMoving {
			requested++
		}
	}
	return nil, last
}

// earlierRetry returns the failure with the shorter retry delay; b if only b or
// neither states one.
func earlierRetry(a, b *attemptFailure) *attemptFailure {
	if a != nil && a.retryAfter > 0 && (b.retryAfter == 0 || a.retryAfter < b.retryAfter) {
		return a
	}
	return b
}

func (a *attempt) chooseEndpoint(ctx context.Context, w slotRequest, avoid endpointSet) (endpoint.Candidate, *attemptFailure) {
	candidates, cooldown := a.availableCandidates(ctx, w.kind)
	chosen, ok := a.request.router.choose(w.choice, a.scheduleRequest(avoid), withoutAvoided(candidates, avoid))
	if !ok {
		return endpoint.Candidate{}, noCandidateFailure(candidates, cooldown)
	}
	return chosen, nil
}

// noCandidateFailure returns the failure when no endpoint can be chosen: all are in a
// cooldown, the first of which ends after cooldown; there are none; or all are avoided.
func noCandidateFailure(candidates []endpoint.Candidate, cooldown time.Duration) *attemptFailure {
	if len(candidates) == 0 && cooldown > 0 {
		return &attemptFailure{cause: causeNoSlot, retryAfter: cooldown}
	}
	if len(candidates) == 0 {
		return &attemptFailure{cause: causeNoEndpoint}
	}
	return &attemptFailure{cause: causeExhausted}
}

// withoutAvoided returns the candidates that aren't to be avoided. It ensures that a
// retry never goes to an endpoint that just failed the request, even if a choice
// ignores Avoid.
func withoutAvoided(candidates []endpoint.Candidate, avoid endpointSet) []endpoint.Candidate {
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
	m := a.request
	var prefixes []uint64
	if m.router.opts.PrefixHashes != nil {
		prefixes = m.router.opts.PrefixHashes(m.params.model, m.req.Prompt)
	}
	return schedule.Request{
		Team:           m.req.Team,
		EntryZone:      a.preferredZone(),
		PromptTokens:   m.params.promptTokens,
		ExpectedTokens: m.params.maxOutputTokens - m.passedTokens,
		Prefixes:       prefixes,
		KVBytes:        m.params.kvBytes(),
		Avoid:          avoid,
	}
}

func (a *attempt) requestGrant(ctx context.Context, w slotRequest, c endpoint.Candidate, wait time.Duration) (*heldGrant, *attemptFailure) {
	m := a.request
	if c.Queued > 0 || c.SlotWait > 0 {
		m.recordEvent(timeline.KindQueued, a.id, c.ID)
	}
	grant, refusal, err := m.router.opts.Follower.Acquire(ctx, endpoint.GrantRequest{
		Endpoint:       c.ID,
		Kind:           w.kind,
		Attempt:        a.id,
		Team:           m.req.Team,
		Model:          m.params.model,
		PromptTokens:   m.params.promptTokens,
		ExpectedTokens: m.params.maxOutputTokens - m.passedTokens,
		MaxWait:        wait,
		Lead:           w.lead,
		Share:          m.params.team.Share,
		Priority:       m.params.priority,
		Fingerprint:    m.fingerprint,
		Alone:          a.alone,
	})
	switch {
	case ctx.Err() != nil:
		m.router.releaseUnused(grant)
		return nil, &attemptFailure{cause: causeFromContext(ctx)}
	case err != nil:
		return nil, &attemptFailure{cause: causeNoSlot, homeMoving: true}
	case refusal != nil:
		m.recordEvent(timeline.KindGrantRefused, a.id, c.ID)
		return nil, &attemptFailure{cause: causeNoSlot, retryAfter: refusal.RetryAfter, homeMoving: isHomeMoving(refusal.Status)}
	}
	if grant.Incarnation != c.Incarnation {
		// It has restarted, and its software version is not known here yet.
		m.router.releaseUnused(grant)
		return nil, &attemptFailure{cause: causeNoSlot, homeMoving: true}
	}
	m.recordEvent(timeline.KindGranted, a.id, c.ID)
	return newHeldGrant(*grant, time.Now()), nil
}

// isHomeMoving reports whether a grant was refused because the endpoint's home is
// moving, rather than for want of a slot.
func isHomeMoving(s pb.GrantStatus) bool {
	return s == pb.GrantStatus_GRANT_STATUS_NOT_HOME || s == pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT
}

// releaseUnused releases a grant that arrived too late to be used.
func (r *Router) releaseUnused(g *endpoint.Grant) {
	if g != nil {
		r.release(newHeldGrant(*g, time.Now()), nil, 0)
	}
}
