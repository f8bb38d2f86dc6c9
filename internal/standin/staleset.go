package standin

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// mostStale bounds the cancelled attempts that are remembered.
const mostStale = 65536

// staleSet remembers the last cancelled attempts.
type staleSet struct {
	most    int
	members map[fleet.AttemptID]struct{}
	ring    []fleet.AttemptID // full: the oldest is at next
	next    int
}

func newStaleSet(most int) *staleSet {
	return &staleSet{most: most, members: map[fleet.AttemptID]struct{}{}}
}

func (s *staleSet) has(a fleet.AttemptID) bool {
	_, ok := s.members[a]
	return ok
}

func (s *staleSet) add(a fleet.AttemptID) {
	if s.has(a) {
		return
	}
	s.members[a] = struct{}{}
	if len(s.ring) < s.most {
		s.ring = append(s.ring, a)
		return
	}
	delete(s.members, s.ring[s.next])
	s.ring[s.next] = a
	s.next = (s.next + 1) % s.most
}
