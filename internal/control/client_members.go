package control

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// Pull gets what follows the caller's state from one member. It makes one
// attempt; after a failure the next Pull goes to another member.
func (c *Client) Pull(ctx context.Context, r *pb.PullRequest) (*pb.PullReply, error) {
	ctx, transfer := rpc.WithTransfer(ctx, attemptTimeout+time.Duration(r.GetWaitMs())*time.Millisecond)
	address := c.choosePullMember()
	reply, err := c.pullAt(ctx, address, r)
	if err = transfer.End(ctx, err); err != nil {
		c.switchPullMember(address)
		return nil, trace.Wrap(err, "pull at %s", address)
	}
	return reply, nil
}

func (c *Client) pullAt(ctx context.Context, address string, r *pb.PullRequest) (*pb.PullReply, error) {
	client, err := c.clientAt(ctx, address)
	if err != nil {
		return nil, err
	}
	return client.Pull(ctx, r)
}

// UseOtherInstance makes the next Pull go to another member, because the current one
// lags: to the leader if it is known, since any other member may lag too.
func (c *Client) UseOtherInstance() {
	c.mu.Lock()
	address := c.pullMember
	if c.leader != "" && c.leader != address {
		c.pullMember = c.leader
	}
	c.mu.Unlock()
	c.switchPullMember(address)
}

func (c *Client) choosePullMember() string {
	addresses := c.addresses()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pullMember == "" && len(addresses) > 0 {
		c.pullMember = addresses[c.random.IntN(len(addresses))]
	}
	return c.pullMember
}

// switchPullMember chooses the address after the given one, if pulls still go
// there.
func (c *Client) switchPullMember(address string) {
	addresses := c.addresses()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pullMember != address {
		return
	}
	c.pullMember = ""
	for n, a := range addresses {
		if a == address {
			c.pullMember = addresses[(n+1)%len(addresses)]
		}
	}
}

// Status returns the status of the member at address; if address is empty, of
// the leader if known, or of any other member that answers. The member that
// answers is not recorded as the leader.
func (c *Client) Status(ctx context.Context, address string) (*pb.StatusReply, error) {
	if address != "" {
		return c.statusAt(ctx, address)
	}
	var last error
	for range len(c.addresses()) + 1 {
		reply, err := c.tryStatus(ctx)
		if err == nil {
			return reply, nil
		}
		last = err
	}
	return nil, noAnswerError(ctx, last)
}

func (c *Client) tryStatus(ctx context.Context) (*pb.StatusReply, error) {
	address := c.targetAddress()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	reply, err := c.statusAt(ctx, address)
	if err != nil {
		c.forgetLeader(address)
	}
	return reply, err
}

func (c *Client) statusAt(ctx context.Context, address string) (*pb.StatusReply, error) {
	client, err := c.clientAt(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Status(ctx, &pb.StatusRequest{})
	return reply, trace.Wrap(err)
}

// Init starts a fleet through the member at address. It makes one attempt.
func (c *Client) Init(ctx context.Context, address string, r *pb.InitRequest) (*pb.InitReply, error) {
	client, err := c.clientAt(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Init(ctx, r)
	return reply, trace.Wrap(err)
}

// DiskIdentity returns the disk identity of the instance at address.
func (c *Client) DiskIdentity(ctx context.Context, address string) (*pb.Member, error) {
	client, err := c.clientAt(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := client.DiskIdentity(ctx, &pb.StatusRequest{})
	return reply, trace.Wrap(err)
}
