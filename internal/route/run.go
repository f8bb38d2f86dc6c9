package route

import (
	"context"
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/placement"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// activeModelRequest is the state of one model request over all its attempts. It
// is owned by one goroutine.
type activeModelRequest struct {
	router      *Router
	req         ModelRequest
	params      modelParams
	fingerprint fleet.Fingerprint
	parts       fleet.PromptParts // of the prompt; nil until they are needed
	gate        engine.Gate
	sink        Sink

	policies        Policies
	admitted        admission.Request
	prefillArrivals *arrivals // at prefill engines
	decodeArrivals  *arrivals // at decode engines
	avoid           endpointSet
	firstStall      transferStall
	deadline        time.Time // for the next token
	attempts        int
	passedTokens    int // output tokens passed to the sink
	text            strings.Builder
	software        fleet.RequiredSoftware // of the engine that began the output
	promptTokens    int
	firstTokenAt    time.Time // arrival of the first chunk; zero: none yet
	firstTokens     int       // tokens of the first chunk
	maybeSent       bool      // bytes may have reached an endpoint
	freeRetryUsed   bool      // see spendRetry
	resuming        bool      // an attempt has failed after the first token
	pendingCancels  []pendingCancel
	finish          engineapi.Finish
}

func (r *Router) newActiveModelRequest(req ModelRequest, params modelParams, f fleet.Fingerprint, sink Sink) *activeModelRequest {
	return &activeModelRequest{
		router:          r,
		req:             req,
		params:          params,
		fingerprint:     f,
		gate:            placement.Gate(r.opts.Source, req.Team, r.opts.Recorder),
		sink:            sink,
		prefillArrivals: r.openArrivals(req.ID, prefillPool+params.model.Model),
		decodeArrivals:  r.openArrivals(req.ID, decodePool+params.model.Model),
		avoid:           endpointSet{},
		deadline:        req.Arrived.Add(params.patience),
	}
}

// run makes attempts until one completes the answer or no retry is allowed.
func (m *activeModelRequest) run(ctx context.Context) *Failure {
	policies, ok := m.router.policies.get(m.router.opts.Source.State().Tree.Fleet.Decisions)
	if !ok {
		return noPolicyFailure()
	}
	m.policies = policies
	defer m.prefillArrivals.account.Close()
	defer m.decodeArrivals.account.Close()
	for {
		m.attempts++
		failed := m.runAttempt(ctx)
		if failed == nil {
			return nil
		}
		if failure := m.afterFailure(failed); failure != nil {
			return failure
		}
	}
}

// afterFailure returns the request's failure, or nil if it should be retried.
func (m *activeModelRequest) afterFailure(failed *attemptFailure) *Failure {
	now := time.Now()
	m.avoid.add(failed.endpoint)
	if m.passedTokens > 0 && !m.resuming {
		// Patience covers the time to the first token; resuming gets the same time again.
		m.resuming = true
		m.deadline = now.Add(m.params.patience)
	}
	in := retryInput{
		attemptFailure: failed,
		attempts:       m.attempts,
		maxAttempts:    m.router.bounds.MaxAttempts,
		passedTokens:   m.passedTokens,
		maybeSent:      m.maybeSent,
		now:            now,
		deadline:       m.deadline,
	}
	d := decideRetry(in)
	if !d.retry {
		return d.failure
	}
	if !m.spendRetry(failed) {
		return callerFailure(in)
	}
	if !m.prefillArrivals.reserveSend() || !m.decodeArrivals.reserveSend() {
		in.attemptFailure = overBudgetFailure()
		return callerFailure(in)
	}
	m.router.metrics.retries.Inc()
	m.recordEvent(timeline.KindRetry, "", failed.endpoint)
	return nil
}

// spendRetry reports whether the request may be retried, and takes the retry from
// the budgets of the team and the endpoint.
//
// The first retry after an endpoint's crash is free. A crash ends everything that
// ran there, twenty requests on a full decode engine; a budget that successes
// refill would resume some of them and fail the rest. The free retries can't
// overload the engines, since each request has only one.
func (m *activeModelRequest) spendRetry(failed *attemptFailure) bool {
	if failed.endpointMayHaveCrashed() && !m.freeRetryUsed {
		m.freeRetryUsed = true
		return true
	}
	return m.router.mayRetryAfter(m.req.Team, failed)
}

func (m *activeModelRequest) recordEvent(k timeline.Kind, a fleet.AttemptID, at fleet.EndpointID) {
	m.router.record(timeline.Event{Kind: k, Request: m.req.ID, Attempt: a, Team: m.req.Team, Endpoint: at})
}

// remaining returns the time left until the next token is due.
func (m *activeModelRequest) remaining() time.Duration { return time.Until(m.deadline) }
