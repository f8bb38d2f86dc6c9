package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// runRepeatable runs an idempotent call and retries it at other endpoints when one
// fails. It needs no ledger record, as running it twice is harmless.
func (m *activeCall) runRepeatable(ctx context.Context) (*CallResponse, *Failure) {
	done, failure := m.admit()
	if failure != nil {
		return nil, failure
	}
	defer done()
	touched := false
	for attempts := 1; ; attempts++ {
		answer, sent, failed := m.tryRepeatable(ctx)
		if failed == nil {
			return answer, nil
		}
		touched = touched || sent
		m.avoid.add(failed.endpoint)
		in := retryInput{
			attemptFailure: failed,
			attempts:       attempts,
			maxAttempts:    m.router.bounds.MaxAttempts,
			maybeSent:      touched,
			now:            time.Now(),
			deadline:       m.deadline,
		}
		d := decideRetry(in)
		if !d.retry {
			return nil, d.failure
		}
		if !m.router.mayRetryAfter(m.req.Team, failed) {
			return nil, callerFailure(in)
		}
		m.recordEvent(timeline.KindRetry, "", failed.endpoint)
	}
}

func (m *activeCall) tryRepeatable(ctx context.Context) (answer *CallResponse, sent bool, failed *attemptFailure) {
	id := newAttemptID()
	alone, failed := m.awaitTurn(ctx, id)
	if failed != nil {
		return nil, false, failed
	}
	h, failed := m.acquireSlot(ctx, id, alone)
	if failed != nil {
		m.finishAttempt(nil, id, failed)
		return nil, false, failed
	}
	answer, sent, failed = m.exchange(ctx, h, id)
	m.finishAttempt(h, id, failed)
	if failed == nil {
		m.router.recordSuccess(m.req.Team, h.target.ID)
	}
	return answer, sent, failed
}
