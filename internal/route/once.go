package route

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// onceTries bounds the endpoints that a call which was provably never sent
// may still go to.
const onceTries = 2

// once runs a call that may not be repeated: slot, claim, last check, one
// send.
//
// A second send, here or at another entry, shows as a second truck at the
// bank. It can't happen: one attempt per key is decided at the ledger before
// the first byte, this attempt is sent again only when the error proves that
// no byte left, and the gate refuses a daemon that slept past its lease.
func (m *callRun) once(ctx context.Context) (*CallAnswer, *Failure) {
	done, failure := m.admit()
	if failure != nil {
		return nil, m.unclaimed(ctx, failure)
	}
	defer done()
	id := newClaimAttempt(m.fingerprint)
	alone, s := m.turn(ctx, id)
	if s != nil {
		return nil, m.unclaimed(ctx, onceFailure(s, false))
	}
	h, s := m.take(ctx, id, alone)
	if s != nil {
		m.settle(nil, id, s)
		return nil, m.unclaimed(ctx, onceFailure(s, false))
	}
	claim, failure := m.claim(ctx, id, h)
	if failure != nil {
		m.settle(h, id, &setback{cause: causeRefused})
		return nil, failure
	}
	end := callEnd{kind: pb.OutcomeKind_OUTCOME_KIND_UNKNOWN} // should the send panic
	defer func() { m.router.finish(claim, end.kind, end.statusCode) }()
	answer, sent, s := m.sendOnce(ctx, h, id, alone)
	if s != nil {
		failure = onceFailure(s, sent)
		end.kind = kindOf(failure)
		return nil, failure
	}
	end = callEnd{kind: pb.OutcomeKind_OUTCOME_KIND_COMPLETED, statusCode: answer.StatusCode}
	return answer, nil
}

// callEnd is what the ledger keeps of a call.
type callEnd struct {
	kind       pb.OutcomeKind
	statusCode int
}

// claim decides the record for this attempt.
func (m *callRun) claim(ctx context.Context, id fleet.AttemptID, h *hold) (outcome.Claim, *Failure) {
	key := m.req.Key
	if key == "" {
		key = string(newAttemptID())
	}
	claim := outcome.Claim{
		Key:       m.router.hash.recordKey(m.req.Team, key, 0),
		Team:      m.req.Team,
		Fresh:     m.req.Key == "",
		Permitted: m.class.permitted,
		Attempt:   id,
		Endpoint:  h.target.ID,
	}
	local, cancel := context.WithTimeout(ctx, m.router.bounds.LedgerTime)
	defer cancel()
	verdict, record, err := m.router.opts.Ledger.Claim(local, claim)
	failure := judgeOnce(verdict, record, err, m.req.Key != "", id, m.fingerprint)
	if failure != nil {
		m.router.record(timeline.Event{Kind: timeline.KindLedgerRefused, Request: m.req.ID, Team: m.req.Team, Attempt: id, Detail: string(failure.Code)})
		return claim, failure
	}
	m.event(timeline.KindLedgerClaimed, id, h.target.ID)
	return claim, nil
}

// judgeOnce reads a claim's verdict for a call that may not be repeated; nil:
// run. Pure. A key that was decided once is never run again, whatever became
// of it.
func judgeOnce(v outcome.Verdict, record outcome.Record, err error, keyed bool, mine fleet.AttemptID, f fleet.Fingerprint) *Failure {
	others := record.Attempt != "" && record.Attempt != mine
	switch {
	case err != nil && !keyed:
		return refused(callerapi.CodeInternal, "its record can't be written now", 0)
	case err != nil:
		return unknownFate()
	case others && !sameBody(record.Attempt, f):
		return keyReused()
	case v == outcome.VerdictRun:
		return nil
	case v == outcome.VerdictInFlight:
		return inFlight()
	case v == outcome.VerdictNotRun:
		return notRun(callerapi.CodeRecorded, "it was not run; use a new key to run it", 0)
	case v == outcome.VerdictRecorded:
		return recorded(record)
	case !keyed:
		// The key is this call's own and unsent: no other copy exists.
		return refused(callerapi.CodeInternal, "its record can't be decided now", 0)
	}
	return unknownFate()
}

// recorded answers the repeat of a call that has ended.
func recorded(record outcome.Record) *Failure {
	return &Failure{
		Code:       callerapi.CodeRecorded,
		Message:    "it ran before; its answer is not kept",
		Outcome:    recordedOutcome(record.Outcome),
		StatusCode: record.StatusCode,
	}
}

// sendOnce sends the claimed call. Once it has left it is no longer bound to
// its caller: ending it early would only make its outcome unknown.
func (m *callRun) sendOnce(ctx context.Context, h *hold, id fleet.AttemptID, alone bool) (answer *CallAnswer, sent bool, s *setback) {
	for n := 1; ; n++ {
		if ctx.Err() != nil {
			s = &setback{cause: fromContext(ctx)}
			m.settle(h, id, s)
			return nil, false, s
		}
		answer, sent, s = m.exchangeUnbound(ctx, h, id)
		m.settle(h, id, s)
		if s == nil || sent {
			return answer, sent, s
		}
		if !mendable(s.cause) || n >= onceTries || !m.router.mayTryAgain(m.req.Team, s) {
			return nil, false, s
		}
		m.avoid.add(s.endpoint)
		// The first take's release may reach the same home after this take.
		next, refusal := m.take(ctx, newAttemptID(), alone)
		if refusal != nil {
			return nil, false, refusal
		}
		h = next
	}
}

// exchangeUnbound sends the call so that only Abort ends it early.
func (m *callRun) exchangeUnbound(ctx context.Context, h *hold, id fleet.AttemptID) (answer *CallAnswer, sent bool, s *setback) {
	unbound, stop := m.router.abortable(context.WithoutCancel(ctx))
	defer stop()
	return m.exchange(unbound, h, id)
}

// onceFailure is the caller's answer when the call has no whole answer: not
// run when no byte left, unknown otherwise. Pure.
func onceFailure(s *setback, sent bool) *Failure {
	f := finalFailure(retryInput{setback: s})
	if !sent {
		f.Outcome = callerapi.OutcomeNotRun
		return f
	}
	return &Failure{
		Code:     callerapi.CodeUnknown,
		Message:  "the service gave no whole answer; whether it ran is not known",
		Outcome:  callerapi.OutcomeUnknown,
		TimedOut: s.cause == causeStalled || s.cause == causeDeadline,
	}
}
