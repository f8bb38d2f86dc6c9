package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// groupName is the name of the group that is formed without an operator.
const groupName = "fleet"

// keepMembership makes this disk a member: it forms the group, or requests to join it,
// until the membership contains the disk. A member that has had no leader for rejoinDelay
// requests to join too: it may have been removed while it was away, which its own log
// doesn't show.
func (c *Coordinator) keepMembership(ctx context.Context) {
	status := c.options.Group.Status()
	if c.isMember() && !c.lacksLeader(time.Now()) {
		return
	}
	if !status.Initialised && c.shouldFormGroup() {
		c.formGroup()
		return
	}
	c.requestJoin(ctx)
}

func (c *Coordinator) lacksLeader(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.contactUntil) > rejoinDelay && now.Sub(c.started) > rejoinDelay
}

func (c *Coordinator) isMember() bool {
	for _, m := range c.options.Group.Status().Members {
		if m.Member.DiskId == c.options.Self.DiskId {
			return true
		}
	}
	return false
}

// shouldFormGroup reports whether this instance forms the group: the first seed in sort
// order does, and only at the fleet's first start. An empty disk alone is no reason: it
// may replace a lost disk, and a second group would lack everything that the first has
// acknowledged.
func (c *Coordinator) shouldFormGroup() bool {
	return c.options.Bootstrap && len(c.options.Seeds) > 0 && slices.Min(c.options.Seeds) == c.options.Self.RpcAddress
}

func (c *Coordinator) formGroup() {
	err := c.options.Group.Init(groupName, []*pb.Member{c.options.Self})
	if err != nil {
		c.options.Part.Warn("Forming the control group failed.", "err", err)
		return
	}
	c.options.Part.Info("Formed the control group.", "disk", c.options.Self.DiskId)
}

// requestJoin asks the known instances in turn to add this disk.
func (c *Coordinator) requestJoin(ctx context.Context) {
	for _, address := range c.knownAddresses() {
		if address == c.options.Self.RpcAddress {
			continue
		}
		if c.requestJoinAt(ctx, address) {
			return
		}
	}
}

func (c *Coordinator) knownAddresses() []string {
	list := c.Members()
	for _, seed := range c.options.Seeds {
		if !slices.Contains(list, seed) {
			list = append(list, seed)
		}
	}
	return list
}

func (c *Coordinator) requestJoinAt(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := c.client(ctx, address)
	if err == nil {
		_, err = client.Join(ctx, &pb.JoinRequest{Member: c.options.Self})
	}
	c.options.Part.Debug("Requested to join the control group.", "address", address, "err", err)
	return err == nil
}

// Join implements pb.DRPCCoordinatorServer. It returns when the leader has begun to add
// the member, before the change is committed.
func (c *Coordinator) Join(ctx context.Context, request *pb.JoinRequest) (*pb.JoinReply, error) {
	if c.options.Group.Status().IsLeader {
		c.addMember(request.Member)
		return &pb.JoinReply{}, nil
	}
	client, err := c.leaderClient(ctx)
	if err != nil {
		return nil, err
	}
	return client.Join(ctx, request)
}

// addMember proposes a member in the background, with one proposal at a time for each
// disk.
func (c *Coordinator) addMember(m *pb.Member) {
	if m.GetDiskId() == "" || c.hasMember(m) || !c.beginTask(m.DiskId) {
		return
	}
	go func() {
		defer c.endTask(m.DiskId)
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
		defer cancel()
		err := c.proposeJoin(ctx, m)
		c.options.Part.Info("Adding a member finished.", "instance", m.InstanceId, "disk", m.DiskId, "address", m.RpcAddress, "err", err)
	}()
}

// proposeJoin retries while another membership change is under way: the group changes by
// one member at a time, and all members join at once at the first start.
func (c *Coordinator) proposeJoin(ctx context.Context, m *pb.Member) error {
	for {
		_, err := c.options.Group.ProposeMember(ctx, false, m)
		if !trace.IsCompareFailed(err) {
			return err
		}
		if err := waitFor(ctx, retryDelay); err != nil {
			return err
		}
	}
}

func (c *Coordinator) hasMember(m *pb.Member) bool {
	for _, known := range c.options.Group.Status().Members {
		if known.Member.DiskId == m.DiskId && known.Member.RpcAddress == m.RpcAddress {
			return true
		}
	}
	return false
}

// beginTask marks a background task for id as running. It returns false if one is running
// already.
func (c *Coordinator) beginTask(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress[id] {
		return false
	}
	c.inProgress[id] = true
	return true
}

func (c *Coordinator) endTask(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inProgress, id)
}

// findReplacedDisks asks the instances at the addresses of silent members for their disk
// IDs. An instance that lost its disk may not reach its own seeds, while the group still
// knows its address; without this check it would stay out, and the loss of one more disk
// would stop the group.
func (c *Coordinator) findReplacedDisks(ctx context.Context) {
	for _, m := range c.options.Group.Status().Members {
		if !c.isResponsive(m) && c.beginTask(m.Member.RpcAddress) {
			go c.identify(ctx, m.Member)
		}
	}
}

func (c *Coordinator) identify(ctx context.Context, m *pb.Member) {
	defer c.endTask(m.RpcAddress)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := c.client(ctx, m.RpcAddress)
	if err != nil {
		return // the instance is down or cut off; the next run asks again
	}
	reply, err := client.Identify(ctx, &pb.IdentifyRequest{})
	if err != nil || reply.Member.GetDiskId() == m.DiskId {
		return // as above, or the instance has the same disk as before
	}
	c.addMember(reply.Member)
}

// Identify implements pb.DRPCCoordinatorServer.
func (c *Coordinator) Identify(context.Context, *pb.IdentifyRequest) (*pb.IdentifyReply, error) {
	return &pb.IdentifyReply{Member: c.options.Self, Initialised: c.options.Group.Status().Initialised}, nil
}
