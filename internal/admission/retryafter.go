package admission

import "time"

// maxJitter is the maximum random addition to RetryAfter, as a fraction of it.
const maxJitter = 0.5

// repeatSpreader spreads the repeats of refused callers over time, one per
// request that the queue drains, so that they don't all return when the wait has
// dropped and fill the queue at once.
type repeatSpreader struct {
	next time.Time // earliest time for the next refused caller
}

// retryAfter returns the RetryAfter of one refused caller. wait is the time until
// a request would be admitted; drainPerSec is the number of requests finished per
// second, or 0 if unknown.
func (s *repeatSpreader) retryAfter(now time.Time, wait time.Duration, drainPerSec float64, o Options) time.Duration {
	earliest := now.Add(max(wait, o.RetryAfterMin))
	if s.next.Before(earliest) {
		s.next = earliest
	}
	after := s.next.Sub(now)
	if drainPerSec > 0 {
		s.next = s.next.Add(time.Duration(float64(time.Second) / drainPerSec))
	}
	if latest := now.Add(o.RetryAfterMax); s.next.After(latest) {
		s.next = latest
	}
	after += time.Duration(o.Random.Float64() * maxJitter * float64(after))
	return min(after, o.RetryAfterMax)
}
