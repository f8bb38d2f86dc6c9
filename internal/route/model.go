package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Complete runs a completion and passes its chunks to sink as they arrive. It returns
// once this call holds nothing for the request. The end of ctx cancels it at any
// stage.
func (r *Router) Complete(ctx context.Context, req ModelRequest, sink Sink) ModelResult {
	a := r.model(ctx, req, sink)
	r.metrics.requestEnded(kindModel, a.Failure)
	r.recordEnd(req.ID, req.Team, a.Failure)
	return a
}

func (r *Router) model(ctx context.Context, req ModelRequest, sink Sink) ModelResult {
	leave, failure := r.enter(req.Team)
	if failure != nil {
		return ModelResult{Failure: unknownIfKeyed(req.Key, failure)}
	}
	defer leave()
	r.record(timeline.Event{Kind: timeline.KindReceived, Request: req.ID, Team: req.Team})
	params, failure := resolveModelParams(r.opts.Source.State().Tree, req, r.bounds)
	if failure != nil {
		return ModelResult{Failure: failure}
	}
	ctx, stop := r.withAbort(ctx)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, r.bounds.MaxRequestDuration)
	defer cancel()
	f := r.hash.modelFingerprint(req, params.model, params.maxOutputTokens)
	if req.Key != "" {
		return r.runOrJoin(ctx, req, params, f, sink)
	}
	return r.newActiveModelRequest(req, params, f, sink).admitAndRun(ctx)
}

// unknownIfKeyed changes the outcome of a refusal of a keyed request from "not run"
// to "unknown". It is used where the ledger can't be asked: another copy with the
// same key may have run elsewhere. The caller may repeat the request at another
// address.
func unknownIfKeyed(key string, f *Failure) *Failure {
	if key == "" || f == nil || f.Outcome != callerapi.OutcomeNotRun {
		return f
	}
	out := *f
	out.Outcome = callerapi.OutcomeUnknown
	return &out
}

func (m *activeModelRequest) admitAndRun(ctx context.Context) ModelResult {
	done, failure := m.admit()
	if failure != nil {
		return ModelResult{Failure: failure}
	}
	defer done()
	return m.result(m.run(ctx))
}

func (m *activeModelRequest) result(f *Failure) ModelResult {
	return ModelResult{Finish: m.finish, PromptTokens: m.promptTokens, OutputTokens: m.passedTokens, Failure: f}
}

// admit asks the admission controller once, with the waits that the candidates report
// now. done must be called when the request ends.
func (m *activeModelRequest) admit() (done func(), failure *Failure) {
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

func (m *activeModelRequest) admissionRequest() admission.Request {
	a := &attempt{request: m}
	w := predictWaits(
		m.router.opts.Follower.Candidates(a.query(fleet.RolePrefill)),
		m.router.opts.Follower.Candidates(a.query(fleet.RoleDecode)),
		m.params.maxOutputTokens,
	)
	prefill, _ := m.predictPrefill()
	transfer := a.transferTime()
	return admission.Request{
		Team:          m.req.Team,
		Limits:        m.params.team.Limits,
		Share:         m.params.team.Share,
		WorkMs:        float64(prefill.Milliseconds()) + float64(w.tokenTime.Milliseconds())*float64(m.params.maxOutputTokens),
		Patience:      m.admissionPatience(prefill + transfer),
		PredictedWait: w.timeToFirstToken(prefill, transfer),
		DrainPerSec:   w.drainPerSec,
		Queued:        w.queued,
		PromptTokens:  m.params.promptTokens,
		RequestID:     m.req.ID,
	}
}

// admissionPatience returns the maximum wait with which the request is admitted. A
// request that would miss its team's target for the first token is refused at once;
// if admitted it would be late and delay those behind it, until all answers of an
// overloaded fleet are late. idleTime is the time that it takes on idle engines.
// If that alone exceeds the target, the request may queue for the target's time on
// top of it, since otherwise such a long prompt would always be refused.
func (m *activeModelRequest) admissionPatience(idleTime time.Duration) time.Duration {
	target := m.params.team.Targets.FirstToken
	if target <= 0 {
		return m.remaining()
	}
	if idleTime > target {
		return min(m.remaining(), idleTime+target)
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

// noPolicyFailure returns the failure when the settings name policies unknown to this
// build and there are no previous ones.
func noPolicyFailure() *Failure {
	return refused(callerapi.CodeInternal, "the settings name policies that this build doesn't know", 5*time.Second)
}
