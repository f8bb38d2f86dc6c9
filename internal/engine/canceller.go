package engine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
)

// canceller sends the cancels of a cancelQueue with a pool of workers, which
// start when a cancel is added and end when none is left to send. mu isn't held
// during I/O.
type canceller struct {
	log        logging.Part
	metrics    *metrics
	send       func(context.Context, Target, fleet.AttemptID) error
	maxWorkers int

	mu      sync.Mutex
	queue   *cancelQueue
	workers int
	wake    chan struct{} // closed and replaced when a cancel is added
}

func newCanceller(o Options, m *metrics, send func(context.Context, Target, fleet.AttemptID) error) *canceller {
	return &canceller{
		log:        o.Part,
		metrics:    m,
		send:       send,
		maxWorkers: o.MaxCancelWorkers,
		queue:      newCancelQueue(o.CancelTimeout, o.MaxPendingCancels),
		wake:       make(chan struct{}),
	}
}

func (c *canceller) add(t Target, attempt fleet.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queue.add(time.Now(), t, attempt) {
		c.metrics.unconfirmed.Inc()
		c.log.Warn("too many cancels wait for confirmation", "endpoint", t.ID, "attempt", attempt)
		return
	}
	c.metrics.pendingCancels.Set(float64(len(c.queue.pending)))
	close(c.wake)
	c.wake = make(chan struct{})
	if c.workers < c.maxWorkers {
		c.workers++
		go c.runWorker()
	}
}

func (c *canceller) runWorker() {
	for {
		due, wait, wake := c.nextDue()
		if due != nil {
			c.recordResult(due, c.send(context.Background(), due.target, due.attempt))
			continue
		}
		if wait == 0 {
			return
		}
		waitForWake(wait, wake)
	}
}

func waitForWake(wait time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	}
}

// nextDue returns a cancel that is due, or the time to wait for one. If it returns
// neither, the worker has been removed from the count and must end.
func (c *canceller) nextDue() (*pendingCancel, time.Duration, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	due, wait := c.queue.take(time.Now())
	if due == nil && wait == 0 {
		c.workers--
	}
	return due, wait, c.wake
}

func (c *canceller) recordResult(p *pendingCancel, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() { c.metrics.pendingCancels.Set(float64(len(c.queue.pending))) }()
	if isSettled(err) {
		c.queue.remove(p)
		return
	}
	if c.queue.reschedule(time.Now(), p) {
		return
	}
	c.metrics.unconfirmed.Inc()
	c.log.Warn("giving up on a cancel that the endpoint has not confirmed", "endpoint", p.target.ID, "attempt", p.attempt, "err", err)
}

// isSettled reports whether the endpoint no longer holds anything of the attempt:
// it confirmed the cancel, or answered with CodeStale.
func isSettled(err error) bool {
	if err == nil {
		return true
	}
	var failure *Error
	return errors.As(err, &failure) && failure.Code == engineapi.CodeStale
}
