package route

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/placement"
)

// cause states why an attempt failed.
type cause int

const (
	causeCallerDisconnected cause = iota + 1
	causeDeadline                 // the caller's patience or the maximum request duration is over
	causeForbidden                // the check of placement refused the send
	causeNoEndpoint               // there are no candidates
	causeExhausted                // all candidates have already failed the request
	causeNoSlot                   // no slot became free in time
	causeRefused                  // the endpoint refused, wasn't reached or sent an unusable answer
	causeConnectionBroken         // the endpoint may have crashed
	causeStalled                  // the transfer or the stream stalled
	causeKVExpired                // the KV cache expired before it was used
	causeGrantExpired             // the grant expired before the send; no endpoint is at fault
	causeOverBudget               // the fleet's retry budget doesn't allow another arrival
	causeAborted                  // this entry has lost its place in the fleet
	causeFinal                    // see attemptFailure.failure
)

// attemptFailure describes an attempt that ended without a complete answer.
type attemptFailure struct {
	cause      cause
	endpoint   fleet.EndpointID // to be avoided by the next attempt; empty: none
	code       engineapi.Code
	retryAfter time.Duration
	failure    *Failure // if cause is causeFinal
	cooldown   bool     // the endpoint requested a cooldown
	homeMoving bool     // with causeNoSlot: another home may grant a slot soon
}

// notEndpointFault reports whether the failure is unrelated to the endpoint.
func (c cause) notEndpointFault() bool {
	return c == causeCallerDisconnected || c == causeAborted || c == causeGrantExpired || c == causeOverBudget
}

// endpointMayHaveCrashed reports whether the endpoint may have crashed during the
// attempt.
func (failed *attemptFailure) endpointMayHaveCrashed() bool {
	return failed != nil && failed.cause == causeConnectionBroken
}

// finalAttemptFailure returns a failure after which the request isn't retried.
func finalAttemptFailure(f *Failure) *attemptFailure {
	return &attemptFailure{cause: causeFinal, failure: f}
}

// attemptFailureFromError returns the failure for a failed call to an endpoint. parent
// is the request's context; callCtx is the call's own, which may have a shorter deadline.
//
// Only a connection that broke after bytes were sent counts as a crash. An endpoint
// that answers with an error is alive, and one that exceeded a time limit may be slow;
// counting these as crashes would quarantine requests that crash nothing.
func attemptFailureFromError(parent context.Context, callCtx context.Context, err error) *attemptFailure {
	if cause, ok := placement.IsRefusal(err); ok {
		return placementFailure(cause)
	}
	if errors.Is(err, errCooldown) && parent.Err() == nil {
		return &attemptFailure{cause: causeRefused, endpoint: endpointOfError(err), cooldown: true}
	}
	if errors.Is(err, errGrantExpired) && parent.Err() == nil {
		return &attemptFailure{cause: causeGrantExpired}
	}
	failed := &attemptFailure{cause: causeConnectionBroken}
	var e *engine.Error
	if errors.As(err, &e) {
		failed.endpoint, failed.code, failed.cooldown = e.Target.ID, e.Code, e.Cooldown > 0
	}
	switch {
	case parent.Err() != nil:
		failed.cause = causeFromContext(parent)
	case callCtx.Err() != nil:
		failed.cause = causeStalled
	case failed.code != "":
		failed.cause = causeFromCode(failed.code)
	case e != nil && !e.Sent, errors.Is(err, engine.ErrWrongAttempt), isUnusable(err):
		failed.cause = causeRefused
	case errors.Is(err, engine.ErrIdleTimeout):
		failed.cause = causeStalled
	}
	return failed
}

// isUnusable reports whether the endpoint is alive but sent an unusable answer.
func isUnusable(err error) bool {
	for _, bad := range []error{engine.ErrEarlierIncarnation, engine.ErrMissingTokens, engine.ErrRepeatedTokens, engine.ErrMalformed, engine.ErrOversized} {
		if errors.Is(err, bad) {
			return true
		}
	}
	return false
}

func placementFailure(c placement.Cause) *attemptFailure {
	if c == placement.CauseNotCurrent {
		return finalAttemptFailure(refused(callerapi.CodeNotCurrent, "this entry can't confirm its settings now", 0))
	}
	return &attemptFailure{cause: causeForbidden}
}

func causeFromContext(ctx context.Context) cause {
	if isAborted(ctx) {
		return causeAborted
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return causeDeadline
	}
	return causeCallerDisconnected
}

func causeFromCode(c engineapi.Code) cause {
	switch c {
	case engineapi.CodeGone:
		return causeKVExpired
	case engineapi.CodeTransfer:
		return causeStalled
	case engineapi.CodeFull:
		return causeNoSlot
	}
	return causeRefused
}
