package engine

import (
	"container/heap"
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
}

func (p *pendingCancel) key() cancelKey {
	return cancelKey{endpoint: p.target.ID, incarnation: p.target.Incarnation, attempt: p.attempt}
}

// cancelPlan decides which cancel is tried when. It is not safe for
// concurrent use. Each step costs the logarithm of the pending cancels, so
// that an endpoint that dies with thousands of them doesn't stop the daemon.
type cancelPlan struct {
	pending map[cancelKey]*pendingCancel
	waiting dueHeap // those not being tried
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
	heap.Push(&p.waiting, next)
	return true
}

// take gives a cancel that is due; it belongs to the taker until confirmed or
// failed. Without one, wait tells when to ask again; 0 means that nothing
// waits.
func (p *cancelPlan) take(now time.Time) (due *pendingCancel, wait time.Duration) {
	if len(p.waiting) == 0 {
		return nil, 0
	}
	if first := p.waiting[0]; first.due.After(now) {
		return nil, first.due.Sub(now)
	}
	return heap.Pop(&p.waiting).(*pendingCancel), 0
}

// confirmed drops a taken cancel that needs no more tries.
func (p *cancelPlan) confirmed(c *pendingCancel) {
	delete(p.pending, c.key())
}

// failed plans the next try of a taken cancel; ok is false when the bound has
// passed.
func (p *cancelPlan) failed(now time.Time, c *pendingCancel) (ok bool) {
	c.due = now.Add(c.wait)
	c.wait = min(2*c.wait, longestCancelWait)
	if c.due.After(c.until) {
		delete(p.pending, c.key())
		return false
	}
	heap.Push(&p.waiting, c)
	return true
}
