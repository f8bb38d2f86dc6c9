package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// runRepeatable runs an idempotent call and retries it at other endpoints when one
// fails. It needs no ledger record, as running it twice is harmless.
func (c *activeCall) runRepeatable(ctx context.Context) (*CallResponse, *Failure) {
	done, failure := c.admit()
	if failure != nil {
		return nil, failure
	}
	defer done()
	maybeSent := false
	for attempts := 1; ; attempts++ {
		answer, sent, failed := c.tryRepeatable(ctx)
		if failed == nil {
			return answer, nil
		}
		maybeSent = maybeSent || sent
		c.avoid.add(failed.endpoint)
		in := retryInput{
			attemptFailure: failed,
			attempts:       attempts,
			maxAttempts:    c.router.bounds.MaxAttempts,
			maybeSent:      maybeSent,
			now:            time.Now(),
			deadline:       c.deadline,
		}
		d := decideRetry(in)
		if !d.retry {
			return nil, d.failure
		}
		if !c.router.mayRetryAfter(c.req.Team, failed) {
			return nil, callerFailure(in)
		}
		c.recordEvent(timeline.KindRetry, "", failed.endpoint)
	}
}

func (c *activeCall) tryRepeatable(ctx context.Context) (answer *CallResponse, sent bool, failed *attemptFailure) {
	id := newAttemptID()
	alone, failed := c.awaitTurn(ctx, id)
	if failed != nil {
		return nil, false, failed
	}
	h, failed := c.acquireSlot(ctx, id, alone)
	if failed != nil {
		c.finishAttempt(nil, id, failed)
		return nil, false, failed
	}
	answer, sent, failed = c.exchange(ctx, h, id)
	c.finishAttempt(h, id, failed)
	if failed == nil {
		c.router.recordSuccess(c.req.Team, h.target.ID)
	}
	return answer, sent, failed
}
