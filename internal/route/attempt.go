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

// attempt is one try: its own ID, at most one hold at a prefill and one at a
// decode engine.
type attempt struct {
	run     *modelRun
	id      fleet.AttemptID
	alone   bool
	prefill *hold
	decode  *hold
	early   *earlyTake // a decode grant asked for while prefill runs
	kv      kvCache
	plan    schedule.StartPlan
	link    *linkUse          // booked for the KV transfer; nil: none
	tokens  int               // output tokens of this attempt
	checked *membership.State // under which the decode engine's zone was last looked at
}

// kvCache is a prefill's result and how long it lives.
type kvCache struct {
	reply   engineapi.PrefillReply
	expires time.Time
	moved   bool
}

// try makes one attempt and frees all that it held, however it ends.
func (m *modelRun) try(ctx context.Context) (s *setback) {
	a := &attempt{run: m, id: newAttemptID()}
	if s = a.begin(ctx); s != nil {
		return s
	}
	// Should a stage panic, its holds are freed all the same.
	s = &setback{cause: causeRefused}
	defer func() { a.close(s) }()
	s = a.stages(ctx)
	return s
}

// stages runs the attempt from the choice of endpoints to the last token.
func (a *attempt) stages(ctx context.Context) *setback {
	for _, stage := range []func(context.Context) *setback{
		a.chooseAndPlan,
		a.takePrefill,
		a.runPrefill,
		a.takeDecode,
		a.moveKV,
		a.runDecode,
	} {
		if ctx.Err() != nil {
			return &setback{cause: fromContext(ctx)}
		}
		if s := stage(ctx); s != nil {
			return s
		}
	}
	return nil
}

// close gives back each hold once and tells the fingerprint's guard how the
// run ended.
func (a *attempt) close(s *setback) {
	r := a.run.router
	a.early.abandon(r)
	a.leaveLink(0)
	a.run.noteLeftover(a.prefill)
	a.run.noteLeftover(a.decode)
	if s != nil && a.prefill != nil && a.prefill.touched && !a.kv.moved {
		r.metrics.wasted.Add(float64(a.kv.reply.PromptTokens))
	}
	r.free(a.prefill, s, 0)
	r.free(a.decode, s, a.tokens)
	r.opts.Guard.End(a.run.fingerprint, a.run.class.permitted, a.id, s == nil, s.crashed())
	if s != nil && s.cause == causeCallerGone {
		a.run.event(timeline.KindCancelled, a.id, "")
	}
}

// work names the attempt to an engine.
func (a *attempt) work(t engine.Target, patience time.Duration) engineapi.Work {
	return engineapi.Work{
		Attempt:     a.id,
		Owner:       a.run.router.owner(),
		Endpoint:    t.ID,
		Incarnation: t.Incarnation,
		Model:       a.run.class.model,
		Priority:    a.run.class.priority,
		DeadlineMs:  max(patience.Milliseconds(), 1),
	}
}

// touch notes that bytes may be at the hold's endpoint unless err proves that
// none left.
func (a *attempt) touch(h *hold, err error) {
	if neverSent(err) {
		return
	}
	h.touched = true
	a.run.touched = true
}

func (a *attempt) query(kind fleet.EndpointRole) endpoint.Query {
	return endpoint.Query{Kind: kind, Model: a.run.class.model, Permitted: a.permitted()}
}

// permitted is read afresh for each choice, so that narrowed settings also
// steer new choices and not only the last check.
func (a *attempt) permitted() fleet.ZoneSet {
	team, ok := a.run.router.opts.Source.State().Tree.Teams[a.run.req.Team]
	if !ok {
		return fleet.ZoneSet{}
	}
	return team.Permitted()
}
