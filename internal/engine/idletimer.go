package engine

import (
	"math"
	"sync/atomic"
	"time"
)

// IdleTimer is an idle timer: it calls a function when one wait has exceeded the
// limit. Begin and End cost one atomic store each, where stopping and resetting
// a timer for each token would cost a lock and often wake another thread. The
// timer keeps running instead and, when it fires, checks how long the present
// wait has lasted.
//
// Begin, End and SetLimit are for one goroutine; another one may call Close.
type IdleTimer struct {
	epoch     time.Time
	onTimeout func()
	limit     atomic.Int64 // ns
	waitStart atomic.Int64 // ns after epoch; notWaiting: no wait
	closed    atomic.Bool
	timer     *time.Timer
}

const notWaiting = -1

// NewIdleTimer returns a watch whose first wait has begun. onTimeout is called in a
// goroutine of its own, at most once, when a wait has lasted for limit.
func NewIdleTimer(limit time.Duration, onTimeout func()) *IdleTimer {
	w := &IdleTimer{epoch: time.Now(), onTimeout: onTimeout}
	w.limit.Store(int64(limit))
	w.timer = time.AfterFunc(math.MaxInt64, w.check)
	w.timer.Reset(limit)
	return w
}

// BeginWait starts a wait.
func (w *IdleTimer) BeginWait() { w.waitStart.Store(int64(time.Since(w.epoch))) }

// EndWait ends the wait; the time until the next Begin doesn't count.
func (w *IdleTimer) EndWait() { w.waitStart.Store(notWaiting) }

// SetLimit sets the limit and starts a wait.
func (w *IdleTimer) SetLimit(limit time.Duration) {
	w.limit.Store(int64(limit))
	w.BeginWait()
	w.setTimer(limit)
}

// Close stops the watch for good.
func (w *IdleTimer) Close() {
	w.closed.Store(true)
	w.timer.Stop()
}

// check is called when the timer fires.
func (w *IdleTimer) check() {
	limit := time.Duration(w.limit.Load())
	since := w.waitStart.Load()
	if since == notWaiting {
		w.setTimer(limit)
		return
	}
	left := limit - (time.Since(w.epoch) - time.Duration(since))
	if left > 0 {
		w.setTimer(left)
		return
	}
	if !w.closed.Swap(true) {
		w.onTimeout()
	}
}

// setTimer resets the timer, unless the watch has been closed meanwhile.
func (w *IdleTimer) setTimer(in time.Duration) {
	w.timer.Reset(in)
	if w.closed.Load() {
		w.timer.Stop()
	}
}
