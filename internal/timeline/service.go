package timeline

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Service answers other processes' queries from a ring. It implements
// pb.DRPCTimelineServer.
type Service struct {
	ring *Ring
}

// NewService returns a Service that reads from ring.
func NewService(ring *Ring) *Service { return &Service{ring: ring} }

// Query implements pb.DRPCTimelineServer.
func (s *Service) Query(_ context.Context, q *pb.TimelineQuery) (*pb.TimelinePage, error) {
	return s.ring.Query(q), nil
}
