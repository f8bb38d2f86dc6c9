package dispatch

import "time"

// Block stops all traffic to an endpoint until the given time. Unlike an ejected
// endpoint, a blocked one isn't chosen even if it is the only candidate.
func (b *EndpointStats) Block(e *Endpoint, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.block(b.stateOf(e.Incarnation()), until)
}

// block implements Block. The caller must hold b.mu.
func (b *EndpointStats) block(s *endpointState, until time.Time) {
	if until.After(s.blockedUntil) {
		s.blockedUntil = until
	}
	if until.After(b.blockedUntil) {
		b.blockedUntil = until
	}
}

// IsBlocked reports whether an endpoint is blocked now.
func (b *EndpointStats) IsBlocked(now time.Time, e *Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.lookup(e.Incarnation())
	return s != nil && s.isBlocked(now)
}

// Unblocked returns the endpoints that aren't blocked now. It reuses the array of list.
func (b *EndpointStats) Unblocked(now time.Time, list []*Endpoint) []*Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !now.Before(b.blockedUntil) {
		return list
	}
	unblocked := list[:0]
	for _, e := range list {
		if s := b.lookup(e.Incarnation()); s == nil || !s.isBlocked(now) {
			unblocked = append(unblocked, e)
		}
	}
	return unblocked
}

// NextUnblockTime returns the earliest time at which one of the blocked endpoints is unblocked;
// zero if there is none. A leaving endpoint is left out: it gets no more work.
func (b *EndpointStats) NextUnblockTime(now time.Time, list []*Endpoint) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first time.Time
	for _, e := range list {
		s := b.lookup(e.Incarnation())
		if s == nil || !s.isBlocked(now) || s.isLeaving(now) && b.policy.Has(AvoidLeaving) {
			continue
		}
		if first.IsZero() || s.blockedUntil.Before(first) {
			first = s.blockedUntil
		}
	}
	return first
}

func (s *endpointState) isBlocked(now time.Time) bool { return now.Before(s.blockedUntil) }
