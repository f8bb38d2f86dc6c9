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

// canceller is a pool of workers over a cancelPlan. Workers start with the
// first cancel and end when none is left. mu is held for no I/O.
type canceller struct {
	part    logging.Part
	metrics *metrics
	try     func(context.Context, Target, fleet.AttemptID) error
	most    int // workers

	mu      sync.Mutex
	plan    *cancelPlan
	workers int
	wake    chan struct{} // closed and replaced when a cancel is added
}

func newCanceller(o Options, m *metrics, try func(context.Context, Target, fleet.AttemptID) error) *canceller {
	return &canceller{
		part:    o.Part,
		metrics: m,
		try:     try,
		most:    o.CancelWorkers,
		plan:    newCancelPlan(o.CancelTimeout, o.CancelPending),
		wake:    make(chan struct{}),
	}
}

func (c *canceller) add(t Target, attempt fleet.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.plan.add(time.Now(), t, attempt) {
		c.metrics.dropped.Inc()
		c.part.Warn("too many cancels wait for confirmation", "endpoint", t.ID, "attempt", attempt)
		return
	}
	c.metrics.pending.Set(float64(len(c.plan.pending)))
	close(c.wake)
	c.wake = make(chan struct{})
	if c.workers < c.most {
		c.workers++
		go c.work()
	}
}

func (c *canceller) work() {
	for {
		due, wait, wake := c.take()
		if due != nil {
			c.done(due, c.try(context.Background(), due.target, due.attempt))
			continue
		}
		if wait == 0 {
			return
		}
		pause(wait, wake)
	}
}

func pause(wait time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	}
}

// take gives work, a time to wait, or neither: the worker has then been
// counted off.
func (c *canceller) take() (*pendingCancel, time.Duration, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	due, wait := c.plan.take(time.Now())
	if due == nil && wait == 0 {
		c.workers--
	}
	return due, wait, c.wake
}

func (c *canceller) done(p *pendingCancel, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() { c.metrics.pending.Set(float64(len(c.plan.pending))) }()
	if settled(err) {
		c.plan.confirmed(p)
		return
	}
	if c.plan.failed(time.Now(), p) {
		return
	}
	c.metrics.dropped.Inc()
	c.part.Warn("endpoint never confirmed a cancel", "endpoint", p.target.ID, "attempt", p.attempt, "err", err)
}

// settled tells whether the endpoint holds nothing of the attempt any more: it
// confirmed, or knows neither attempt nor incarnation.
func settled(err error) bool {
	if err == nil {
		return true
	}
	var failure *Error
	return errors.As(err, &failure) && failure.Code == engineapi.CodeStale
}
