package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// retryInput is what is known when an attempt has ended short.
type retryInput struct {
	setback  *setback
	attempts int // made so far
	most     int
	passed   int // tokens that the caller has
	touched  bool
	now      time.Time
	deadline time.Time // for the next token
}

// retryDecision is what comes next.
type retryDecision struct {
	again bool
	// failure is the final answer when not again.
	failure *Failure
}

// decideRetry tells whether a model request goes on. Pure. A request that is
// given up on gets its final answer now: waiting for its deadline would keep a
// caller from going elsewhere.
func decideRetry(in retryInput) retryDecision {
	s := in.setback
	if !mendable(s.cause) {
		return retryDecision{failure: finalFailure(in)}
	}
	if in.attempts >= in.most || !in.now.Before(in.deadline) {
		return retryDecision{failure: finalFailure(in)}
	}
	return retryDecision{again: true}
}

// mendable tells whether another endpoint may do better.
func mendable(c cause) bool {
	switch c {
	case causeForbidden, causeRefused, causeBroken, causeStalled, causeLost, causeGrantOver:
		return true
	}
	return false
}

// finalFailure makes the caller's answer. "Not run" is said only when no byte
// can have reached an endpoint.
func finalFailure(in retryInput) *Failure {
	s := in.setback
	f := s.failure
	if f == nil {
		f = plainFailure(s)
	}
	out := *f
	if in.touched && out.Outcome == callerapi.OutcomeNotRun {
		out.Outcome = callerapi.OutcomeFailed
	}
	return &out
}

func plainFailure(s *setback) *Failure {
	after := orTime(s.retryAfter, DefaultRetryAfter)
	switch s.cause {
	case causeCallerGone:
		f := callerGone()
		f.Outcome = callerapi.OutcomeNotRun
		return f
	case causeDeadline:
		f := notRun(callerapi.CodeDeadline, "the caller's patience is over", after)
		f.TimedOut = true
		return f
	case causeNoEndpoint:
		return notRun(callerapi.CodeNoZone, "no endpoint in the permitted availability zones can take it", after)
	case causeExhausted:
		return notRun(callerapi.CodeEngineFailed, "each endpoint that could take it has failed it", after)
	case causeFull:
		return notRun(callerapi.CodeOverloaded, "no slot comes free in time", after)
	case causeAborted:
		return aborted()
	case causeOverBudget:
		return notRun(callerapi.CodeOverloaded, "the fleet may not send it again now", after)
	case causeGrantOver:
		return notRun(callerapi.CodeOverloaded, "its slots ran out before they could be used", after)
	case causeForbidden:
		return notRun(callerapi.CodeNoZone, "the settings no longer permit the chosen place", after)
	}
	return notRun(callerapi.CodeEngineFailed, "the endpoints that tried could not finish it", after)
}
