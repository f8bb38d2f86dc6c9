package control

import "github.com/hyssopsail/hyssopsail/internal/pb"

// incarnations keeps the highest incarnation seen of each instance, also after
// the instance left, so that an earlier process can't join again. The table is
// bounded: the record of the instance that joined least recently goes first, but
// never that of a live one.
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
