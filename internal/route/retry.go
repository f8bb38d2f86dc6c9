package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// retryInput is the state of a request whose attempt has failed.
type retryInput struct {
	attemptFailure *attemptFailure
	attempts       int // made so far
	maxAttempts    int
	passedTokens   int // tokens passed to the caller
	maybeSent      bool
	now            time.Time
	deadline       time.Time // for the next token
}

// retryDecision is the result of decideRetry.
type retryDecision struct {
	retry bool
	// failure is the request's failure if it isn't retried.
	failure *Failure
}

// decideRetry decides whether a request is retried. Pure. A request that isn't gets its
// failure now: waiting for its deadline would keep the caller from trying elsewhere.
func decideRetry(in retryInput) retryDecision {
	failed := in.attemptFailure
	if !isRetryable(failed.cause) {
		return retryDecision{failure: callerFailure(in)}
	}
	if in.attempts >= in.maxAttempts || !in.now.Before(in.deadline) {
		return retryDecision{failure: callerFailure(in)}
	}
	return retryDecision{retry: true}
}

// isRetryable reports whether another attempt may succeed after a failure by c.
func isRetryable(c cause) bool {
	switch c {
	case causeForbidden, causeRefused, causeConnectionBroken, causeStalled, causeKVExpired, causeGrantExpired:
		return true
	}
	return false
}

// callerFailure returns the failure for the caller. Its outcome is "not run" only if
// no byte can have reached an endpoint.
func callerFailure(in retryInput) *Failure {
	failed := in.attemptFailure
	f := failed.failure
	if f == nil {
		f = failureForCause(failed)
	}
	out := *f
	if in.maybeSent && out.Outcome == callerapi.OutcomeNotRun {
		out.Outcome = callerapi.OutcomeFailed
	}
	return &out
}

func failureForCause(failed *attemptFailure) *Failure {
	after := durationOrDefault(failed.retryAfter, DefaultRetryAfter)
	switch failed.cause {
	case causeCallerDisconnected:
		f := callerDisconnectedFailure()
		f.Outcome = callerapi.OutcomeNotRun
		return f
	case causeDeadline:
		f := notRun(callerapi.CodeDeadline, "the caller's patience is over", after)
		f.TimedOut = true
		return f
	case causeNoEndpoint:
		return notRun(callerapi.CodeNoPermittedZone, "no endpoint in the permitted availability zones can take it", after)
	case causeExhausted:
		return notRun(callerapi.CodeEngineFailed, "each endpoint that could take it has failed it", after)
	case causeNoSlot:
		return notRun(callerapi.CodeOverloaded, "no slot comes free in time", after)
	case causeAborted:
		return abortedFailure()
	case causeOverBudget:
		return notRun(callerapi.CodeOverloaded, "the fleet may not send it again now", after)
	case causeGrantExpired:
		return notRun(callerapi.CodeOverloaded, "its slots ran out before they could be used", after)
	case causeForbidden:
		return notRun(callerapi.CodeNoPermittedZone, "the settings no longer permit the chosen place", after)
	}
	return notRun(callerapi.CodeEngineFailed, "the endpoints that tried could not finish it", after)
}
