package engine

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// The wait after an unconfirmed cancel doubles from the first to the longest.
const (
	firstCancelWait   = 50 * time.Millisecond
	longestCancelWait = time.Second
)

type cancelKey struct {
	endpoint    fleet.EndpointID
	incarnation fleet.Incarnation
	attempt     fleet.AttemptID
}

// pendingCancel is a cancel that no endpoint has confirmed.
type pendingCancel struct {
	target  Target
	attempt fleet.AttemptID
	due     time.Time
	until   time.Time
	wait    time.Duration
	trying  bool
}

func (p *pendingCancel) key() cancelKey {
	return cancelKey{endpoint: p.target.ID, incarnation: p.target.Incarnation, attempt: p.attempt}
}

// cancelPlan decides which cancel is tried when. It is not safe for
// concurrent use.
type cancelPlan struct {
	pending map[cancelKey]*pendingCancel
	bound   time.Duration
	most    int
}

func newCancelPlan(bound time.Duration, most int) *cancelPlan {
	return &cancelPlan{pending: map[cancelKey]*pendingCancel{}, bound: bound, most: most}
}

// add takes a cancel; ok is false when the plan is full.
func (p *cancelPlan) add(now time.Time, t Target, attempt fleet.AttemptID) (ok bool) {
	next := &pendingCancel{target: t, attempt: attempt, due: now, until: now.Add(p.bound), wait: firstCancelWait}
	if _, known := p.pending[next.key()]; known {
		return true
	}
	if len(p.pending) >= p.most {
		return false
	}
	p.pending[next.key()] = next
	return true
}

// take gives a cancel that is due, marked as being tried. Without one, wait
// tells when to ask again; 0 means that nothing waits.
func (p *cancelPlan) take(now time.Time) (due *pendingCancel, wait time.Duration) {
	var first *pendingCancel
	for _, c := range p.pending {
		if c.trying {
			continue
		}
		if first == nil || c.due.Before(first.due) {
			first = c
		}
	}
	if first == nil {
		return nil, 0
	}
	if first.due.After(now) {
		return nil, first.due.Sub(now)
	}
	first.trying = true
	return first, 0
}

// confirmed drops a cancel that needs no more tries.
func (p *cancelPlan) confirmed(c *pendingCancel) {
	delete(p.pending, c.key())
}

// failed plans the next try; ok is false when the bound has passed.
func (p *cancelPlan) failed(now time.Time, c *pendingCancel) (ok bool) {
	c.trying = false
	c.due = now.Add(c.wait)
	c.wait = min(2*c.wait, longestCancelWait)
	if c.due.After(c.until) {
		delete(p.pending, c.key())
		return false
	}
	return true
}
