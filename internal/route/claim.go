package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// inFlightRetry is when to come back for a request that runs elsewhere.
const inFlightRetry = 500 * time.Millisecond

// justEndedRetry is when to come back for a request that ended while its
// repeat was on its way.
const justEndedRetry = 50 * time.Millisecond

// claimStep is what a verdict means for a keyed model request.
type claimStep struct {
	run     bool          // this claim may run
	next    bool          // this generation has ended: try the next one
	ran     bool          // with next: the generation may have run
	wait    time.Duration // before the next one
	failure *Failure
}

// claimInput is what a verdict is judged by.
type claimInput struct {
	verdict     outcome.Verdict
	record      outcome.Record
	mine        fleet.AttemptID
	fingerprint fleet.Fingerprint
	waited      time.Duration // since the request arrived
	sweep       time.Duration // until holds of a dead owner are free
	patience    time.Duration // left
}

// judgeClaim decides whether a keyed, idempotent request runs. Pure.
//
// Two entries that both got the request would decode it twice at once, each
// blocking a slot. Only the attempt whose intent is decided runs; a repeat
// takes a new generation of the key once the one before has ended. One whose
// owner died may still occupy an engine until the sweep: it is waited out.
func judgeClaim(in claimInput) claimStep {
	others := in.record.Attempt != "" && in.record.Attempt != in.mine
	if others && !sameBody(in.record.Attempt, in.fingerprint) {
		return claimStep{failure: keyReused()}
	}
	switch in.verdict {
	case outcome.VerdictRun:
		return claimStep{run: true}
	case outcome.VerdictInFlight:
		return claimStep{failure: inFlight()}
	case outcome.VerdictRecorded:
		return judgeEnded(in)
	case outcome.VerdictNotRun:
		return claimStep{failure: refused(callerapi.CodeRecorded, "its key was given up on; use a new one", 0)}
	}
	if !others {
		return claimStep{failure: unknownFate()}
	}
	if in.sweep >= in.patience {
		return claimStep{failure: unknownFate()}
	}
	return claimStep{next: true, ran: true, wait: in.sweep}
}

// judgeEnded goes on past a generation only when it ended before this request
// came: a copy that was frozen here while its caller was answered elsewhere
// must not run after that answer.
func judgeEnded(in claimInput) claimStep {
	if in.record.Age <= in.waited {
		return claimStep{failure: endedMeanwhile()}
	}
	return claimStep{next: true, ran: in.record.Outcome != pb.OutcomeKind_OUTCOME_KIND_NOT_RUN}
}

func keyReused() *Failure {
	return &Failure{
		Code:    callerapi.CodeKeyReused,
		Message: "the key was used for another body",
		Outcome: callerapi.OutcomeNotRun,
	}
}

func inFlight() *Failure {
	return &Failure{
		Code:       callerapi.CodeInFlight,
		Message:    "a request with this key is running",
		Outcome:    callerapi.OutcomeInFlight,
		RetryAfter: inFlightRetry,
	}
}

func endedMeanwhile() *Failure {
	f := inFlight()
	f.Message = "a request with this key has just ended"
	f.RetryAfter = justEndedRetry
	return f
}

func unknownFate() *Failure {
	return &Failure{
		Code:       callerapi.CodeUnknown,
		Message:    "whether a request with this key ran is not known",
		Outcome:    callerapi.OutcomeUnknown,
		RetryAfter: DefaultRetryAfter,
	}
}

// keyClaim is a decided generation of a key.
type keyClaim struct {
	outcome.Claim
	ranBefore bool // an earlier generation may have run
}

// claimKey decides a generation of the key for this request.
func (r *Router) claimKey(ctx context.Context, req ModelRequest, c class, f fleet.Fingerprint) (keyClaim, *Failure) {
	ran := false
	for generation := range r.bounds.Generations {
		claim := outcome.Claim{
			Key:       r.hash.recordKey(req.Team, req.Key, generation),
			Team:      req.Team,
			Permitted: c.permitted,
			Attempt:   newClaimAttempt(f),
		}
		step := r.claimOnce(ctx, req, c, f, claim)
		if step.run {
			r.record(timeline.Event{Kind: timeline.KindLedgerClaimed, Request: req.ID, Team: req.Team, Attempt: claim.Attempt})
			return keyClaim{Claim: claim, ranBefore: ran}, nil
		}
		if step.failure != nil {
			r.record(timeline.Event{Kind: timeline.KindLedgerRefused, Request: req.ID, Team: req.Team, Detail: string(step.failure.Code)})
			return keyClaim{}, step.failure
		}
		ran = ran || step.ran
		if s := pause(ctx, step.wait); s != nil {
			return keyClaim{}, unknownFate()
		}
	}
	return keyClaim{}, &Failure{
		Code:    callerapi.CodeLimit,
		Message: "the key was run too often; use a new one",
		Outcome: callerapi.OutcomeUnknown,
	}
}

func (r *Router) claimOnce(ctx context.Context, req ModelRequest, c class, f fleet.Fingerprint, claim outcome.Claim) claimStep {
	local, cancel := context.WithTimeout(ctx, r.bounds.LedgerTime)
	defer cancel()
	verdict, record, err := r.opts.Ledger.Claim(local, claim)
	if err != nil {
		return claimStep{failure: unknownFate()}
	}
	return judgeClaim(claimInput{
		verdict:     verdict,
		record:      record,
		mine:        claim.Attempt,
		fingerprint: f,
		waited:      time.Since(req.Arrived),
		sweep:       c.timeouts.EndpointLease + c.timeouts.InstanceLease,
		patience:    time.Until(req.Arrived.Add(c.patience)),
	})
}

// finish records a decided attempt's end; the answer waits a little for it,
// so that a repeat right after sees the record.
func (r *Router) finish(claim outcome.Claim, kind pb.OutcomeKind, statusCode int) {
	ctx, cancel := context.WithTimeout(context.Background(), r.bounds.FinishTime)
	defer cancel()
	err := r.opts.Ledger.Finish(ctx, claim, kind, statusCode)
	if err != nil {
		r.opts.Part.Warn("an outcome is recorded late", "attempt", claim.Attempt, "err", err)
		return
	}
	r.record(timeline.Event{Kind: timeline.KindLedgerDone, Attempt: claim.Attempt, Detail: kind.String()})
}
