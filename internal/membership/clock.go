package membership

import "time"

// elapsed gives the time from start to now: the larger of what the monotonic
// and the wall clock tell.
//
// Failure guarded: a machine that is suspended keeps its monotonic clock
// still, so a process that wakes would believe in a lease that ran out long
// ago. The wall clock has moved on. A wall clock set forward costs one renewal.
func elapsed(start, now time.Time) time.Duration {
	monotonic := now.Sub(start)
	wall := now.Round(0).Sub(start.Round(0))
	return max(monotonic, wall)
}
