package control

import (
	"context"
	"errors"
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/replica"
)

// RenewLease implements pb.DRPCControlServer. Only the leader grants leases.
//
// A leader that was suspended or partitioned beyond its leadership could grant
// leases and report stale state as current. The read barrier prevents both: it
// fails without a valid leader lease or a quorum's answer.
func (s *Server) RenewLease(ctx context.Context, r *pb.RenewLeaseRequest) (*pb.RenewLeaseReply, error) {
	reply, err := s.renewLease(ctx, r)
	if err == nil {
		s.metrics.renewals.WithLabelValues(strconv.FormatBool(reply.Granted)).Inc()
	}
	return reply, err
}

func (s *Server) renewLease(ctx context.Context, r *pb.RenewLeaseRequest) (*pb.RenewLeaseReply, error) {
	if !validInstance(r.GetInstance()) {
		return &pb.RenewLeaseReply{Refusal: refusalMalformed}, nil
	}
	term, leading := s.leadership()
	if !leading {
		return s.notLeaderReply(), nil
	}
	if err := s.group.ReadBarrier(ctx); err != nil {
		return s.leaseRefusal(err)
	}
	if r.Leaving {
		return s.endLease(ctx, r.Instance)
	}
	refusal, err := s.ensureJoined(ctx, r.Instance)
	if err != nil {
		return s.leaseRefusal(err)
	}
	if refusal != "" {
		return &pb.RenewLeaseReply{Refusal: refusal}, nil
	}
	owner := ownerOf(r.Instance)
	lease, ok := s.leases.renew(owner, term, r.AppliedIndex, s.now())
	if !ok {
		return &pb.RenewLeaseReply{}, nil // try again: its expiry is pending or the leadership changed
	}
	return &pb.RenewLeaseReply{
		Granted:     true,
		LeaseMs:     uint64(lease.Milliseconds()),
		CommitIndex: s.machine.EffectIndex(),
		ViewNumber:  s.machine.ViewNumber(),
	}, nil
}

func ownerOf(i *pb.InstanceRecord) fleet.Owner {
	return fleet.Owner{Instance: fleet.InstanceID(i.Id), Incarnation: fleet.Incarnation(i.Incarnation)}
}

// ensureJoined proposes a join when the view lacks the process or has it with
// other fields.
func (s *Server) ensureJoined(ctx context.Context, i *pb.InstanceRecord) (refusal string, err error) {
	live := s.machine.Instance(fleet.InstanceID(i.Id))
	if live.GetIncarnation() > i.Incarnation {
		return refusalIncarnation, nil
	}
	if live != nil && sameExceptDraining(live, i) {
		return "", nil
	}
	result, leader, err := s.propose(ctx, &pb.Command{Body: &pb.Command_JoinInstance{
		JoinInstance: &pb.JoinInstance{Instance: i},
	}})
	if err != nil {
		return "", err
	}
	if leader != "" {
		return "", replica.ErrNotLeader
	}
	return result.Refusal, nil
}

// sameExceptDraining reports whether the instance is unchanged. An instance that
// the operators drain, but that does not know it yet, counts as unchanged.
func sameExceptDraining(live, updated *pb.InstanceRecord) bool {
	if !live.Draining || updated.Draining {
		return sameInstance(live, updated)
	}
	draining := proto.Clone(updated).(*pb.InstanceRecord)
	draining.Draining = true
	return sameInstance(live, draining)
}

// endLease removes an instance that stops as planned. The reply grants no lease
// and has no refusal.
func (s *Server) endLease(ctx context.Context, i *pb.InstanceRecord) (*pb.RenewLeaseReply, error) {
	_, leader, err := s.propose(ctx, expireCommand(ownerOf(i), "left"))
	if err != nil {
		return s.leaseRefusal(err)
	}
	if leader != "" {
		return s.notLeaderReply(), nil
	}
	return &pb.RenewLeaseReply{}, nil
}

func (s *Server) leaseRefusal(err error) (*pb.RenewLeaseReply, error) {
	switch {
	case errors.Is(err, replica.ErrNotInitialised):
		return &pb.RenewLeaseReply{Refusal: refusalNotInitialised}, nil
	case errors.Is(err, replica.ErrNotLeader), errors.Is(err, errNoLeader):
		return s.notLeaderReply(), nil
	}
	return nil, err
}

func (s *Server) notLeaderReply() *pb.RenewLeaseReply {
	if !s.group.Status().Initialised {
		return &pb.RenewLeaseReply{Refusal: refusalNotInitialised}
	}
	return &pb.RenewLeaseReply{Refusal: refusalNotLeader, LeaderAddress: s.leaderAddress()}
}
