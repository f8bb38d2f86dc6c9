package engine

import (
	"container/heap"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// The backoff after an unconfirmed cancel doubles from the initial to the maximum value.
const (
	initialCancelBackoff = 50 * time.Millisecond
	maxCancelBackoff     = time.Second
)

type cancelKey struct {
	endpoint    fleet.EndpointID
	incarnation fleet.Incarnation
	attempt     fleet.AttemptID
}

// pendingCancel is a cancel that the endpoint hasn't confirmed yet.
type pendingCancel struct {
	target   Target
	attempt  fleet.AttemptID
	due      time.Time
	deadline time.Time
	backoff  time.Duration
}

func (p *pendingCancel) key() cancelKey {
	return cancelKey{endpoint: p.target.ID, incarnation: p.target.Incarnation, attempt: p.attempt}
}

// cancelQueue schedules cancels and their retries. It is not safe for concurrent
// use. Each operation takes time logarithmic in the number of pending cancels, so
// that thousands of cancels for a dead endpoint don't stall the daemon.
type cancelQueue struct {
	pending    map[cancelKey]*pendingCancel
	scheduled  dueHeap // those not being sent
	timeout    time.Duration
	maxPending int
}

func newCancelQueue(timeout time.Duration, maxPending int) *cancelQueue {
	return &cancelQueue{pending: map[cancelKey]*pendingCancel{}, timeout: timeout, maxPending: maxPending}
}

// add schedules a cancel at once; one that is pending already isn't added again.
// ok is false when the queue is full.
func (p *cancelQueue) add(now time.Time, t Target, attempt fleet.AttemptID) (ok bool) {
	next := &pendingCancel{target: t, attempt: attempt, due: now, deadline: now.Add(p.timeout), backoff: initialCancelBackoff}
	if _, known := p.pending[next.key()]; known {
		return true
	}
	if len(p.pending) >= p.maxPending {
		return false
	}
	p.pending[next.key()] = next
	heap.Push(&p.scheduled, next)
	return true
}

// take returns a cancel that is due. It isn't scheduled again until the caller
// passes it to remove or reschedule. If due is nil, wait is the time until the
// next one is due; 0 means that none is scheduled.
func (p *cancelQueue) take(now time.Time) (due *pendingCancel, wait time.Duration) {
	if len(p.scheduled) == 0 {
		return nil, 0
	}
	if first := p.scheduled[0]; first.due.After(now) {
		return nil, first.due.Sub(now)
	}
	return heap.Pop(&p.scheduled).(*pendingCancel), 0
}

// remove deletes a cancel from take that needs no retry.
func (p *cancelQueue) remove(c *pendingCancel) {
	delete(p.pending, c.key())
}

// reschedule schedules the retry of a cancel from take. ok is false when that
// would be past its deadline; the cancel is then deleted.
func (p *cancelQueue) reschedule(now time.Time, c *pendingCancel) (ok bool) {
	c.due = now.Add(c.backoff)
	c.backoff = min(2*c.backoff, maxCancelBackoff)
	if c.due.After(c.deadline) {
		delete(p.pending, c.key())
		return false
	}
	heap.Push(&p.scheduled, c)
	return true
}
