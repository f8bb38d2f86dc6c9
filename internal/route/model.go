package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Model runs a completion and gives its chunks to sink as they come. It
// returns once nothing of the request is held by this call: the end of ctx
// cancels it at whatever stage it is.
func (r *Router) Model(ctx context.Context, req ModelRequest, sink Sink) Answer {
	a := r.model(ctx, req, sink)
	r.metrics.ended(kindModel, a.Failure)
	r.recordEnd(req.ID, req.Team, a.Failure)
	return a
}

func (r *Router) model(ctx context.Context, req ModelRequest, sink Sink) Answer {
	leave, failure := r.enter(req.Team)
	if failure != nil {
		return Answer{Failure: unsureOfKey(req.Key, failure)}
	}
	defer leave()
	r.record(timeline.Event{Kind: timeline.KindReceived, Request: req.ID, Team: req.Team})
	c, failure := classify(r.opts.Source.State().Tree, req, r.bounds)
	if failure != nil {
		return Answer{Failure: failure}
	}
	ctx, stop := r.abortable(ctx)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, r.bounds.StreamTime)
	defer cancel()
	f := r.hash.modelFingerprint(req, c.model, c.output)
	if req.Key != "" {
		return r.keyed(ctx, req, c, f, sink)
	}
	return r.newRun(req, c, f, sink).admitAndRun(ctx)
}

// unsureOfKey keeps a refusal truthful at an entry that can't ask the ledger:
// another copy under the same key may have run elsewhere, so that nothing is
// promised about it. The caller may repeat it at another address.
func unsureOfKey(key string, f *Failure) *Failure {
	if key == "" || f == nil || f.Outcome != callerapi.OutcomeNotRun {
		return f
	}
	out := *f
	out.Outcome = callerapi.OutcomeUnknown
	return &out
}

func (m *modelRun) admitAndRun(ctx context.Context) Answer {
	done, failure := m.admit()
	if failure != nil {
		return Answer{Failure: failure}
	}
	defer done()
	return m.answer(m.run(ctx))
}

func (m *modelRun) answer(f *Failure) Answer {
	return Answer{Finish: m.finish, PromptTokens: m.promptTokens, OutputTokens: m.passed, Failure: f}
}

// admit asks admission once, by what the candidates promise now.
func (m *modelRun) admit() (done func(), failure *Failure) {
	q := m.admissionRequest()
	d := m.router.admit(q)
	if !d.Admitted {
		return nil, admissionRefusal(d)
	}
	m.admitted = q
	return func() { m.router.admissionDone(q) }, nil
}

func admissionRefusal(d admission.Decision) *Failure {
	if d.Final {
		return notRun(d.Code, "it can't be served within the limits", 0)
	}
	return refused(d.Code, "it can't be served in time now", d.RetryAfter)
}

func (m *modelRun) admissionRequest() admission.Request {
	a := &attempt{run: m}
	w := predictWaits(
		m.router.opts.Follower.Candidates(a.query(fleet.RolePrefill)),
		m.router.opts.Follower.Candidates(a.query(fleet.RoleDecode)),
		m.class.output,
	)
	prefill, _ := m.predictPrefill()
	transfer := a.transferTime()
	return admission.Request{
		Team:          m.req.Team,
		Limits:        m.class.team.Limits,
		Share:         m.class.team.Share,
		Work:          float64(prefill.Milliseconds()) + float64(w.tokenTime.Milliseconds())*float64(m.class.output),
		Patience:      m.admissionPatience(prefill + transfer),
		PredictedWait: w.firstToken(prefill, transfer),
		DrainPerSec:   w.drainPerSec,
		Queued:        w.queued,
		PromptTokens:  m.class.prompt,
		RequestID:     m.req.ID,
	}
}

// admissionPatience is the longest wait with which a request is taken. One that
// would miss its team's target is refused at once: taken, it would be late and
// make those behind it late too, until all answers of an overloaded fleet are.
// own is what the request takes on idle engines: a prompt so long that this
// alone passes the target may queue for as long as the target besides, since
// refusing it would refuse it for ever.
func (m *modelRun) admissionPatience(own time.Duration) time.Duration {
	target := m.class.team.Targets.FirstToken
	if target <= 0 {
		return m.remaining()
	}
	if own > target {
		return min(m.remaining(), own+target)
	}
	return min(m.remaining(), target)
}

func (r *Router) recordEnd(id fleet.RequestID, team fleet.Team, f *Failure) {
	e := timeline.Event{Kind: timeline.KindCompleted, Request: id, Team: team}
	if f != nil {
		e.Kind = timeline.KindFailed
		e.Detail = string(f.Code) + " " + string(f.Outcome)
	}
	if f != nil && f.Outcome == callerapi.OutcomeNotRun {
		e.Kind = timeline.KindRefused
	}
	r.record(e)
}

// noPolicy is the failure when the settings name policies unknown to this
// build and none was in force before.
func noPolicy() *Failure {
	return refused(callerapi.CodeInternal, "the settings name policies that this build doesn't know", 5*time.Second)
}
