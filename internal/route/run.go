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

// modelRun is one model request over all its attempts. One goroutine owns it.
type modelRun struct {
	router      *Router
	req         ModelRequest
	class       class
	fingerprint fleet.Fingerprint
	gate        engine.Gate
	sink        Sink

	policies     Policies
	admitted     admission.Request
	reads        *arrivals // at prefill engines
	decodes      *arrivals // at decode engines
	avoid        endpointSet
	stalled      stall
	deadline     time.Time // for the next token
	attempts     int
	passed       int // output tokens that the sink has
	text         strings.Builder
	promptTokens int
	firstAt      time.Time // of the first chunk; zero: none yet
	firstTokens  int       // in the first chunk
	touched      bool      // a byte may have reached an endpoint
	freeRetry    bool      // the free retry is used up
	resuming     bool      // a stream has broken after its first token
	cancelled    []leftover
	finish       engineapi.Finish
}

func (r *Router) newRun(req ModelRequest, c class, f fleet.Fingerprint, sink Sink) *modelRun {
	return &modelRun{
		router:      r,
		req:         req,
		class:       c,
		fingerprint: f,
		gate:        placement.Gate(r.opts.Source, req.Team, r.opts.Recorder),
		sink:        sink,
		reads:       r.openArrivals(req.ID, prefillPool+c.model.Model),
		decodes:     r.openArrivals(req.ID, decodePool+c.model.Model),
		avoid:       endpointSet{},
		deadline:    req.Arrived.Add(c.patience),
	}
}

// run makes attempts until one ends whole or the request is given up on.
func (m *modelRun) run(ctx context.Context) *Failure {
	policies, ok := m.router.policies.get(m.router.opts.Source.State().Tree.Fleet.Decisions)
	if !ok {
		return noPolicy()
	}
	m.policies = policies
	defer m.reads.account.Close()
	defer m.decodes.account.Close()
	for {
		m.attempts++
		s := m.try(ctx)
		if s == nil {
			return nil
		}
		if failure := m.afterSetback(s); failure != nil {
			return failure
		}
	}
}

// afterSetback decides what follows an attempt that ended short; nil: again.
func (m *modelRun) afterSetback(s *setback) *Failure {
	now := time.Now()
	m.avoid.add(s.endpoint)
	if m.passed > 0 && !m.resuming {
		// Patience was for the first token; the same is granted to go on.
		m.resuming = true
		m.deadline = now.Add(m.class.patience)
	}
	in := retryInput{
		setback:  s,
		attempts: m.attempts,
		most:     m.router.bounds.Attempts,
		passed:   m.passed,
		touched:  m.touched,
		now:      now,
		deadline: m.deadline,
	}
	d := decideRetry(in)
	if !d.again {
		return d.failure
	}
	if !m.granted(s) {
		return finalFailure(in)
	}
	if !m.reads.maySend() || !m.decodes.maySend() {
		in.setback = overBudget()
		return finalFailure(in)
	}
	m.router.metrics.retries.Inc()
	m.event(timeline.KindRetry, "", s.endpoint)
	return nil
}

// granted spends a retry.
//
// The first retry after an endpoint's death is free. A death throws out all
// that ran there at once, twenty requests of a full decode engine: a budget
// that is earned by successes would resume some and fail the rest. It can't
// overload the engines, since each request has one such retry in its life.
func (m *modelRun) granted(s *setback) bool {
	if s.crashed() && !m.freeRetry {
		m.freeRetry = true
		return true
	}
	return m.router.mayTryAgain(m.req.Team, s)
}

func (m *modelRun) event(k timeline.Kind, a fleet.AttemptID, at fleet.EndpointID) {
	m.router.record(timeline.Event{Kind: k, Request: m.req.ID, Attempt: a, Team: m.req.Team, Endpoint: at})
}

// remaining is the time left until the next token is due.
func (m *modelRun) remaining() time.Duration { return time.Until(m.deadline) }
