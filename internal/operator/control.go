package operator

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Control is the handler's interface to the control group. The implementation finds
// the leader, so the handler may run on any instance.
type Control interface {
	Change(ctx context.Context, in *pb.ChangeRequest) (*pb.ChangeReply, error)
	GetSettings(ctx context.Context, in *pb.GetSettingsRequest) (*pb.GetSettingsReply, error)
	Status(ctx context.Context, in *pb.StatusRequest) (*pb.StatusReply, error)
	Init(ctx context.Context, in *pb.InitRequest) (*pb.InitReply, error)
	DiskIdentity(ctx context.Context, in *pb.StatusRequest) (*pb.Member, error)
	ChangeMember(ctx context.Context, in *pb.ChangeMemberRequest) (*pb.ChangeMemberReply, error)
	Drain(ctx context.Context, in *pb.DrainRequest) (*pb.DrainReply, error)
}
