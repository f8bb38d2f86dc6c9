package daemon

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/control"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// operations implements operator.Control. Init and DiskIdentity act on this
// instance's own disk; for the other calls control.Client finds the leader.
type operations struct {
	*control.Client
	base         *base
	localControl *controlRole // nil without the role
}

func newOperations(b *base, localControl *controlRole) operations {
	return operations{Client: b.client, base: b, localControl: localControl}
}

// leaderTimeout limits how long Status waits for the fields that only the leader knows.
const leaderTimeout = time.Second

// Status returns the status of this instance when it has the control role, else of any
// member. Contact and renewal times come from the leader if it answers in time.
func (o operations) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.StatusReply, error) {
	status, err := o.Client.Status(ctx, o.localControlAddress())
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

// Init creates a new fleet, starting at this instance.
func (o operations) Init(ctx context.Context, r *pb.InitRequest) (*pb.InitReply, error) {
	return o.Client.Init(ctx, o.base.self.RPCAddress, r)
}

// DiskIdentity returns the identity of this instance's disk.
func (o operations) DiskIdentity(ctx context.Context, _ *pb.StatusRequest) (*pb.Member, error) {
	return o.Client.DiskIdentity(ctx, o.base.self.RPCAddress)
}

// localControlAddress returns this instance's RPC address if it has the control role,
// else "".
func (o operations) localControlAddress() string {
	if o.localControl == nil {
		return ""
	}
	return o.base.self.RPCAddress
}
