package replica

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// stepServer passes messages received over drpc to a Group.
type stepServer struct{ Group Group }

var _ pb.DRPCConsensusServer = stepServer{}

// Step implements pb.DRPCConsensusServer.
func (s stepServer) Step(ctx context.Context, m *pb.ConsensusMessage) (*pb.StepReply, error) {
	if err := s.Group.Step(ctx, m); err != nil {
		return nil, err
	}
	return &pb.StepReply{}, nil
}
