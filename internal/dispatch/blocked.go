package dispatch

import "time"

// Block has nothing sent to an endpoint until a time. Unlike one that is passed over, it
// isn't chosen where there is no other.
func (b *Book) Block(e *Endpoint, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.block(b.state(e.Incarnation()), until)
}

// block is called with b.mu held.
func (b *Book) block(s *state, until time.Time) {
	if until.After(s.blockedUntil) {
		s.blockedUntil = until
	}
	if until.After(b.blockedUntil) {
		b.blockedUntil = until
	}
}

// IsBlocked tells whether nothing may be sent to an endpoint now.
func (b *Book) IsBlocked(now time.Time, e *Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.known(e.Incarnation())
	return s != nil && s.blocked(now)
}

// Unblocked gives the endpoints that may get something now. It takes over the list.
func (b *Book) Unblocked(now time.Time, list []*Endpoint) []*Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !now.Before(b.blockedUntil) {
		return list
	}
	open := list[:0]
	for _, e := range list {
		if s := b.known(e.Incarnation()); s == nil || !s.blocked(now) {
			open = append(open, e)
		}
	}
	return open
}

// Unblocks is when the first of the blocked endpoints may get something again; zero where
// none of them will. One that leaves gets nothing any more.
func (b *Book) Unblocks(now time.Time, list []*Endpoint) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first time.Time
	for _, e := range list {
		s := b.known(e.Incarnation())
		if s == nil || !s.blocked(now) || s.leaves(now) && b.policy.Has(AvoidLeaving) {
			continue
		}
		if first.IsZero() || s.blockedUntil.Before(first) {
			first = s.blockedUntil
		}
	}
	return first
}

// blocked tells whether nothing may be sent to the endpoint now.
func (s *state) blocked(now time.Time) bool { return now.Before(s.blockedUntil) }
