package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// fleetName names the group that is formed without an operator's hand.
const fleetName = "fleet"

// keepMembership makes this disk a member: it forms the group, or asks to join
// it, until the membership shows it. A member that has not heard of a leader
// for long asks too: it may have been removed while it was away, which its own
// log doesn't show.
func (c *Coordinator) keepMembership(ctx context.Context) {
	status := c.options.Group.Status()
	if c.isMember() && !c.outOfTouch(time.Now()) {
		return
	}
	if !status.Initialised && c.forms() {
		c.form()
		return
	}
	c.askToJoin(ctx)
}

func (c *Coordinator) outOfTouch(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.currentUntil) > outOfTouch && now.Sub(c.started) > outOfTouch
}

func (c *Coordinator) isMember() bool {
	for _, m := range c.options.Group.Status().Members {
		if m.Member.DiskId == c.options.Self.DiskId {
			return true
		}
	}
	return false
}

// forms tells whether this instance forms the group: the first of the seeds by
// order does, and only at the fleet's first start. An empty disk alone never
// does: it may be a lost disk's successor, and a second group would forget all
// that the first has acknowledged.
func (c *Coordinator) forms() bool {
	return c.options.Bootstrap && len(c.options.Seeds) > 0 && slices.Min(c.options.Seeds) == c.options.Self.RpcAddress
}

func (c *Coordinator) form() {
	err := c.options.Group.Init(fleetName, []*pb.Member{c.options.Self})
	if err != nil {
		c.options.Part.Warn("Group was not formed.", "err", err)
		return
	}
	c.options.Part.Info("Formed the group.", "disk", c.options.Self.DiskId)
}

// askToJoin asks the known instances in turn to add this disk.
func (c *Coordinator) askToJoin(ctx context.Context) {
	for _, address := range c.knownAddresses() {
		if address == c.options.Self.RpcAddress {
			continue
		}
		if c.joinAt(ctx, address) {
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

func (c *Coordinator) joinAt(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := c.client(ctx, address)
	if err == nil {
		_, err = client.Join(ctx, &pb.JoinRequest{Member: c.options.Self})
	}
	c.options.Part.Debug("Asked to join.", "address", address, "err", err)
	return err == nil
}

// Join implements pb.DRPCCoordinatorServer. It returns when the leader has
// begun to add the member, not when that is done.
func (c *Coordinator) Join(ctx context.Context, request *pb.JoinRequest) (*pb.JoinReply, error) {
	if c.options.Group.Status().IsLeader {
		c.addMember(request.Member)
		return &pb.JoinReply{}, nil
	}
	client, err := c.leader(ctx)
	if err != nil {
		return nil, err
	}
	return client.Join(ctx, request)
}

// addMember proposes a member in the background, one at a time for each disk.
func (c *Coordinator) addMember(m *pb.Member) {
	if m.GetDiskId() == "" || c.hasMember(m) || !c.beginReport(m.DiskId) {
		return
	}
	go func() {
		defer c.endReport(m.DiskId)
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
		defer cancel()
		err := c.proposeJoin(ctx, m)
		c.options.Part.Info("Member joins.", "instance", m.InstanceId, "disk", m.DiskId, "address", m.RpcAddress, "err", err)
	}()
}

// proposeJoin waits for its turn: the group changes by one member at a time, and
// at the first start all join at once.
func (c *Coordinator) proposeJoin(ctx context.Context, m *pb.Member) error {
	for {
		_, err := c.options.Group.ProposeMember(ctx, false, m)
		if !trace.IsCompareFailed(err) {
			return err
		}
		if err := pause(ctx, retryPause); err != nil {
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

// beginReport tells whether no work for id is under way, and notes that it is.
func (c *Coordinator) beginReport(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reporting[id] {
		return false
	}
	c.reporting[id] = true
	return true
}

func (c *Coordinator) endReport(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reporting, id)
}

// findReplacedDisks asks at the addresses of members that are not heard who is
// there. An instance that has lost its disk may not reach its own seeds, while
// the group still knows its address; without the question it would stay out,
// and the loss of one disk more would stop the group.
func (c *Coordinator) findReplacedDisks(ctx context.Context) {
	for _, m := range c.options.Group.Status().Members {
		if !c.hears(m) && c.beginReport(m.Member.RpcAddress) {
			go c.identify(ctx, m.Member)
		}
	}
}

func (c *Coordinator) identify(ctx context.Context, m *pb.Member) {
	defer c.endReport(m.RpcAddress)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := c.client(ctx, m.RpcAddress)
	if err != nil {
		return // the instance is down or cut off: it is asked again
	}
	reply, err := client.Identify(ctx, &pb.IdentifyRequest{})
	if err != nil || reply.Member.GetDiskId() == m.DiskId {
		return // as above, or it is there with the disk it had
	}
	c.addMember(reply.Member)
}

// Identify implements pb.DRPCCoordinatorServer.
func (c *Coordinator) Identify(context.Context, *pb.IdentifyRequest) (*pb.IdentifyReply, error) {
	return &pb.IdentifyReply{Member: c.options.Self, Initialised: c.options.Group.Status().Initialised}, nil
}
