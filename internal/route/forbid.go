package route

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// forbidInput names a keyed call that is refused before its claim.
type forbidInput struct {
	team        fleet.Team
	key         string
	permitted   fleet.ZoneSet
	fingerprint fleet.Fingerprint
}

// truthful makes a refusal of a keyed request true over all entries: "not
// run" is answered only after a tombstone is decided.
//
// Without it an overloaded entry would answer "not run" to the repeat of a
// pickup slip that another entry has already dispatched, and the caller would
// send a second truck.
func (r *Router) truthful(ctx context.Context, in forbidInput, f *Failure) *Failure {
	if f.Outcome != callerapi.OutcomeNotRun {
		return f
	}
	out := *f
	out.Outcome = r.forbid(ctx, in)
	return &out
}

func (r *Router) forbid(ctx context.Context, in forbidInput) callerapi.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.bounds.LedgerTime)
	defer cancel()
	verdict, record, err := r.opts.Ledger.Forbid(ctx, outcome.Claim{
		Key:       r.hash.recordKey(in.team, in.key, 0),
		Team:      in.team,
		Permitted: in.permitted,
		Attempt:   newClaimAttempt(in.fingerprint),
	})
	if err != nil {
		return callerapi.OutcomeUnknown
	}
	return outcomeOf(verdict, record)
}

// outcomeOf reads a verdict for a caller. Pure.
func outcomeOf(v outcome.Verdict, record outcome.Record) callerapi.Outcome {
	switch v {
	case outcome.VerdictNotRun:
		return callerapi.OutcomeNotRun
	case outcome.VerdictInFlight:
		return callerapi.OutcomeInFlight
	case outcome.VerdictRecorded:
		return recordedOutcome(record.Outcome)
	}
	return callerapi.OutcomeUnknown
}

func recordedOutcome(k pb.OutcomeKind) callerapi.Outcome {
	switch k {
	case pb.OutcomeKind_OUTCOME_KIND_COMPLETED:
		return callerapi.OutcomeCompleted
	case pb.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return callerapi.OutcomeNotRun
	case pb.OutcomeKind_OUTCOME_KIND_FAILED:
		return callerapi.OutcomeFailed
	case pb.OutcomeKind_OUTCOME_KIND_IN_FLIGHT:
		return callerapi.OutcomeInFlight
	}
	return callerapi.OutcomeUnknown
}
