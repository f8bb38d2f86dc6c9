package connguard

import "time"

// shareBurst is how much processor time may be used ahead of the share.
const shareBurst = 2 * time.Millisecond

// processorShare is a share of the processor time. It measures elapsed time, so that a process which
// gets only a part of a processor uses a share of that part.
type processorShare struct {
	share  float64   // above 0, at most 1
	paidAt time.Time // when the share covers all that was used
}

// use records time that was used up to now.
func (s *processorShare) use(now time.Time, used time.Duration) {
	began := now.Add(-used)
	if s.paidAt.Before(began) {
		s.paidAt = began
	}
	s.paidAt = s.paidAt.Add(time.Duration(float64(used) / s.share))
}

// wait returns how long to wait until more may be used; 0 for not at all.
func (s *processorShare) wait(now time.Time) time.Duration {
	ahead := s.paidAt.Sub(now)
	if ahead <= time.Duration(float64(shareBurst)/s.share) {
		return 0
	}
	return ahead
}
