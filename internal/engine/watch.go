package engine

import (
	"math"
	"sync/atomic"
	"time"
)

// Watch ends something that has been waited for too long. Begin and End cost
// an atomic store each, where stopping and resetting a timer for each token
// costs a lock and often a wake-up of another thread: the timer is left alone
// and looks, when it fires, how long the wait has really lasted.
//
// Begin, End and SetLimit are for one goroutine; Close may come from another.
type Watch struct {
	epoch  time.Time
	over   func()
	limit  atomic.Int64 // ns
	since  atomic.Int64 // start of the wait, ns after epoch; notWaiting: none
	closed atomic.Bool
	timer  *time.Timer
}

const notWaiting = -1

// NewWatch makes a watch whose wait has begun. over is called in a goroutine
// of its own, at most once, when a wait has lasted for limit.
func NewWatch(limit time.Duration, over func()) *Watch {
	w := &Watch{epoch: time.Now(), over: over}
	w.limit.Store(int64(limit))
	w.timer = time.AfterFunc(math.MaxInt64, w.look)
	w.timer.Reset(limit)
	return w
}

// Begin starts a wait.
func (w *Watch) Begin() { w.since.Store(int64(time.Since(w.epoch))) }

// End ends it: what comes now takes its own time.
func (w *Watch) End() { w.since.Store(notWaiting) }

// SetLimit begins a wait with another limit.
func (w *Watch) SetLimit(limit time.Duration) {
	w.limit.Store(int64(limit))
	w.Begin()
	w.arm(limit)
}

// Close ends the watch for good.
func (w *Watch) Close() {
	w.closed.Store(true)
	w.timer.Stop()
}

// look runs when the timer fires.
func (w *Watch) look() {
	limit := time.Duration(w.limit.Load())
	since := w.since.Load()
	if since == notWaiting {
		w.arm(limit)
		return
	}
	left := limit - (time.Since(w.epoch) - time.Duration(since))
	if left > 0 {
		w.arm(left)
		return
	}
	if !w.closed.Swap(true) {
		w.over()
	}
}

// arm sets the timer, unless the watch was closed meanwhile.
func (w *Watch) arm(in time.Duration) {
	w.timer.Reset(in)
	if w.closed.Load() {
		w.timer.Stop()
	}
}
