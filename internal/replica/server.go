package replica

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Server hands messages that come over drpc to a Group. It implements
// pb.DRPCConsensusServer.
type Server struct{ Group Group }

var _ pb.DRPCConsensusServer = Server{}

// Step implements pb.DRPCConsensusServer.
func (s Server) Step(ctx context.Context, m *pb.ConsensusMessage) (*pb.StepReply, error) {
	if err := s.Group.Step(ctx, m); err != nil {
		return nil, err
	}
	return &pb.StepReply{}, nil
}
