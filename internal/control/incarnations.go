package control

import "github.com/hyssopsail/hyssopsail/internal/pb"

// incarnations remembers the highest incarnation that each instance has
// shown, also after it left: a process from before can't join again. Bounded;
// the longest unused goes first, but never a live one's.
type incarnations struct {
	byID map[string]*pb.SeenIncarnation
}

func newIncarnations() *incarnations {
	return &incarnations{byID: make(map[string]*pb.SeenIncarnation)}
}

func (s *incarnations) highest(id string) uint64 { return s.byID[id].GetIncarnation() }

func (s *incarnations) add(r *pb.SeenIncarnation, live map[string]*pb.InstanceRecord) {
	s.byID[r.InstanceId] = r
	if len(s.byID) > maxSeenIncarnations {
		s.dropOldest(live)
	}
}

func (s *incarnations) dropOldest(live map[string]*pb.InstanceRecord) {
	var oldest *pb.SeenIncarnation
	for id, r := range s.byID {
		if _, ok := live[id]; ok {
			continue
		}
		if oldest == nil || r.Index < oldest.Index || (r.Index == oldest.Index && r.InstanceId < oldest.InstanceId) {
			oldest = r
		}
	}
	if oldest != nil {
		delete(s.byID, oldest.InstanceId)
	}
}
