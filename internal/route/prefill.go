package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// chooseAndPlan decides when the prefill may start, and takes the decode slot
// first when the plan says so.
func (a *attempt) chooseAndPlan(ctx context.Context) *setback {
	m := a.run
	decode, rest := m.router.open(ctx, a.query(fleet.RoleDecode), m.deadline)
	if len(allowed(decode, m.avoid)) == 0 {
		return noCandidate(decode, rest)
	}
	soonest := predictWaits(nil, allowed(decode, m.avoid), m.class.output).decode
	a.plan = m.policies.Start.Plan(a.startInput(soonest))
	if !a.plan.ReserveFirst {
		return pause(ctx, a.plan.Delay)
	}
	h, s := a.take(ctx, a.wantDecode(m.remaining()))
	if s != nil {
		return s
	}
	a.decode = h
	again := m.policies.Start.Plan(a.startInput(h.grant.ReadyIn))
	return pause(ctx, min(again.Delay, m.remaining()))
}

func (a *attempt) wantDecode(wait time.Duration) want {
	return want{kind: fleet.RoleDecode, choice: a.run.policies.Decode, wait: wait, lead: max(a.plan.Lead, 0)}
}

func (a *attempt) startInput(decodeReady time.Duration) schedule.StartInput {
	m := a.run
	r := m.router
	work, spread := m.predictPrefill()
	queue := predictWaits(r.opts.Follower.Candidates(a.query(fleet.RolePrefill)), nil, 0).prefill
	return schedule.StartInput{
		DecodeReadyIn: decodeReady,
		PrefillTime:   queue + work,
		TransferTime:  a.transferTime(),
		KVLife:        m.class.timeouts.KVLife,
		WasteWeight:   m.class.team.WastedPrefillWeight,
		Spread:        spread,
	}
}

func (a *attempt) takePrefill(ctx context.Context) *setback {
	w := want{kind: fleet.RolePrefill, choice: a.run.policies.Prefill, wait: a.run.remaining()}
	h, s := a.take(ctx, w)
	if s != nil {
		return s
	}
	a.prefill = h
	return nil
}

// runPrefill computes the KV cache, for the prompt and for what the caller
// already has of the answer.
func (a *attempt) runPrefill(ctx context.Context) *setback {
	m := a.run
	local, cancel := context.WithDeadline(ctx, m.deadline)
	defer cancel()
	if a.decode == nil {
		work, spread := m.predictPrefill()
		wait := work + spread + m.class.timeouts.KVLife
		a.early = a.startEarly(ctx, a.wantDecode(min(wait, m.remaining())))
	}
	expected, _ := m.predictPrefill()
	a.bookLink(time.Now().Add(a.prefill.grant.ReadyIn+expected), m.class.kvBytes())
	if !m.reads.maySend() {
		return overBudget()
	}
	m.event(timeline.KindPrefillStart, a.id, a.prefill.target.ID)
	reply, err := m.router.opts.Engine.Prefill(local, a.prefill.target, m.router.gateUnder(a.prefill, m.gate), engineapi.PrefillRequest{
		Work:      a.work(a.prefill.target, m.remaining()),
		Prompt:    m.req.Prompt + m.text.String(),
		MaxTokens: m.class.output - m.passed,
	})
	m.reads.sent(a.prefill.target.ID, err)
	a.touch(a.prefill, err)
	if err != nil {
		return a.prefillFailed(ctx, local, err)
	}
	m.event(timeline.KindPrefillEnd, a.id, a.prefill.target.ID)
	a.keep(reply)
	return nil
}

// prefillFailed tells patience that ran out from an engine that failed.
func (a *attempt) prefillFailed(ctx, local context.Context, err error) *setback {
	s := fromError(ctx, local, err)
	if s.cause == causeStalled && local.Err() != nil {
		s.cause = causeDeadline
	}
	return s
}

// keep notes the KV cache, which lives for the shorter of what the engine says and what the settings allow.
func (a *attempt) keep(reply engineapi.PrefillReply) {
	m := a.run
	life := m.class.timeouts.KVLife
	if told := time.Duration(reply.ExpiresMs) * time.Millisecond; told > 0 && (life <= 0 || told < life) {
		life = told
	}
	a.kv = kvCache{reply: reply, expires: time.Now().Add(life)}
	if m.passed == 0 {
		m.promptTokens = reply.PromptTokens
	}
	m.router.opts.Prefill.Observe(reply.PromptTokens-reply.CachedTokens, millis(reply.WorkMs))
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// takeDecode waits for the decode slot while the KV cache lives.
func (a *attempt) takeDecode(ctx context.Context) *setback {
	if a.decode != nil {
		return nil
	}
	local, cancel := context.WithDeadline(ctx, a.kv.expires)
	defer cancel()
	h, s := a.early.wait(local)
	if s == nil {
		a.decode = h
		return nil
	}
	if ctx.Err() == nil && local.Err() != nil {
		return &setback{cause: causeFull}
	}
	return s
}
