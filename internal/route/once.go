package route

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// maxOnceAttempts limits the attempts of a call that must not be repeated and provably
// hasn't run.
const maxOnceAttempts = 2

// runOnce runs a call that must not be repeated: grant, claim, last check, one send.
//
// A second send, here or at another entry, would carry out the call's effect twice.
// It is ruled out as follows: the ledger decides on one attempt per key before the
// first byte is sent, that attempt is sent again only if the error proves that the
// call didn't run, and the gate refuses to send when the entry's lease has expired.
func (c *activeCall) runOnce(ctx context.Context) (*CallResponse, *Failure) {
	done, failure := c.admit()
	if failure != nil {
		return nil, c.refuseUnclaimed(ctx, failure)
	}
	defer done()
	id := newClaimAttempt(c.fingerprint)
	alone, failed := c.awaitTurn(ctx, id)
	if failed != nil {
		return nil, c.refuseUnclaimed(ctx, onceFailure(failed, false))
	}
	h, failed := c.acquireSlot(ctx, id, alone)
	if failed != nil {
		c.finishAttempt(nil, id, failed)
		return nil, c.refuseUnclaimed(ctx, onceFailure(failed, false))
	}
	claim, failure := c.claim(ctx, id, h)
	if failure != nil {
		c.finishAttempt(h, id, &attemptFailure{cause: causeRefused})
		return nil, failure
	}
	end := callEnd{kind: pb.OutcomeKind_OUTCOME_KIND_UNKNOWN} // recorded if the send panics
	defer func() { c.router.recordOutcome(claim, end.kind, end.statusCode) }()
	answer, sent, failed := c.sendOnce(ctx, h, id, alone)
	if failed != nil {
		failure = onceFailure(failed, sent)
		end.kind = outcomeKind(failure)
		return nil, failure
	}
	end = callEnd{kind: pb.OutcomeKind_OUTCOME_KIND_COMPLETED, statusCode: answer.StatusCode}
	return answer, nil
}

// callEnd is the part of a call's end that the ledger records.
type callEnd struct {
	kind       pb.OutcomeKind
	statusCode int
}

// claim claims the call's key at the ledger for this attempt.
func (c *activeCall) claim(ctx context.Context, id fleet.AttemptID, h *heldGrant) (outcome.Claim, *Failure) {
	key := c.req.Key
	if key == "" {
		key = string(newAttemptID())
	}
	claim := outcome.Claim{
		Key:            c.router.hash.recordKey(c.req.Team, key, 0),
		Team:           c.req.Team,
		UniqueKey:      c.req.Key == "",
		PermittedZones: c.params.permitted,
		Attempt:        id,
		Endpoint:       h.target.ID,
	}
	ledgerCtx, cancel := context.WithTimeout(ctx, c.router.bounds.LedgerTimeout)
	defer cancel()
	verdict, record, err := c.router.opts.Ledger.Claim(ledgerCtx, claim)
	failure := decideOnce(verdict, record, err, c.req.Key != "", id, c.fingerprint)
	if failure != nil {
		c.router.record(timeline.Event{Kind: timeline.KindLedgerRefused, Request: c.req.ID, Team: c.req.Team, Attempt: id, Detail: string(failure.Code)})
		return claim, failure
	}
	c.recordEvent(timeline.KindLedgerClaimed, id, h.target.ID)
	return claim, nil
}

// decideOnce returns nil if a claim's verdict allows a call that must not be repeated
// to run, else the failure. Pure. A key that was decided once never runs again,
// whatever its outcome.
func decideOnce(v outcome.Verdict, record outcome.Record, err error, keyed bool, ownAttempt fleet.AttemptID, f fleet.Fingerprint) *Failure {
	otherAttempt := record.Attempt != "" && record.Attempt != ownAttempt
	switch {
	case err != nil && !keyed:
		return refused(callerapi.CodeInternal, "its record can't be written now", 0)
	case err != nil:
		return unknownOutcomeFailure()
	case otherAttempt && !sameBody(record.Attempt, f):
		return keyReusedFailure()
	case v == outcome.VerdictRun:
		return nil
	case v == outcome.VerdictInFlight:
		return inFlightFailure()
	case v == outcome.VerdictNotRun:
		return notRun(callerapi.CodeRecorded, "it was not run; use a new key to run it", 0)
	case v == outcome.VerdictRecorded:
		return recordedFailure(record)
	case !keyed:
		// The key is this call's own and unsent: no other copy exists.
		return refused(callerapi.CodeInternal, "its record can't be decided now", 0)
	}
	return unknownOutcomeFailure()
}

// recordedFailure returns the failure of a repeat of a call that has ended.
func recordedFailure(record outcome.Record) *Failure {
	return &Failure{
		Code:       callerapi.CodeRecorded,
		Message:    "it ran before; its answer is not kept",
		Outcome:    recordedOutcome(record.Outcome),
		StatusCode: record.StatusCode,
	}
}

// sendOnce sends the claimed call. The end of ctx doesn't end a call that has been
// sent, since that would only make its outcome unknown.
func (c *activeCall) sendOnce(ctx context.Context, h *heldGrant, id fleet.AttemptID, alone bool) (answer *CallResponse, sent bool, failed *attemptFailure) {
	for n := 1; ; n++ {
		if ctx.Err() != nil {
			failed = &attemptFailure{cause: causeFromContext(ctx)}
			c.finishAttempt(h, id, failed)
			return nil, false, failed
		}
		answer, sent, failed = c.exchangeDetached(ctx, h, id)
		c.finishAttempt(h, id, failed)
		if failed == nil || sent {
			return answer, sent, failed
		}
		if !isRetryable(failed.cause) || n >= maxOnceAttempts || !c.router.mayRetryAfter(c.req.Team, failed) {
			return nil, false, failed
		}
		c.avoid.add(failed.endpoint)
		// A new ID, as the release of the first grant may reach the same home after this
		// request for a grant.
		next, refusal := c.acquireSlot(ctx, newAttemptID(), alone)
		if refusal != nil {
			return nil, false, refusal
		}
		h = next
	}
}

// exchangeDetached sends the call so that only Abort or its timeout ends it early.
func (c *activeCall) exchangeDetached(ctx context.Context, h *heldGrant, id fleet.AttemptID) (answer *CallResponse, sent bool, failed *attemptFailure) {
	detached, stop := c.router.withAbort(context.WithoutCancel(ctx))
	defer stop()
	return c.exchange(detached, h, id)
}

// onceFailure returns the failure of a call without a complete response: "not run" if
// the call provably didn't run, "unknown" otherwise. Pure.
func onceFailure(failed *attemptFailure, sent bool) *Failure {
	f := callerFailure(retryInput{attemptFailure: failed})
	if !sent {
		f.Outcome = callerapi.OutcomeNotRun
		return f
	}
	return &Failure{
		Code:     callerapi.CodeUnknown,
		Message:  "the service gave no whole answer; whether it ran is not known",
		Outcome:  callerapi.OutcomeUnknown,
		TimedOut: failed.cause == causeStalled || failed.cause == causeDeadline,
	}
}
