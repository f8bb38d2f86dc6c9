package control

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Status implements pb.DRPCControlServer. It returns this member's own state,
// which may be stale. Only the leader knows lease renewals.
func (s *Server) Status(context.Context, *pb.StatusRequest) (*pb.StatusReply, error) {
	status := s.group.Status()
	view, instances := s.machine.Instances()
	reply := &pb.StatusReply{
		FleetId:        status.FleetID,
		InstanceId:     string(s.self.ID),
		DiskId:         status.DiskID,
		LeaderInstance: status.Leader.GetInstanceId(),
		LeaderAddress:  status.Leader.GetRpcAddress(),
		Term:           status.Term,
		CommitIndex:    status.Commit,
		AppliedIndex:   status.Applied,
		ViewNumber:     view,
		StorageFailed:  status.StorageFailed,
	}
	for _, m := range status.Members {
		reply.Members = append(reply.Members, &pb.MemberStatus{
			Member:        m.Member,
			MatchIndex:    m.Match,
			LastContactMs: m.LastContactMs,
		})
	}
	for _, i := range instances {
		reply.Instances = append(reply.Instances, s.instanceStatus(i))
	}
	return reply, nil
}

func (s *Server) instanceStatus(i *pb.InstanceRecord) *pb.InstanceStatus {
	status := &pb.InstanceStatus{Instance: i, LastRenewalMs: -1}
	renewed, applied, ok := s.leases.status(fleet.InstanceID(i.Id))
	if ok {
		status.AppliedIndex = applied
		status.LastRenewalMs = s.now().Sub(renewed).Milliseconds()
	}
	return status
}
