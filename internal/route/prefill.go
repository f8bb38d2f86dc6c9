package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// planStart decides when prefill may start and waits until then. If the plan says so,
// it acquires the decode slot first.
func (a *attempt) planStart(ctx context.Context) *attemptFailure {
	m := a.request
	decode, cooldown := a.availableCandidates(ctx, fleet.RoleDecode)
	if len(withoutAvoided(decode, m.avoid)) == 0 {
		return noCandidateFailure(decode, cooldown)
	}
	soonest := predictWaits(nil, withoutAvoided(decode, m.avoid), m.params.maxOutputTokens).decode
	a.plan = m.policies.Start.Plan(a.startInput(soonest))
	if !a.plan.ReserveFirst {
		return pause(ctx, a.plan.Delay)
	}
	h, failed := a.acquireSlot(ctx, a.decodeSlotRequest(m.remaining()))
	if failed != nil {
		return failed
	}
	a.decode = h
	revised := m.policies.Start.Plan(a.startInput(h.grant.ReadyIn))
	return pause(ctx, min(revised.Delay, m.remaining()))
}

func (a *attempt) decodeSlotRequest(wait time.Duration) slotRequest {
	return slotRequest{kind: fleet.RoleDecode, choice: a.request.policies.Decode, maxWait: wait, lead: max(a.plan.LeadTime, 0)}
}

func (a *attempt) startInput(decodeReady time.Duration) schedule.StartInput {
	m := a.request
	r := m.router
	work, spread := m.predictPrefill()
	queue := predictWaits(r.opts.Follower.Candidates(a.query(fleet.RolePrefill)), nil, 0).prefill
	return schedule.StartInput{
		DecodeReadyIn:    decodeReady,
		PrefillTime:      queue + work,
		TransferTime:     a.transferTime(),
		KVLife:           m.params.timeouts.KVLife,
		WasteWeight:      m.params.team.WastedPrefillWeight,
		PredictionStdDev: spread,
	}
}

func (a *attempt) acquirePrefillSlot(ctx context.Context) *attemptFailure {
	w := slotRequest{kind: fleet.RolePrefill, choice: a.request.policies.Prefill, maxWait: a.request.remaining()}
	h, failed := a.acquireSlot(ctx, w)
	if failed != nil {
		return failed
	}
	a.prefill = h
	return nil
}

// runPrefill computes the KV cache for the prompt and the output that the caller
// already has.
func (a *attempt) runPrefill(ctx context.Context) *attemptFailure {
	m := a.request
	prefillCtx, cancel := context.WithDeadline(ctx, m.deadline)
	defer cancel()
	if a.decode == nil {
		work, spread := m.predictPrefill()
		wait := work + spread + m.params.timeouts.KVLife
		a.earlyGrant = a.requestGrantEarly(ctx, a.decodeSlotRequest(min(wait, m.remaining())))
	}
	expected, _ := m.predictPrefill()
	a.bookLink(time.Now().Add(a.prefill.grant.ReadyIn+expected), m.params.kvBytes())
	if !m.prefillArrivals.reserveSend() {
		return overBudgetFailure()
	}
	m.recordEvent(timeline.KindPrefillStart, a.id, a.prefill.target.ID)
	a.prefill.sentAt = time.Now()
	reply, err := m.router.opts.Engine.Prefill(prefillCtx, a.prefill.target, m.router.grantGate(a.prefill, m.gate), engineapi.PrefillRequest{
		Work:      a.engineWork(a.prefill.target, m.remaining()),
		Prompt:    m.req.Prompt + m.text.String(),
		MaxTokens: m.params.maxOutputTokens - m.passedTokens,
	})
	m.prefillArrivals.recordSend(a.prefill.target.ID, err)
	a.markSent(a.prefill, err)
	if err != nil {
		return a.prefillFailed(ctx, prefillCtx, err)
	}
	m.recordEvent(timeline.KindPrefillEnd, a.id, a.prefill.target.ID)
	a.recordPartsAnswered(fleet.RolePrefill)
	a.keepKVCache(reply)
	return nil
}

// prefillFailed returns the failure of a prefill that ended with err. If the request's
// deadline ended it, the cause is causeDeadline and not a stalled engine.
func (a *attempt) prefillFailed(ctx, prefillCtx context.Context, err error) *attemptFailure {
	failed := attemptFailureFromError(ctx, prefillCtx, err)
	if failed.cause == causeStalled && prefillCtx.Err() != nil {
		failed.cause = causeDeadline
	}
	return failed
}

// keepKVCache records the KV cache. It expires after the shorter of the engine's time
// and the settings' KVLife.
func (a *attempt) keepKVCache(reply engineapi.PrefillReply) {
	m := a.request
	life := m.params.timeouts.KVLife
	if expiresIn := time.Duration(reply.ExpiresMs) * time.Millisecond; expiresIn > 0 && (life <= 0 || expiresIn < life) {
		life = expiresIn
	}
	a.kv = kvCache{reply: reply, expires: time.Now().Add(life)}
	if m.passedTokens == 0 {
		m.promptTokens = reply.PromptTokens
	}
	m.router.opts.Prefill.Observe(reply.PromptTokens-reply.CachedTokens, millis(reply.WorkMs))
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// acquireDecodeSlot waits for the early grant until the KV cache expires.
func (a *attempt) acquireDecodeSlot(ctx context.Context) *attemptFailure {
	if a.decode != nil {
		return nil
	}
	waitCtx, cancel := context.WithDeadline(ctx, a.kv.expires)
	defer cancel()
	h, failed := a.earlyGrant.wait(waitCtx)
	if failed == nil {
		a.decode = h
		return nil
	}
	if ctx.Err() == nil && waitCtx.Err() != nil {
		return &attemptFailure{cause: causeNoSlot}
	}
	return failed
}
