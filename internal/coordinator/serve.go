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

// maxFollowWait bounds how long a Follow without news is held.
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
	index, err := c.proposeHere(ctx, request.Command)
	if err != nil {
		return nil, err
	}
	return &pb.ProposeReply{Index: index}, nil
}

// ReadIndex implements pb.DRPCCoordinatorServer.
func (c *Coordinator) ReadIndex(ctx context.Context, _ *pb.ReadIndexRequest) (*pb.ReadIndexReply, error) {
	index, err := c.readIndexHere(ctx)
	if err != nil {
		return nil, err
	}
	return &pb.ReadIndexReply{Index: index}, nil
}

// Follow implements pb.DRPCCoordinatorServer: it answers when there is news, when this
// member comes into touch, or at the end of the wait.
func (c *Coordinator) Follow(ctx context.Context, request *pb.FollowRequest) (*pb.FollowReply, error) {
	if request.Self.GetId() != "" {
		c.takeEntry(request.Self)
		c.versions.heard(request.Self.Id, request.InForce, c.options.Machine.InForce().Version(), time.Now())
	}
	timer := time.NewTimer(min(time.Duration(request.WaitMs)*time.Millisecond, maxFollowWait))
	defer timer.Stop()
	touched := c.awaitTouch(time.Now())
	for {
		revision, changed := c.options.Machine.Revision()
		news, crashes := c.crashNews(request)
		if revision > request.Revision || len(news.GetFindings()) > 0 {
			return c.followReply(request), nil
		}
		select {
		case <-changed:
		case <-crashes:
		case <-touched:
			return c.followReply(request), nil
		case <-timer.C:
			return c.followReply(request), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// awaitTouch gives a channel that is closed when this member comes into touch; nil while
// it is in touch. Entries that ask one that is not wait for nothing but that.
func (c *Coordinator) awaitTouch(now time.Time) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.currentUntil) {
		return nil
	}
	return c.touched
}

func (c *Coordinator) followReply(request *pb.FollowRequest) *pb.FollowReply {
	confirmedAt := c.lastConfirmed()
	delta := c.options.Machine.Since(request.DocumentVersion, request.Revision)
	reply := &pb.FollowReply{
		Current:   c.current(time.Now()) && delta.Revision >= request.Revision,
		Outline:   delta.Outline,
		Revision:  delta.Revision,
		Endpoints: delta.Endpoints,
		More:      delta.More,
		Entries:   uint32(len(c.options.Machine.ReadyEntries())),
	}
	if reply.Current {
		reply.Senders = uint32(c.options.Machine.Senders())
	}
	if confirmedAt > 0 {
		reply.AgeUs = uint64((c.options.Uptime() - confirmedAt).Microseconds()) + 1
	}
	reply.Members = c.Members()
	reply.Crashes, _ = c.crashNews(request)
	return reply
}

// crashNews gives what the entry that asks has not read yet of requests that crash
// endpoints, and a channel that is closed when there is more.
func (c *Coordinator) crashNews(request *pb.FollowRequest) (*pb.CrashNews, <-chan struct{}) {
	if c.options.Crashes == nil {
		return nil, nil
	}
	return c.options.Crashes.News(request.Crashes)
}

// lastConfirmed is until when this member knows all documents that were confirmed, by
// Options.Uptime; 0 before the leader's first word.
func (c *Coordinator) lastConfirmed() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt
}

// Keepers tells how many control instances share teams' quotas, 0 while that isn't
// known.
func (c *Coordinator) Keepers() int { return len(c.options.Group.Status().Members) }

// Members lists the addresses of the control instances, none while they aren't known.
func (c *Coordinator) Members() []string {
	var list []string
	for _, m := range c.options.Group.Status().Members {
		list = append(list, m.Member.RpcAddress)
	}
	return list
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

// takeEntry notes that an entry was heard, and commits what is new about it
// in the background: the entry's own question need not wait for it. Before this
// member is in touch with a group that takes commands, nothing can be committed,
// and hundreds of entries ask again and again.
func (c *Coordinator) takeEntry(r *pb.EntryRecord) {
	c.noteEntry(r.Id)
	if !c.current(time.Now()) || !catalog.EntryChanges(c.options.Machine.Entry(r.Id), r) || !c.beginReport(r.Id) {
		return
	}
	go func() {
		defer c.endReport(r.Id)
		ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
		defer cancel()
		err := c.reports.entry(ctx, r)
		c.options.Part.Info("Entry reported.", "entry", r.Id, "name", r.Name, "ready", r.Ready, "gone", r.Gone, "err", err)
	}()
}
