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

// cause is what stopped an attempt.
type cause int

const (
	causeCallerGone cause = iota + 1
	causeDeadline         // the caller's patience or the stream's time is over
	causeForbidden        // the last check refused the send
	causeNoEndpoint       // there is no candidate
	causeExhausted        // each candidate has failed the request already
	causeFull             // no slot in time
	causeRefused          // the endpoint answered that it won't
	causeBroken           // the connection broke: the endpoint may have died
	causeStalled          // the transfer or the stream stood still
	causeLost             // KV expired before it could be used
	causeGrantOver        // the grant ran out before the send; no one is to blame
	causeOverBudget       // one more arrival would be too many for the fleet
	causeAborted          // this entry lost its place
	causeFinal            // failure says all
)

// setback is how an attempt ended short of a whole answer.
type setback struct {
	cause      cause
	endpoint   fleet.EndpointID // that failed it; empty: none
	code       engineapi.Code
	retryAfter time.Duration
	failure    *Failure // with causeFinal
	rests      bool     // the endpoint asked for rest
	moved      bool     // with causeFull: another home may give a slot in a moment
}

// faultless tells whether the endpoint has nothing to do with it.
func (c cause) faultless() bool {
	return c == causeCallerGone || c == causeAborted || c == causeGrantOver || c == causeOverBudget
}

// crashed tells whether the endpoint may have died under the request.
func (s *setback) crashed() bool { return s != nil && s.cause == causeBroken }

// final is a setback that no retry can mend.
func final(f *Failure) *setback { return &setback{cause: causeFinal, failure: f} }

// fromError reads a failed call to an endpoint. parent is the request's
// context and local the call's own, which may have a shorter deadline.
//
// Only a connection that broke after bytes had left counts as a crash: an
// endpoint that answers with an error lives, and one that was given up on for
// time may be slow. Blaming either would put requests in quarantine that crash nothing.
func fromError(parent context.Context, local context.Context, err error) *setback {
	if cause, ok := placement.IsRefusal(err); ok {
		return forbidden(cause)
	}
	if errors.Is(err, errResting) && parent.Err() == nil {
		return &setback{cause: causeRefused, endpoint: restingEndpoint(err), rests: true}
	}
	if errors.Is(err, errGrantOver) && parent.Err() == nil {
		return &setback{cause: causeGrantOver}
	}
	s := &setback{cause: causeBroken}
	var e *engine.Error
	if errors.As(err, &e) {
		s.endpoint, s.code, s.rests = e.Target.ID, e.Code, e.Rest > 0
	}
	switch {
	case parent.Err() != nil:
		s.cause = fromContext(parent)
	case local.Err() != nil:
		s.cause = causeStalled
	case s.code != "":
		s.cause = fromCode(s.code)
	case e != nil && !e.Sent, errors.Is(err, engine.ErrAttempt), spoiled(err):
		s.cause = causeRefused
	case errors.Is(err, engine.ErrIdle):
		s.cause = causeStalled
	}
	return s
}

// spoiled tells whether the endpoint lives but sent what can't be used.
func spoiled(err error) bool {
	for _, bad := range []error{engine.ErrEarlier, engine.ErrGap, engine.ErrRepeat, engine.ErrMalformed, engine.ErrOversized} {
		if errors.Is(err, bad) {
			return true
		}
	}
	return false
}

func forbidden(c placement.Cause) *setback {
	if c == placement.CauseNotCurrent {
		return final(refused(callerapi.CodeNotCurrent, "this entry can't confirm its settings now", 0))
	}
	return &setback{cause: causeForbidden}
}

func fromContext(ctx context.Context) cause {
	if isAborted(ctx) {
		return causeAborted
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return causeDeadline
	}
	return causeCallerGone
}

func fromCode(c engineapi.Code) cause {
	switch c {
	case engineapi.CodeGone:
		return causeLost
	case engineapi.CodeTransfer:
		return causeStalled
	case engineapi.CodeFull:
		return causeFull
	}
	return causeRefused
}
