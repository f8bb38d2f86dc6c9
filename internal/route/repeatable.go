package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// repeatable runs an idempotent call, again elsewhere when an endpoint fails
// it. It needs no record: running it twice changes nothing.
func (m *callRun) repeatable(ctx context.Context) (*CallAnswer, *Failure) {
	done, failure := m.admit()
	if failure != nil {
		return nil, failure
	}
	defer done()
	touched := false
	for attempts := 1; ; attempts++ {
		answer, sent, s := m.tryRepeatable(ctx)
		if s == nil {
			return answer, nil
		}
		touched = touched || sent
		m.avoid.add(s.endpoint)
		in := retryInput{
			setback:  s,
			attempts: attempts,
			most:     m.router.bounds.Attempts,
			touched:  touched,
			now:      time.Now(),
			deadline: m.deadline,
		}
		d := decideRetry(in)
		if !d.again {
			return nil, d.failure
		}
		if !m.router.mayTryAgain(m.req.Team, s) {
			return nil, finalFailure(in)
		}
		m.event(timeline.KindRetry, "", s.endpoint)
	}
}

func (m *callRun) tryRepeatable(ctx context.Context) (answer *CallAnswer, sent bool, s *setback) {
	id := newAttemptID()
	alone, s := m.turn(ctx, id)
	if s != nil {
		return nil, false, s
	}
	h, s := m.take(ctx, id, alone)
	if s != nil {
		m.settle(nil, id, s)
		return nil, false, s
	}
	answer, sent, s = m.exchange(ctx, h, id)
	m.settle(h, id, s)
	if s == nil {
		m.router.succeeded(m.req.Team, h.target.ID)
	}
	return answer, sent, s
}
