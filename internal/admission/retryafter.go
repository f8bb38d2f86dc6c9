package admission

import "time"

// maxJitter is the maximum random addition to RetryAfter, as a fraction of it.
const maxJitter = 0.5

// retrySpreader spreads the repeats of refused callers over time, one per
// request that the queue drains, so that they don't all return when the wait has
// dropped and fill the queue at once.
type retrySpreader struct {
	next time.Time // earliest time for the next refused caller
}

// retryAfter returns the RetryAfter of one refused caller. wait is the time until
// a request would be admitted; drainPerSec is the number of requests finished per
// second, or 0 if unknown.
func (c *retrySpreader) retryAfter(now time.Time, wait time.Duration, drainPerSec float64, o Options) time.Duration {
	earliest := now.Add(max(wait, o.RetryAfterMin))
	if c.next.Before(earliest) {
		c.next = earliest
	}
	after := c.next.Sub(now)
	if drainPerSec > 0 {
		c.next = c.next.Add(time.Duration(float64(time.Second) / drainPerSec))
	}
	if latest := now.Add(o.RetryAfterMax); c.next.After(latest) {
		c.next = latest
	}
	after += time.Duration(o.Random.Float64() * maxJitter * float64(after))
	return min(after, o.RetryAfterMax)
}
