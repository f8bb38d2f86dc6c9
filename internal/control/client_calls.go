package control

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// RenewLease asks the leader for a lease. A reply without a granted lease has a
// final refusal, or none when the caller should try again or has left.
func (c *Client) RenewLease(ctx context.Context, r *pb.RenewLeaseRequest) (*pb.RenewLeaseReply, error) {
	var reply *pb.RenewLeaseReply
	err := c.callLeader(ctx, renewTimeout, func(ctx context.Context, at pb.DRPCControlClient) (string, error) {
		var err error
		reply, err = at.RenewLease(ctx, r)
		if err != nil {
			return "", err
		}
		if reply.Refusal == refusalNotLeader || reply.Refusal == refusalNotInitialised {
			if reply.LeaderAddress != "" {
				return reply.LeaderAddress, nil
			}
			return "", trace.ConnectionProblem(nil, "refused: %s", reply.Refusal)
		}
		return "", nil
	})
	return reply, err
}

// Change commits a change of settings. After an error the change may or may not
// have been accepted; a repeat with the same change ID returns the result.
func (c *Client) Change(ctx context.Context, r *pb.ChangeRequest) (*pb.ChangeReply, error) {
	var reply *pb.ChangeReply
	timeout := commandTimeout + time.Duration(r.GetWaitInForceMs())*time.Millisecond
	err := c.callLeader(ctx, timeout, func(ctx context.Context, at pb.DRPCControlClient) (string, error) {
		var err error
		reply, err = at.Change(ctx, r)
		return reply.GetLeaderAddress(), err
	})
	return reply, err
}

// GetSettings reads the current settings from the leader.
func (c *Client) GetSettings(ctx context.Context, r *pb.GetSettingsRequest) (*pb.GetSettingsReply, error) {
	var reply *pb.GetSettingsReply
	err := c.callLeader(ctx, attemptTimeout, func(ctx context.Context, at pb.DRPCControlClient) (string, error) {
		var err error
		reply, err = at.GetSettings(ctx, r)
		return reply.GetLeaderAddress(), err
	})
	return reply, err
}

// ChangeMember adds or removes a member of the group.
func (c *Client) ChangeMember(ctx context.Context, r *pb.ChangeMemberRequest) (*pb.ChangeMemberReply, error) {
	var reply *pb.ChangeMemberReply
	err := c.callLeader(ctx, changeMemberTimeout, func(ctx context.Context, at pb.DRPCControlClient) (string, error) {
		var err error
		reply, err = at.ChangeMember(ctx, r)
		return reply.GetLeaderAddress(), err
	})
	return reply, err
}

// changeMemberTimeout leaves time for a learner to catch up first.
const changeMemberTimeout = time.Minute

// Drain marks an instance as draining.
func (c *Client) Drain(ctx context.Context, r *pb.DrainRequest) (*pb.DrainReply, error) {
	var reply *pb.DrainReply
	err := c.callLeader(ctx, commandTimeout, func(ctx context.Context, at pb.DRPCControlClient) (string, error) {
		var err error
		reply, err = at.Drain(ctx, r)
		return reply.GetLeaderAddress(), err
	})
	return reply, err
}

// Order gets a fencing token for an order.
func (c *Client) Order(ctx context.Context, o *pb.IssueOrder) (*pb.OrderReply, error) {
	var reply *pb.OrderReply
	err := c.callLeader(ctx, commandTimeout, func(ctx context.Context, at pb.DRPCControlClient) (string, error) {
		var err error
		reply, err = at.Order(ctx, o)
		return reply.GetLeaderAddress(), err
	})
	return reply, err
}

// Crash reports the crash of an endpoint.
func (c *Client) Crash(ctx context.Context, r *pb.ReportCrash) (*pb.ReportReply, error) {
	return c.report(ctx, func(ctx context.Context, at pb.DRPCControlClient) (*pb.ReportReply, error) {
		return at.Crash(ctx, r)
	})
}

// Ready reports copied ledger shards.
func (c *Client) Ready(ctx context.Context, r *pb.LedgerReady) (*pb.ReportReply, error) {
	return c.report(ctx, func(ctx context.Context, at pb.DRPCControlClient) (*pb.ReportReply, error) {
		return at.Ready(ctx, r)
	})
}

type reportCall func(ctx context.Context, at pb.DRPCControlClient) (*pb.ReportReply, error)

func (c *Client) report(ctx context.Context, send reportCall) (*pb.ReportReply, error) {
	var reply *pb.ReportReply
	err := c.callLeader(ctx, commandTimeout, func(ctx context.Context, at pb.DRPCControlClient) (string, error) {
		var err error
		reply, err = send(ctx, at)
		return reply.GetLeaderAddress(), err
	})
	return reply, err
}
