package control

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Pull implements pb.DRPCControlServer. Any member answers from its applied
// state, which may lag: a pull makes a daemon's state newer, but alone does not
// show that it is current.
func (s *Server) Pull(ctx context.Context, r *pb.PullRequest) (*pb.PullReply, error) {
	select {
	case s.pullSlots <- struct{}{}:
		defer func() { <-s.pullSlots }()
	default:
		return nil, trace.LimitExceeded("too many open pulls")
	}
	wait := min(time.Duration(min(r.GetWaitMs(), uint64(maxPullWait.Milliseconds())))*time.Millisecond, maxPullWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := s.machine.Changed()
		if reply := s.machine.Pull(r.GetAfterIndex()); reply != nil {
			return s.finishPull(reply), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			s.metrics.pulls.WithLabelValues("nothing").Inc()
			return &pb.PullReply{ThroughIndex: r.GetAfterIndex()}, nil
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
}

func (s *Server) finishPull(reply *pb.PullReply) *pb.PullReply {
	if reply.Snapshot == nil {
		s.metrics.pulls.WithLabelValues("deltas").Inc()
		return reply
	}
	s.metrics.pulls.WithLabelValues("snapshot").Inc()
	reply.Snapshot.FleetId = s.group.Status().FleetID
	return reply
}
