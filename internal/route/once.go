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
func (m *activeCall) runOnce(ctx context.Context) (*CallResponse, *Failure) {
	done, failure := m.admit()
	if failure != nil {
		return nil, m.refuseUnclaimed(ctx, failure)
	}
	defer done()
	id := newClaimAttempt(m.fingerprint)
	alone, failed := m.awaitTurn(ctx, id)
	if failed != nil {
		return nil, m.refuseUnclaimed(ctx, onceFailure(failed, false))
	}
	h, failed := m.acquireSlot(ctx, id, alone)
	if failed != nil {
		m.finishAttempt(nil, id, failed)
		return nil, m.refuseUnclaimed(ctx, onceFailure(failed, false))
	}
	claim, failure := m.claim(ctx, id, h)
	if failure != nil {
		m.finishAttempt(h, id, &attemptFailure{cause: causeRefused})
		return nil, failure
	}
	end := callEnd{kind: pb.OutcomeKind_OUTCOME_KIND_UNKNOWN} // recorded if the send panics
	defer func() { m.router.recordOutcome(claim, end.kind, end.statusCode) }()
	answer, sent, failed := m.sendOnce(ctx, h, id, alone)
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
func (m *activeCall) claim(ctx context.Context, id fleet.AttemptID, h *heldGrant) (outcome.Claim, *Failure) {
	key := m.req.Key
	if key == "" {
		key = string(newAttemptID())
	}
	claim := outcome.Claim{
		Key:       m.router.hash.recordKey(m.req.Team, key, 0),
		Team:      m.req.Team,
		Fresh:     m.req.Key == "",
		Permitted: m.params.permitted,
		Attempt:   id,
		Endpoint:  h.target.ID,
	}
	local, cancel := context.WithTimeout(ctx, m.router.bounds.LedgerTimeout)
	defer cancel()
	verdict, record, err := m.router.opts.Ledger.Claim(local, claim)
	failure := decideOnce(verdict, record, err, m.req.Key != "", id, m.fingerprint)
	if failure != nil {
		m.router.record(timeline.Event{Kind: timeline.KindLedgerRefused, Request: m.req.ID, Team: m.req.Team, Attempt: id, Detail: string(failure.Code)})
		return claim, failure
	}
	m.recordEvent(timeline.KindLedgerClaimed, id, h.target.ID)
	return claim, nil
}

// decideOnce returns nil if a claim's verdict allows a call that must not be repeated
// to run, else the failure. Pure. A key that was decided once never runs again,
// whatever its outcome.
func decideOnce(v outcome.Verdict, record outcome.Record, err error, keyed bool, mine fleet.AttemptID, f fleet.Fingerprint) *Failure {
	otherAttempt := record.Attempt != "" && record.Attempt != mine
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
func (m *activeCall) sendOnce(ctx context.Context, h *heldGrant, id fleet.AttemptID, alone bool) (answer *CallResponse, sent bool, failed *attemptFailure) {
	for n := 1; ; n++ {
		if ctx.Err() != nil {
			failed = &attemptFailure{cause: causeFromContext(ctx)}
			m.finishAttempt(h, id, failed)
			return nil, false, failed
		}
		answer, sent, failed = m.exchangeDetached(ctx, h, id)
		m.finishAttempt(h, id, failed)
		if failed == nil || sent {
			return answer, sent, failed
		}
		if !isRetryable(failed.cause) || n >= maxOnceAttempts || !m.router.mayRetryAfter(m.req.Team, failed) {
			return nil, false, failed
		}
		m.avoid.add(failed.endpoint)
		// A new ID, as the release of the first grant may reach the same home after this
		// request for a grant.
		next, refusal := m.acquireSlot(ctx, newAttemptID(), alone)
		if refusal != nil {
			return nil, false, refusal
		}
		h = next
	}
}

// exchangeDetached sends the call so that only Abort or its timeout ends it early.
func (m *activeCall) exchangeDetached(ctx context.Context, h *heldGrant, id fleet.AttemptID) (answer *CallResponse, sent bool, failed *attemptFailure) {
	unbound, stop := m.router.withAbort(context.WithoutCancel(ctx))
	defer stop()
	return m.exchange(unbound, h, id)
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
