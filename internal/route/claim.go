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

// inFlightRetry is the retry delay for a request that runs elsewhere.
const inFlightRetry = 500 * time.Millisecond

// justEndedRetry is the retry delay for a repeat whose request ended while the
// repeat was being handled.
const justEndedRetry = 50 * time.Millisecond

// claimDecision states what a ledger verdict means for a keyed model request.
type claimDecision struct {
	run            bool          // this claim may run
	nextGeneration bool          // this generation has ended: try the next one
	mayHaveRun     bool          // with nextGeneration: this generation may have run
	wait           time.Duration // before the next generation
	failure        *Failure
}

// claimInput is the input of decideClaim.
type claimInput struct {
	verdict     outcome.Verdict
	record      outcome.Record
	ownAttempt  fleet.AttemptID
	fingerprint fleet.Fingerprint
	waited      time.Duration // since the request arrived
	untilSwept  time.Duration // until the grants of a dead owner are free
	patience    time.Duration // remaining
}

// decideClaim decides whether a keyed, idempotent request runs. Pure.
//
// If two entries receive the same request, only the attempt that the ledger decided
// on runs; otherwise both would occupy a decode slot. A repeat uses the next
// generation of the key once the previous one has ended. A generation whose owner
// died may occupy an engine until the sweep, so the repeat waits for that.
func decideClaim(in claimInput) claimDecision {
	otherAttempt := in.record.Attempt != "" && in.record.Attempt != in.ownAttempt
	if otherAttempt && !sameBody(in.record.Attempt, in.fingerprint) {
		return claimDecision{failure: keyReusedFailure()}
	}
	switch in.verdict {
	case outcome.VerdictRun:
		return claimDecision{run: true}
	case outcome.VerdictInFlight:
		return claimDecision{failure: inFlightFailure()}
	case outcome.VerdictRecorded:
		return decideAfterEnd(in)
	case outcome.VerdictNotRun:
		return claimDecision{failure: refused(callerapi.CodeRecorded, "its key was given up on; use a new one", 0)}
	}
	if !otherAttempt {
		return claimDecision{failure: unknownOutcomeFailure()}
	}
	if in.untilSwept >= in.patience {
		return claimDecision{failure: unknownOutcomeFailure()}
	}
	return claimDecision{nextGeneration: true, mayHaveRun: true, wait: in.untilSwept}
}

// decideAfterEnd continues with the next generation only if this one ended before
// the request arrived. Otherwise an entry that was frozen with a copy of the
// request, while its caller was answered elsewhere, would run it after that answer.
func decideAfterEnd(in claimInput) claimDecision {
	if in.record.Age <= in.waited {
		return claimDecision{failure: justEndedFailure()}
	}
	return claimDecision{nextGeneration: true, mayHaveRun: in.record.Outcome != pb.OutcomeKind_OUTCOME_KIND_NOT_RUN}
}

func keyReusedFailure() *Failure {
	return &Failure{
		Code:    callerapi.CodeKeyReused,
		Message: "the key was used for another body",
		Outcome: callerapi.OutcomeNotRun,
	}
}

func inFlightFailure() *Failure {
	return &Failure{
		Code:       callerapi.CodeInFlight,
		Message:    "a request with this key is running",
		Outcome:    callerapi.OutcomeInFlight,
		RetryAfter: inFlightRetry,
	}
}

func justEndedFailure() *Failure {
	f := inFlightFailure()
	f.Message = "a request with this key has just ended"
	f.RetryAfter = justEndedRetry
	return f
}

func unknownOutcomeFailure() *Failure {
	return &Failure{
		Code:       callerapi.CodeUnknown,
		Message:    "whether a request with this key ran is not known",
		Outcome:    callerapi.OutcomeUnknown,
		RetryAfter: DefaultRetryAfter,
	}
}

// keyClaim is a generation of a key that was claimed for this request.
type keyClaim struct {
	outcome.Claim
	ranBefore bool // an earlier generation may have run
}

// claimKey claims a generation of the key for this request.
func (r *Router) claimKey(ctx context.Context, req ModelRequest, params modelParams, f fleet.Fingerprint) (keyClaim, *Failure) {
	mayHaveRun := false
	for generation := range r.bounds.MaxKeyGenerations {
		claim := outcome.Claim{
			Key:            r.hash.recordKey(req.Team, req.Key, generation),
			Team:           req.Team,
			PermittedZones: params.permitted,
			Attempt:        newClaimAttempt(f),
		}
		decision := r.claimGeneration(ctx, req, params, f, claim)
		if decision.run {
			r.record(timeline.Event{Kind: timeline.KindLedgerClaimed, Request: req.ID, Team: req.Team, Attempt: claim.Attempt})
			return keyClaim{Claim: claim, ranBefore: mayHaveRun}, nil
		}
		if decision.failure != nil {
			r.record(timeline.Event{Kind: timeline.KindLedgerRefused, Request: req.ID, Team: req.Team, Detail: string(decision.failure.Code)})
			return keyClaim{}, decision.failure
		}
		mayHaveRun = mayHaveRun || decision.mayHaveRun
		if failed := pause(ctx, decision.wait); failed != nil {
			return keyClaim{}, unknownOutcomeFailure()
		}
	}
	return keyClaim{}, &Failure{
		Code:    callerapi.CodeLimit,
		Message: "the key was run too often; use a new one",
		Outcome: callerapi.OutcomeUnknown,
	}
}

func (r *Router) claimGeneration(ctx context.Context, req ModelRequest, params modelParams, f fleet.Fingerprint, claim outcome.Claim) claimDecision {
	ledgerCtx, cancel := context.WithTimeout(ctx, r.bounds.LedgerTimeout)
	defer cancel()
	verdict, record, err := r.opts.Ledger.Claim(ledgerCtx, claim)
	if err != nil {
		return claimDecision{failure: unknownOutcomeFailure()}
	}
	return decideClaim(claimInput{
		verdict:     verdict,
		record:      record,
		ownAttempt:  claim.Attempt,
		fingerprint: f,
		waited:      time.Since(req.Arrived),
		untilSwept:  params.timeouts.EndpointLease + params.timeouts.InstanceLease,
		patience:    time.Until(req.Arrived.Add(params.patience)),
	})
}

// recordOutcome records the end of a claimed attempt at the ledger and waits for that
// up to Bounds.FinishTimeout. A call is answered after it, so that a repeat right after
// the answer finds the record.
func (r *Router) recordOutcome(claim outcome.Claim, kind pb.OutcomeKind, statusCode int) {
	ctx, cancel := context.WithTimeout(context.Background(), r.bounds.FinishTimeout)
	defer cancel()
	err := r.opts.Ledger.Finish(ctx, claim, kind, statusCode)
	if err != nil {
		r.opts.Logger.Warn("outcome not yet recorded at the ledger", "attempt", claim.Attempt, "err", err)
		return
	}
	r.record(timeline.Event{Kind: timeline.KindLedgerDone, Attempt: claim.Attempt, Detail: kind.String()})
}
