package engine

import (
	"math"
	"sync/atomic"
	"time"
)

// IdleTimer calls a function when one wait has exceeded the limit. BeginWait and
// EndWait cost one atomic store each, where stopping and resetting a timer for
// each token would cost a lock and often wake another thread. The timer keeps
// running instead and, when it fires, checks how long the present wait has lasted.
//
// BeginWait, EndWait and SetLimit are for one goroutine; another one may call Close.
type IdleTimer struct {
	epoch     time.Time
	onTimeout func()
	limit     atomic.Int64 // ns
	waitStart atomic.Int64 // ns after epoch; notWaiting: no wait
	closed    atomic.Bool
	timer     *time.Timer
}

const notWaiting = -1

// NewIdleTimer returns a timer whose first wait has begun. onTimeout is called in a
// goroutine of its own, at most once, when a wait has lasted for limit.
func NewIdleTimer(limit time.Duration, onTimeout func()) *IdleTimer {
	t := &IdleTimer{epoch: time.Now(), onTimeout: onTimeout}
	t.limit.Store(int64(limit))
	t.timer = time.AfterFunc(math.MaxInt64, t.check)
	t.timer.Reset(limit)
	return t
}

// BeginWait starts a wait.
func (t *IdleTimer) BeginWait() { t.waitStart.Store(int64(time.Since(t.epoch))) }

// EndWait ends the wait; the time until the next BeginWait doesn't count.
func (t *IdleTimer) EndWait() { t.waitStart.Store(notWaiting) }

// SetLimit sets the limit and starts a wait.
func (t *IdleTimer) SetLimit(limit time.Duration) {
	t.limit.Store(int64(limit))
	t.BeginWait()
	t.setTimer(limit)
}

// Close stops the timer for good.
func (t *IdleTimer) Close() {
	t.closed.Store(true)
	t.timer.Stop()
}

// check is called when the timer fires.
func (t *IdleTimer) check() {
	limit := time.Duration(t.limit.Load())
	since := t.waitStart.Load()
	if since == notWaiting {
		t.setTimer(limit)
		return
	}
	left := limit - (time.Since(t.epoch) - time.Duration(since))
	if left > 0 {
		t.setTimer(left)
		return
	}
	if !t.closed.Swap(true) {
		t.onTimeout()
	}
}

// setTimer resets the timer, unless Close has been called meanwhile.
func (t *IdleTimer) setTimer(in time.Duration) {
	t.timer.Reset(in)
	if t.closed.Load() {
		t.timer.Stop()
	}
}
