package timeline

import (
	"slices"
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Ring keeps the latest events of one daemon in a ring buffer. It implements
// Recorder and is safe for concurrent use. It takes about 300 bytes an event.
type Ring struct {
	clock *Clock
	self  fleet.Owner

	mu     sync.Mutex
	events []*pb.TimelineEvent
	next   uint64 // sequence of the next event; the first is 1
}

// DefaultRingSize is the number of events that a daemon keeps by default.
const DefaultRingSize = 65536

// NewRing returns a ring of size events for the process self.
func NewRing(size int, clock *Clock, self fleet.Owner) *Ring {
	return &Ring{
		clock:  clock,
		self:   self,
		events: make([]*pb.TimelineEvent, size),
		next:   1,
	}
}

// Record implements Recorder.
func (r *Ring) Record(e Event) {
	stamp := r.clock.Now()
	stored := &pb.TimelineEvent{
		WallNs:      stamp.Wall,
		Logical:     stamp.Logical,
		InstanceId:  string(r.self.Instance),
		Incarnation: uint64(r.self.Incarnation),
		Kind:        string(e.Kind),
		RequestId:   string(e.Request),
		AttemptId:   string(e.Attempt),
		Team:        string(e.Team),
		EndpointId:  string(e.Endpoint),
		ChangeId:    e.Change,
		Detail:      truncate(e.Detail, MaxDetail),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stored.Sequence = r.next
	r.events[r.next%uint64(len(r.events))] = stored
	r.next++
}

func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return s[:n]
}

// Query returns the kept events that match q, oldest first, at most q's limit of
// them (0: maxPage).
func (r *Ring) Query(q *pb.TimelineQuery) *pb.TimelinePage {
	limit := int(q.GetLimit())
	if limit == 0 || limit > maxPage {
		limit = maxPage
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	page := &pb.TimelinePage{}
	first := r.oldest()
	if first > 1 {
		page.Dropped = first - 1
	}
	if q.GetAfterSequence() >= first {
		first = q.GetAfterSequence() + 1
	}
	page.LastSequence = q.GetAfterSequence()
	for sequence := first; sequence < r.next && len(page.Events) < limit; sequence++ {
		page.LastSequence = sequence
		e := r.events[sequence%uint64(len(r.events))]
		if matches(q, e) {
			page.Events = append(page.Events, e)
		}
	}
	return page
}

// maxPage is the maximum number of events in one response.
const maxPage = 10000

func (r *Ring) oldest() uint64 {
	size := uint64(len(r.events))
	if r.next <= size {
		return 1
	}
	return r.next - size
}

func matches(q *pb.TimelineQuery, e *pb.TimelineEvent) bool {
	switch {
	case q.GetRequestId() != "" && q.GetRequestId() != e.GetRequestId():
		return false
	case q.GetEndpointId() != "" && q.GetEndpointId() != e.GetEndpointId():
		return false
	case q.GetTeam() != "" && q.GetTeam() != e.GetTeam():
		return false
	case q.GetChangeId() != "" && q.GetChangeId() != e.GetChangeId():
		return false
	case e.GetWallNs() < q.GetSinceNs():
		return false
	case len(q.GetAttemptIds()) > 0 && !slices.Contains(q.GetAttemptIds(), e.GetAttemptId()):
		return false
	}
	return true
}
