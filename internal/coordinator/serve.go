package coordinator

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/catalog"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

var _ pb.DRPCCoordinatorServer = (*Coordinator)(nil)
var _ pb.DRPCConsensusServer = (*Coordinator)(nil)

// maxFollowWait bounds how long a Follow call waits for changes.
const maxFollowWait = time.Second

// Step implements pb.DRPCConsensusServer.
func (c *Coordinator) Step(ctx context.Context, m *pb.ConsensusMessage) (*pb.StepReply, error) {
	if err := c.options.Group.Step(ctx, m); err != nil {
		return nil, err
	}
	return &pb.StepReply{}, nil
}

// Propose implements pb.DRPCCoordinatorServer.
func (c *Coordinator) Propose(ctx context.Context, request *pb.ProposeRequest) (*pb.ProposeReply, error) {
	index, err := c.proposeAsLeader(ctx, request.Command)
	if err != nil {
		return nil, err
	}
	return &pb.ProposeReply{Index: index}, nil
}

// ReadIndex implements pb.DRPCCoordinatorServer.
func (c *Coordinator) ReadIndex(ctx context.Context, _ *pb.ReadIndexRequest) (*pb.ReadIndexReply, error) {
	index, err := c.readIndexAsLeader(ctx)
	if err != nil {
		return nil, err
	}
	return &pb.ReadIndexReply{Index: index}, nil
}

// Follow implements pb.DRPCCoordinatorServer. It answers when there are changes, when
// this member regains contact with the leader, or at the end of the requested wait.
func (c *Coordinator) Follow(ctx context.Context, request *pb.FollowRequest) (*pb.FollowReply, error) {
	if request.Self.GetId() != "" {
		c.recordEntry(request.Self)
		c.versions.record(request.Self.Id, request.InForce, c.options.Machine.CurrentDocument().Version(), time.Now())
	}
	timer := time.NewTimer(min(time.Duration(request.WaitMs)*time.Millisecond, maxFollowWait))
	defer timer.Stop()
	contact := c.contactSignal(time.Now())
	for {
		revision, changed := c.options.Machine.Revision()
		changes, moreCrashes := c.crashChanges(request)
		if revision > request.Revision || len(changes.GetFindings()) > 0 || len(c.partChanges(request).GetFindings()) > 0 {
			return c.followReply(request), nil
		}
		select {
		case <-changed:
		case <-moreCrashes:
		case <-contact:
			return c.followReply(request), nil
		case <-timer.C:
			return c.followReply(request), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// contactSignal returns a channel that is closed when this member regains contact with
// the leader, or nil while it is in contact. Entries that poll a member without contact
// wait for nothing else.
func (c *Coordinator) contactSignal(now time.Time) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.contactUntil) {
		return nil
	}
	return c.contactRegained
}

func (c *Coordinator) followReply(request *pb.FollowRequest) *pb.FollowReply {
	confirmedAt := c.confirmedUntil()
	delta := c.options.Machine.Since(request.DocumentVersion, request.Revision)
	reply := &pb.FollowReply{
		Current:   c.current(time.Now()) && delta.Revision >= request.Revision,
		Outline:   delta.Outline,
		Revision:  delta.Revision,
		Endpoints: delta.Endpoints,
		More:      delta.More,
		Entries:   uint32(max(c.options.Machine.ReadyCount(), c.versions.polling(time.Now()))),
	}
	if reply.Current {
		reply.Senders = uint32(c.options.Machine.Senders())
	}
	if confirmedAt > 0 {
		reply.AgeUs = uint64((c.options.Uptime() - confirmedAt).Microseconds()) + 1
	}
	reply.Members, reply.Near = c.membersFor(request.Self.GetZone())
	reply.Crashes, _ = c.crashChanges(request)
	reply.Parts = c.partChanges(request)
	if request.AcceptsPacked && len(delta.Endpoints) >= minPackedRecords {
		c.packEndpoints(request.Revision, reply)
	}
	return reply
}

// packEndpoints packs the endpoints of a reply. It leaves them as they are on an error.
func (c *Coordinator) packEndpoints(after uint64, reply *pb.FollowReply) {
	packed, err := c.parts.pack(after, reply.Endpoints)
	if err != nil {
		c.options.Part.Warn("Endpoints can't be packed.", "count", len(reply.Endpoints), "err", err)
		return
	}
	reply.Packed, reply.Endpoints = packed, nil
}

// crashChanges returns the findings on requests that crash endpoints that the polling
// entry has not read yet, and a channel that is closed when there are more.
func (c *Coordinator) crashChanges(request *pb.FollowRequest) (*pb.CrashNews, <-chan struct{}) {
	if c.options.Crashes == nil {
		return nil, nil
	}
	return c.options.Crashes.ChangesSince(request.Crashes)
}

// partChanges returns the findings on parts of prompts that the polling entry has not read yet;
// nil for an entry of an earlier build, which would poll for them without end.
func (c *Coordinator) partChanges(request *pb.FollowRequest) *pb.PartNews {
	if c.options.Crashes == nil || !request.AcceptsParts {
		return nil
	}
	return c.options.Crashes.PartChangesSince(request.Parts)
}

// confirmedUntil returns the time, by Options.Uptime, until which this member knows all
// confirmed documents; 0 before the leader's first reply.
func (c *Coordinator) confirmedUntil() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedUptime
}

// QuotaServerCount returns how many control instances share the teams' quotas, or 0 while
// that is unknown.
func (c *Coordinator) QuotaServerCount() int { return len(c.options.Group.Status().Members) }

// RetryPoolServers returns how many control instances share the retry pool. It is 0 while
// that is unknown, and while an entry that uses its whole part of the slack may send: the
// pool would be used twice.
func (c *Coordinator) RetryPoolServers() int {
	if !c.options.Machine.AllPoolRetries() {
		return 0
	}
	return len(c.options.Group.Status().Members)
}

// Members returns the RPC addresses of the control instances, none while they are
// unknown.
func (c *Coordinator) Members() []string {
	list, _ := c.membersFor("")
	return list
}

// membersFor returns the RPC addresses of the control instances, those of a zone first, and
// how many these are.
func (c *Coordinator) membersFor(zone string) (list []string, near uint32) {
	var others []string
	for _, m := range c.options.Group.Status().Members {
		if zone != "" && m.Member.Zone == zone {
			list = append(list, m.Member.RpcAddress)
			continue
		}
		others = append(others, m.Member.RpcAddress)
	}
	return append(list, others...), uint32(len(list))
}

// Blocks implements pb.DRPCCoordinatorServer.
func (c *Coordinator) Blocks(_ context.Context, request *pb.BlocksRequest) (*pb.BlocksReply, error) {
	sums := make([]blocks.Sum, 0, len(request.Blocks))
	for _, name := range request.Blocks {
		sum, err := blocks.ParseSum(name)
		if err != nil {
			return nil, err
		}
		sums = append(sums, sum)
	}
	return &pb.BlocksReply{Packed: c.options.Machine.Blocks(sums)}, nil
}

// recordEntry records that an entry was seen and commits changes of its record in the
// background, so that its poll doesn't wait for them. Without contact to the leader
// nothing is proposed: it could not be committed, and hundreds of entries poll
// repeatedly.
func (c *Coordinator) recordEntry(r *pb.EntryRecord) {
	c.recordEntrySeen(r.Id)
	if !c.current(time.Now()) || !catalog.EntryChanges(c.options.Machine.Entry(r.Id), r) || !c.beginTask(r.Id) {
		return
	}
	go func() {
		defer c.endTask(r.Id)
		ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
		defer cancel()
		err := c.reports.submitEntry(ctx, r)
		c.options.Part.Info("Entry reported.", "entry", r.Id, "name", r.Name, "ready", r.Ready, "gone", r.Gone, "err", err)
	}()
}
