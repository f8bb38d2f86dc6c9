package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// attempt is one attempt at a model request. It has its own ID and holds at most
// one grant of a prefill engine and one of a decode engine.
type attempt struct {
	request      *activeModelRequest
	id           fleet.AttemptID
	alone        bool
	prefill      *heldGrant
	decode       *heldGrant
	earlyGrant   *earlyGrant // decode grant requested while prefill runs
	kv           kvCache
	plan         schedule.StartPlan
	linkBooking  *linkBooking           // booking for the KV transfer; nil: none
	tokens       int                    // output tokens of this attempt
	software     fleet.RequiredSoftware // of its engines
	checkedState *membership.State      // settings for which the decode engine's zone was last checked
}

// kvCache is the result of a prefill and the time when it expires.
type kvCache struct {
	reply       engineapi.PrefillReply
	expires     time.Time
	transferred bool
}

// runAttempt makes one attempt and releases everything that it held.
func (m *activeModelRequest) runAttempt(ctx context.Context) (failed *attemptFailure) {
	a := &attempt{request: m, id: newAttemptID(), software: m.software}
	if failed = a.checkParts(); failed != nil {
		return failed
	}
	if failed = a.awaitTurn(ctx); failed != nil {
		return failed
	}
	// The grants are released even if a stage panics; the attempt then counts as failed.
	failed = &attemptFailure{cause: causeRefused}
	defer func() { a.release(failed) }()
	failed = a.runStages(ctx)
	a.recordParts(ctx, failed)
	return failed
}

// runStages runs the attempt from the choice of endpoints to the last token.
func (a *attempt) runStages(ctx context.Context) *attemptFailure {
	for _, stage := range []func(context.Context) *attemptFailure{
		a.planStart,
		a.acquirePrefillSlot,
		a.runPrefill,
		a.acquireDecodeSlot,
		a.transferKV,
		a.runDecode,
	} {
		if ctx.Err() != nil {
			return &attemptFailure{cause: causeFromContext(ctx)}
		}
		if failed := stage(ctx); failed != nil {
			return failed
		}
	}
	return nil
}

// release releases each grant once and reports the end of the attempt to the
// quarantine guard.
func (a *attempt) release(failed *attemptFailure) {
	r := a.request.router
	a.earlyGrant.abandon(r)
	a.releaseLink(0)
	a.request.addPendingCancel(a.prefill)
	a.request.addPendingCancel(a.decode)
	if failed != nil && a.prefill != nil && a.prefill.maybeSent && !a.kv.transferred {
		r.metrics.wastedPrefillTokens.Add(float64(a.kv.reply.PromptTokens))
	}
	r.release(a.prefill, failed, 0)
	r.release(a.decode, failed, a.tokens)
	r.opts.Guard.End(a.request.fingerprint, a.request.params.permitted, a.id, failed == nil, failed.endpointMayHaveCrashed())
	if failed != nil && failed.cause == causeCallerDisconnected {
		a.request.recordEvent(timeline.KindCancelled, a.id, "")
	}
}

// engineWork returns the description of the attempt that is sent to an engine.
func (a *attempt) engineWork(t engine.Target, patience time.Duration) engineapi.Work {
	return engineapi.Work{
		Attempt:     a.id,
		Owner:       a.request.router.owner(),
		Endpoint:    t.ID,
		Incarnation: t.Incarnation,
		Model:       a.request.params.model,
		Priority:    a.request.params.priority,
		DeadlineMs:  max(patience.Milliseconds(), 1),
	}
}

// markSent records that bytes may have reached the endpoint, unless err proves that
// none was sent.
func (a *attempt) markSent(h *heldGrant, err error) {
	if provesNotSent(err) {
		return
	}
	h.maybeSent = true
	a.request.maybeSent = true
}

func (a *attempt) query(kind fleet.EndpointRole) endpoint.Query {
	return endpoint.Query{Kind: kind, Model: a.request.params.model, Permitted: a.permitted()}
}

// permitted returns the team's permitted zones. It reads the current settings each
// time, so that narrowed settings apply to new choices too and not only to the
// check before a send.
func (a *attempt) permitted() fleet.ZoneSet {
	team, ok := a.request.router.opts.Source.State().Tree.Teams[a.request.req.Team]
	if !ok {
		return fleet.ZoneSet{}
	}
	return team.Permitted()
}
