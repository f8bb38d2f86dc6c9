package control

import (
	"context"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// maxMembers is the largest size of a control group at init.
const maxMembers = 9

// DiskIdentity implements pb.DRPCControlServer.
func (s *Server) DiskIdentity(context.Context, *pb.StatusRequest) (*pb.Member, error) {
	return &pb.Member{
		InstanceId: string(s.self.ID),
		DiskId:     s.group.DiskID(),
		RpcAddress: s.self.RPCAddress,
	}, nil
}

// Init implements pb.DRPCControlServer: it asks the members for their disk
// identities and starts the fleet on this member; the others join when they
// receive its messages. A repeated init of the same fleet succeeds, so it can be
// sent again when its answer was lost.
func (s *Server) Init(ctx context.Context, r *pb.InitRequest) (*pb.InitReply, error) {
	if !validName(r.GetFleetId()) || len(r.GetMembers()) == 0 || len(r.Members) > maxMembers {
		return nil, trace.BadParameter("init needs a fleet ID and 1 to %d members", maxMembers)
	}
	if !slices.ContainsFunc(r.Members, s.isSelf) {
		return nil, trace.BadParameter("this instance is none of the members")
	}
	status := s.group.Status()
	if status.Initialised && status.FleetID == r.FleetId {
		return &pb.InitReply{FleetId: r.FleetId}, nil
	}
	var members []*pb.Member
	for _, m := range r.Members {
		identified, err := s.resolveDiskID(ctx, m)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		members = append(members, identified)
	}
	if err := s.group.Init(r.FleetId, members); err != nil {
		return nil, trace.Wrap(err)
	}
	s.part.Info("Fleet initialised.", "fleet", r.FleetId, "members", len(members))
	return &pb.InitReply{FleetId: r.FleetId}, nil
}

func (s *Server) isSelf(m *pb.Member) bool { return m.GetInstanceId() == string(s.self.ID) }

// resolveDiskID returns the member with its disk identity, for which it asks the
// member itself when it is not set.
func (s *Server) resolveDiskID(ctx context.Context, m *pb.Member) (*pb.Member, error) {
	next := proto.Clone(m).(*pb.Member)
	if next.DiskId != "" {
		return next, nil
	}
	if s.isSelf(m) {
		next.DiskId = s.group.DiskID()
		return next, nil
	}
	peer, err := s.peer(ctx, m.RpcAddress)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	identity, err := peer.DiskIdentity(ctx, &pb.StatusRequest{})
	if err != nil {
		return nil, trace.Wrap(err, "disk identity of member %s", m.InstanceId)
	}
	if identity.InstanceId != m.InstanceId {
		return nil, trace.BadParameter("at %s answers %q, not %q", m.RpcAddress, identity.InstanceId, m.InstanceId)
	}
	next.DiskId = identity.DiskId
	return next, nil
}

func (s *Server) peer(ctx context.Context, address string) (pb.DRPCControlClient, error) {
	if s.dialer == nil {
		return nil, trace.BadParameter("no way to reach other members")
	}
	conn, err := s.dialer.Conn(ctx, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return pb.NewDRPCControlClient(conn), nil
}

// ChangeMember implements pb.DRPCControlServer. For a removal the instance ID
// alone is enough.
func (s *Server) ChangeMember(ctx context.Context, r *pb.ChangeMemberRequest) (*pb.ChangeMemberReply, error) {
	leader, err := s.readBarrier(ctx)
	if err != nil || leader != "" {
		return &pb.ChangeMemberReply{LeaderAddress: leader}, err
	}
	member, err := s.resolveMember(ctx, r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	membership, err := s.group.ProposeMember(ctx, r.GetRemove(), member)
	if err != nil {
		leader, err = s.leaderFromError(err)
		return &pb.ChangeMemberReply{LeaderAddress: leader}, err
	}
	return &pb.ChangeMemberReply{Membership: membership}, nil
}

func (s *Server) resolveMember(ctx context.Context, r *pb.ChangeMemberRequest) (*pb.Member, error) {
	if r.GetMember().GetInstanceId() == "" {
		return nil, trace.BadParameter("no member named")
	}
	if !r.Remove {
		return s.resolveDiskID(ctx, r.Member)
	}
	if r.Member.DiskId != "" {
		return r.Member, nil
	}
	for _, m := range s.group.Status().Members {
		if m.Member.GetInstanceId() == r.Member.InstanceId {
			return m.Member, nil
		}
	}
	return nil, trace.NotFound("%s is no member", r.Member.InstanceId)
}
