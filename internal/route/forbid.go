package route

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// forbidInput identifies a keyed call that is refused before its claim.
type forbidInput struct {
	team        fleet.Team
	key         string
	permitted   fleet.ZoneSet
	fingerprint fleet.Fingerprint
}

// confirmNotRun makes a "not run" refusal of a keyed call hold at all entries: it
// is answered only after the ledger has decided on a tombstone for the key.
//
// Otherwise an overloaded entry would answer "not run" to the repeat of a call that
// another entry has already sent, and the caller would trigger it a second time.
func (r *Router) confirmNotRun(ctx context.Context, in forbidInput, f *Failure) *Failure {
	if f.Outcome != callerapi.OutcomeNotRun {
		return f
	}
	out := *f
	out.Outcome = r.forbid(ctx, in)
	return &out
}

func (r *Router) forbid(ctx context.Context, in forbidInput) callerapi.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.bounds.LedgerTimeout)
	defer cancel()
	verdict, record, err := r.opts.Ledger.Forbid(ctx, outcome.Claim{
		Key:            r.hash.recordKey(in.team, in.key, 0),
		Team:           in.team,
		PermittedZones: in.permitted,
		Attempt:        newClaimAttempt(in.fingerprint),
	})
	if err != nil {
		return callerapi.OutcomeUnknown
	}
	return outcomeOf(verdict, record)
}

// outcomeOf returns the outcome that a verdict means for the caller. Pure.
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
