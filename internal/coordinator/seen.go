package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/catalog"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

func (c *Coordinator) noteHeard(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardHere[endpoint] = true
}

func (c *Coordinator) noteEntry(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entriesHere[entry] = true
}

// reportRegularly reports until ctx ends, and at once when there is another leader.
//
// Failure guarded: all instances were killed, or the leader died. Entries accept keys
// only by a member that is in touch, and each moment until its next report is one in
// which they turn all callers away.
func (c *Coordinator) reportRegularly(ctx context.Context) error {
	for {
		leader := c.leaderAddress()
		c.reportSeen(ctx)
		if !c.awaitReport(ctx, leader) {
			return nil
		}
	}
}

// awaitReport returns when the next report is due: after seenInterval, or once the
// leader is another one than before. It is false when ctx ended first.
func (c *Coordinator) awaitReport(ctx context.Context, before string) bool {
	for began := time.Now(); time.Since(began) < seenInterval; {
		if !sleep.For(ctx, leaderLook) {
			return false
		}
		if leader := c.leaderAddress(); leader != "" && leader != before {
			return true
		}
	}
	return true
}

// reportSeen tells the leader who was heard here. Its answer shows that this
// member is in touch; without one, entries and endpoints soon turn elsewhere.
func (c *Coordinator) reportSeen(ctx context.Context) {
	request := c.takeSeen()
	sent, uptime := time.Now(), c.options.Uptime()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	index, err := c.sendSeen(ctx, request)
	if err == nil {
		err = c.options.Machine.AwaitApplied(ctx, index)
	}
	if err != nil {
		c.putBackSeen(request)
		c.noteOutOfTouch(time.Now(), err)
		return
	}
	c.noteInTouch(sent, uptime)
}

// noteInTouch takes in that the leader answered a report that was sent at a time, and
// at an uptime of this machine: this member has applied what was committed by then.
func (c *Coordinator) noteInTouch(sent time.Time, uptime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isReady && c.voters() >= c.options.firstVoters() {
		c.isReady = true
		close(c.ready)
	}
	if !c.inTouch {
		c.options.Part.Info("In touch with the leader.", "leader", c.leaderAddress())
	}
	if !time.Now().Before(c.currentUntil) {
		close(c.touched)
		c.touched = make(chan struct{})
	}
	c.inTouch = true
	c.currentUntil = sent.Add(currentFor)
	c.confirmedAt = uptime
}

// noteOutOfTouch writes one line when this member stops being current.
func (c *Coordinator) noteOutOfTouch(now time.Time, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inTouch || now.Before(c.currentUntil) {
		return
	}
	c.inTouch = false
	c.options.Part.Warn("Out of touch with the leader.", "since", c.currentUntil.UTC().Format(time.RFC3339Nano), "err", cause)
}

func (c *Coordinator) takeSeen() *pb.SeenRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := &pb.SeenRequest{
		Member:    c.options.Self.DiskId,
		Endpoints: slices.Collect(maps.Keys(c.heardHere)), Entries: slices.Collect(maps.Keys(c.entriesHere)),
	}
	clear(c.heardHere)
	clear(c.entriesHere)
	return request
}

func (c *Coordinator) putBackSeen(request *pb.SeenRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range request.Endpoints {
		c.heardHere[id] = true
	}
	for _, id := range request.Entries {
		c.entriesHere[id] = true
	}
}

func (c *Coordinator) sendSeen(ctx context.Context, request *pb.SeenRequest) (uint64, error) {
	if c.options.Group.Status().IsLeader {
		reply, err := c.Seen(ctx, request)
		return reply.GetIndex(), err
	}
	client, err := c.leader(ctx)
	if err != nil {
		return 0, err
	}
	reply, err := client.Seen(ctx, request)
	return reply.GetIndex(), err
}

// Seen implements pb.DRPCCoordinatorServer.
func (c *Coordinator) Seen(ctx context.Context, request *pb.SeenRequest) (*pb.SeenReply, error) {
	index, err := c.readIndexHere(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range request.Endpoints {
		c.heard[id] = now
	}
	for _, id := range request.Entries {
		c.heard[id] = now
	}
	return &pb.SeenReply{Index: index}, nil
}

// lead does what the leader alone does: it looks for members whose disk was
// replaced, and for records whose heartbeats have stopped.
func (c *Coordinator) lead(ctx context.Context) {
	if !c.options.Group.Status().IsLeader {
		c.mu.Lock()
		c.leadingSince = time.Time{}
		c.mu.Unlock()
		return
	}
	c.findReplacedDisks(ctx)
	c.removeLost()
	if expired := c.overdue(time.Now()); expired != nil {
		c.expire(ctx, expired)
	}
	c.stages.step(ctx)
}

// overdue lists the records whose heartbeats have stopped. A leader that has
// just begun, or did not run for a while, has heard nobody: everyone gets the
// whole time anew, since silencing all endpoints at once would refuse all work.
func (c *Coordinator) overdue(now time.Time) *pb.Expire {
	endpoints, entries := c.options.Machine.Records()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadingSince.IsZero() || now.Sub(c.lastLook) > 2*leaderInterval+callTimeout {
		c.leadingSince = now
		clear(c.heard)
	}
	c.lastLook = now
	expired := &pb.Expire{}
	for _, e := range endpoints {
		if catalog.Live(e) && c.silentFor(e.Id, now) > c.options.EndpointSilence {
			expired.Endpoints = append(expired.Endpoints, &pb.Expected{Id: e.Id, Revision: e.Revision})
		}
	}
	for _, e := range entries {
		if c.silentFor(e.Id, now) > c.entryLimit(e) {
			expired.Entries = append(expired.Entries, &pb.Expected{Id: e.Id, Revision: e.Revision})
		}
	}
	if len(expired.Endpoints)+len(expired.Entries) == 0 {
		return nil
	}
	return expired
}

// entryLimit is how long an entry may be unheard until it counts as gone, and then until
// it is forgotten.
func (c *Coordinator) entryLimit(e *pb.EntryRecord) time.Duration {
	if e.Gone {
		return max(entrySilence, c.options.SenderKept)
	}
	return entrySilence
}

// silentFor is called with c.mu held. A record that was never heard counts
// from its first look.
func (c *Coordinator) silentFor(id string, now time.Time) time.Duration {
	last, ok := c.heard[id]
	if !ok {
		c.heard[id] = now
		return 0
	}
	return now.Sub(last)
}

func (c *Coordinator) expire(ctx context.Context, expired *pb.Expire) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.commit(ctx, &pb.CatalogCommand{Kind: &pb.CatalogCommand_Expire{Expire: expired}})
	c.metrics.expired.WithLabelValues("endpoint").Add(float64(len(expired.Endpoints)))
	c.metrics.expired.WithLabelValues("entry").Add(float64(len(expired.Entries)))
	for _, e := range expired.Endpoints {
		c.options.Part.Warn("Endpoint is silent.", "endpoint", e.Id, "revision", e.Revision, "err", trace.Unwrap(err))
	}
	for _, e := range expired.Entries {
		c.options.Part.Warn("Entry is silent.", "entry", e.Id, "revision", e.Revision, "err", trace.Unwrap(err))
	}
}
