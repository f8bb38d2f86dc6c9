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

// exchange sends the call under a grant and reads the complete response. sent is
// false only if the call provably didn't run.
func (c *activeCall) exchange(ctx context.Context, h *heldGrant, id fleet.AttemptID) (answer *CallResponse, sent bool, failed *attemptFailure) {
	if !c.arrivals.reserveSend() {
		return nil, false, overBudgetFailure()
	}
	callCtx, cancel := context.WithTimeout(ctx, c.params.callTime)
	defer cancel()
	c.recordEvent(timeline.KindCallStart, id, h.target.ID)
	h.maybeSent = true
	answer, err := c.roundTrip(callCtx, h)
	c.arrivals.recordSend(h.target.ID, err)
	sent = !provesNotRun(err)
	h.maybeSent = sent
	if err != nil {
		failed = attemptFailureFromError(ctx, callCtx, err)
		if !failed.cause.notEndpointFault() {
			failed.endpoint = h.target.ID
		}
		return nil, sent, failed
	}
	h.finished = true
	c.recordEvent(timeline.KindCallEnd, id, h.target.ID)
	return answer, true, nil
}

// provesNotRun reports whether err proves that the call didn't run and never will:
// no byte was sent, or the endpoint refused it with an error code.
func provesNotRun(err error) bool {
	var e *engine.Error
	if errors.As(err, &e) && e.Code != "" {
		return true
	}
	return provesNotSent(err)
}

func (c *activeCall) roundTrip(ctx context.Context, h *heldGrant) (*CallResponse, error) {
	request, err := c.httpRequest(ctx)
	if err != nil {
		return nil, &engine.Error{Target: h.target, Op: "call", Err: err}
	}
	gate := c.router.grantGate(h, c.gate)
	sentAt := time.Now()
	response, err := c.router.opts.Engine.Call(ctx, h.target, gate, h.grant.Attempt, request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readLimited(response.Body, c.router.bounds.MaxCallResponseBytes)
	if err != nil {
		return nil, &engine.Error{Target: h.target, Op: "call", Sent: true, Err: err}
	}
	if isCloseDelimited(request, response) && c.router.hasEnded(ctx, h.target, sentAt) {
		return nil, &engine.Error{Target: h.target, Op: "call", Sent: true, Err: engine.ErrTruncated}
	}
	answer := &CallResponse{StatusCode: response.StatusCode, Header: response.Header, Body: body}
	c.router.recordCooldown(h.target, requestedCooldown(answer))
	return answer, nil
}

// readLimited reads a body of up to limit bytes to its end. A partial body is an
// error: a caller couldn't tell it from the complete response.
func readLimited(from io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, trace.LimitExceeded("the answer is over %d bytes", limit)
	}
	return body, nil
}

func (c *activeCall) httpRequest(ctx context.Context) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: "endpoint", Path: c.req.Path, RawQuery: c.req.Query}
	request, err := http.NewRequestWithContext(ctx, c.req.Method, target.String(), bytes.NewReader(c.req.Body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header = c.req.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	return request, nil
}

// finishAttempt releases the grant and reports the end of the attempt to the
// quarantine guard.
func (c *activeCall) finishAttempt(h *heldGrant, id fleet.AttemptID, failed *attemptFailure) {
	c.router.release(h, failed, 0)
	c.router.opts.Guard.End(c.fingerprint, c.params.permitted, id, failed == nil, failed.endpointMayHaveCrashed())
}

// awaitTurn waits until the quarantine guard lets the attempt run.
func (c *activeCall) awaitTurn(ctx context.Context, id fleet.AttemptID) (alone bool, failed *attemptFailure) {
	return awaitGuard(ctx, c.router.opts.Guard, guardInput{
		fingerprint: c.fingerprint,
		permitted:   c.params.permitted,
		attempt:     id,
		remaining:   func() time.Duration { return time.Until(c.deadline) },
	})
}
