package membership

import "time"

// elapsed returns the time from start to now, by the monotonic or the wall clock,
// whichever shows more.
//
// The monotonic clock stops while a machine is suspended, so that a resumed
// process would consider an expired lease valid. The wall clock covers this case.
// Setting the wall clock forward costs one renewal.
func elapsed(start, now time.Time) time.Duration {
	monotonic := now.Sub(start)
	wall := now.Round(0).Sub(start.Round(0))
	return max(monotonic, wall)
}
