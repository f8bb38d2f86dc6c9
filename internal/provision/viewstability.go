package provision

import "time"

// viewSettleTime is how long after a change of the view nothing is planned. Homes
// move, and an endpoint is unknown until it has announced itself at its new home.
const viewSettleTime = 5 * time.Second

// viewStability tracks how long the view has been unchanged.
type viewStability struct {
	number uint64
	since  time.Time
}

// stableAt reports whether the view has been unchanged for viewSettleTime.
func (s *viewStability) stableAt(now time.Time, number uint64) bool {
	if s.since.IsZero() || s.number != number {
		s.number, s.since = number, now
	}
	return now.Sub(s.since) >= viewSettleTime
}
