package daemon

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/control"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// operations is what operators ask of the control group through this daemon.
// Init and DiskIdentity are about this instance's own disk; the rest finds the
// leader.
type operations struct {
	*control.Client
	base *base
	own  *controlRole // nil without the role
}

func newOperations(b *base, own *controlRole) operations {
	return operations{Client: b.client, base: b, own: own}
}

// leaderTimeout bounds how long a status waits for what only the leader knows.
const leaderTimeout = time.Second

// Status asks this instance when it has the control role, else any member.
// Contact and renewal times come from the leader where it answers in time.
func (o operations) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.StatusReply, error) {
	status, err := o.Client.Status(ctx, o.ownAddress())
	if err != nil || status.GetLeaderAddress() == "" || status.GetLeaderInstance() == status.GetInstanceId() {
		return status, err
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	leader, err := o.Client.Status(ctx, status.GetLeaderAddress())
	if err != nil || leader.GetLeaderInstance() != leader.GetInstanceId() {
		return status, nil
	}
	status.Members = leader.GetMembers()
	status.Instances = leader.GetInstances()
	return status, nil
}

// Init makes a new fleet from this instance.
func (o operations) Init(ctx context.Context, r *pb.InitRequest) (*pb.InitReply, error) {
	return o.Client.Init(ctx, o.base.self.RPCAddress, r)
}

// DiskIdentity names this instance's disk.
func (o operations) DiskIdentity(ctx context.Context, _ *pb.StatusRequest) (*pb.Member, error) {
	return o.Client.DiskIdentity(ctx, o.base.self.RPCAddress)
}

func (o operations) ownAddress() string {
	if o.own == nil {
		return ""
	}
	return o.base.self.RPCAddress
}
