package standin

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// maxCancelledAttempts is the number of cancelled attempts that are remembered.
const maxCancelledAttempts = 65536

// cancelledSet remembers the most recently cancelled attempts.
type cancelledSet struct {
	capacity int
	members  map[fleet.AttemptID]struct{}
	ring     []fleet.AttemptID // once full, the oldest is at next
	next     int
}

func newCancelledSet(capacity int) *cancelledSet {
	return &cancelledSet{capacity: capacity, members: map[fleet.AttemptID]struct{}{}}
}

func (s *cancelledSet) has(a fleet.AttemptID) bool {
	_, ok := s.members[a]
	return ok
}

func (s *cancelledSet) add(a fleet.AttemptID) {
	if s.has(a) {
		return
	}
	s.members[a] = struct{}{}
	if len(s.ring) < s.capacity {
		s.ring = append(s.ring, a)
		return
	}
	delete(s.members, s.ring[s.next])
	s.ring[s.next] = a
	s.next = (s.next + 1) % s.capacity
}
