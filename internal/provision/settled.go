package provision

import "time"

// viewSettle is how long after a change of the view nothing is planned: homes
// move, and endpoints are unknown until they have announced themselves there.
const viewSettle = 5 * time.Second

// settledView tells whether the view has stood still.
type settledView struct {
	number uint64
	since  time.Time
}

func (s *settledView) at(now time.Time, number uint64) bool {
	if s.since.IsZero() || s.number != number {
		s.number, s.since = number, now
	}
	return now.Sub(s.since) >= viewSettle
}
