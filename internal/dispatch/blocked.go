package dispatch

import "time"

// Block stops all traffic to an endpoint until the given time. Unlike an ejected
// endpoint, a blocked one isn't chosen even if it is the only candidate.
func (stats *EndpointStats) Block(e *Endpoint, until time.Time) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.block(stats.stateOf(e.Incarnation()), until)
}

// block implements Block. The caller must hold stats.mu.
func (stats *EndpointStats) block(s *endpointState, until time.Time) {
	if until.After(s.blockedUntil) {
		s.blockedUntil = until
	}
	if until.After(stats.blockedUntil) {
		stats.blockedUntil = until
	}
}

// IsBlocked reports whether an endpoint is blocked now.
func (stats *EndpointStats) IsBlocked(now time.Time, e *Endpoint) bool {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	s := stats.lookup(e.Incarnation())
	return s != nil && s.isBlocked(now)
}

// Unblocked returns the endpoints that aren't blocked now. It reuses the array of list.
func (stats *EndpointStats) Unblocked(now time.Time, list []*Endpoint) []*Endpoint {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	if !now.Before(stats.blockedUntil) {
		return list
	}
	unblocked := list[:0]
	for _, e := range list {
		if s := stats.lookup(e.Incarnation()); s == nil || !s.isBlocked(now) {
			unblocked = append(unblocked, e)
		}
	}
	return unblocked
}

// NextUnblockTime returns the earliest time at which one of the blocked endpoints is unblocked;
// zero if there is none. A leaving endpoint is left out: it gets no more work.
func (stats *EndpointStats) NextUnblockTime(now time.Time, list []*Endpoint) time.Time {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	var first time.Time
	for _, e := range list {
		s := stats.lookup(e.Incarnation())
		if s == nil || !s.isBlocked(now) || s.isLeaving(now) && stats.policy.Has(AvoidLeaving) {
			continue
		}
		if first.IsZero() || s.blockedUntil.Before(first) {
			first = s.blockedUntil
		}
	}
	return first
}

func (s *endpointState) isBlocked(now time.Time) bool { return now.Before(s.blockedUntil) }
