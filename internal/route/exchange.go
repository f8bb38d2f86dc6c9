package route

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// exchange sends the call under a hold and reads the whole answer. sent is
// false only when the error proves that the call didn't run.
func (m *callRun) exchange(ctx context.Context, h *hold, id fleet.AttemptID) (answer *CallAnswer, sent bool, s *setback) {
	if !m.arrivals.maySend() {
		return nil, false, overBudget()
	}
	local, cancel := context.WithTimeout(ctx, m.class.callTime)
	defer cancel()
	m.event(timeline.KindCallStart, id, h.target.ID)
	h.touched = true
	answer, err := m.roundTrip(local, h)
	m.arrivals.sent(h.target.ID, err)
	sent = !neverRan(err)
	h.touched = sent
	if err != nil {
		s = fromError(ctx, local, err)
		if !s.cause.faultless() {
			s.endpoint = h.target.ID
		}
		return nil, sent, s
	}
	h.finished = true
	m.event(timeline.KindCallEnd, id, h.target.ID)
	return answer, true, nil
}

// neverRan tells whether err proves that the call didn't run and never will:
// no byte left, or the endpoint said by a code that it refused it.
func neverRan(err error) bool {
	var e *engine.Error
	if errors.As(err, &e) && e.Code != "" {
		return true
	}
	return neverSent(err)
}

func (m *callRun) roundTrip(ctx context.Context, h *hold) (*CallAnswer, error) {
	request, err := m.httpRequest(ctx)
	if err != nil {
		return nil, &engine.Error{Target: h.target, Op: "call", Err: err}
	}
	gate := m.router.gateUnder(h, m.gate)
	response, err := m.router.opts.Engine.Call(ctx, h.target, gate, h.grant.Attempt, request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readWhole(response.Body, m.router.bounds.CallAnswerBytes)
	if err != nil {
		return nil, &engine.Error{Target: h.target, Op: "call", Sent: true, Err: err}
	}
	answer := &CallAnswer{StatusCode: response.StatusCode, Header: response.Header, Body: body}
	m.router.hearRest(h.target, restOf(answer))
	return answer, nil
}

// readWhole reads an answer to its end. A part of an answer is never passed
// on: the caller would take it for the whole.
func readWhole(from io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, trace.LimitExceeded("the answer is over %d bytes", limit)
	}
	return body, nil
}

func (m *callRun) httpRequest(ctx context.Context) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: "endpoint", Path: m.req.Path, RawQuery: m.req.Query}
	request, err := http.NewRequestWithContext(ctx, m.req.Method, target.String(), bytes.NewReader(m.req.Body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header = m.req.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	return request, nil
}

// settle gives the hold back and tells the fingerprint's guard.
func (m *callRun) settle(h *hold, id fleet.AttemptID, s *setback) {
	m.router.free(h, s, 0)
	m.router.opts.Guard.End(m.fingerprint, m.class.permitted, id, s == nil, s.crashed())
}

// turn asks the fingerprint's guard before an attempt.
func (m *callRun) turn(ctx context.Context, id fleet.AttemptID) (alone bool, s *setback) {
	return guardTurn(ctx, m.router.opts.Guard, guardInput{
		fingerprint: m.fingerprint,
		permitted:   m.class.permitted,
		attempt:     id,
		remaining:   func() time.Duration { return time.Until(m.deadline) },
	})
}
