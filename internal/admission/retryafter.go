package admission

import "time"

// jitter is the largest share that is added at random to a Retry-After.
const jitter = 0.5

// comebacks spreads the callers that were refused over the time to come, one
// for each request that the queue drains, so that they don't all return at the
// moment when the wait has sunk and fill the queue at once.
type comebacks struct {
	next time.Time
}

// after gives one refused caller its time. wait is how long until a request
// would be taken, drain the requests finished a second or 0.
func (c *comebacks) after(now time.Time, wait time.Duration, drain float64, o Options) time.Duration {
	earliest := now.Add(max(wait, o.RetryAfterMin))
	if c.next.Before(earliest) {
		c.next = earliest
	}
	after := c.next.Sub(now)
	if drain > 0 {
		c.next = c.next.Add(time.Duration(float64(time.Second) / drain))
	}
	if latest := now.Add(o.RetryAfterMax); c.next.After(latest) {
		c.next = latest
	}
	after += time.Duration(o.Random.Float64() * jitter * float64(after))
	return min(after, o.RetryAfterMax)
}
