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

func (c *Coordinator) recordEndpointSeen(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpointsSeen[endpoint] = true
}

func (c *Coordinator) recordEntrySeen(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entriesSeen[entry] = true
}

// runSeenReports reports to the leader every seenReportInterval until ctx ends, and at
// once when there is a new leader.
//
// The immediate report matters when all instances were killed or the leader died: entries
// accept keys only from a member in contact with the leader, and reject all callers until
// its next report.
func (c *Coordinator) runSeenReports(ctx context.Context) error {
	for {
		leader := c.leaderAddress()
		c.reportSeen(ctx)
		if !c.awaitNextReport(ctx, leader) {
			return nil
		}
	}
}

// awaitNextReport returns when the next report is due: after seenReportInterval, or once
// the leader is not the one at address before. It returns false if ctx ends first.
func (c *Coordinator) awaitNextReport(ctx context.Context, before string) bool {
	for began := time.Now(); time.Since(began) < seenReportInterval; {
		if !sleep.For(ctx, leaderPollInterval) {
			return false
		}
		if leader := c.leaderAddress(); leader != "" && leader != before {
			return true
		}
	}
	return true
}

// reportSeen reports to the leader which endpoints and entries were seen here. The
// leader's answer proves that this member is in contact; without it, entries and
// endpoints soon turn to other members.
func (c *Coordinator) reportSeen(ctx context.Context) {
	request := c.collectSeen()
	sent, uptime := time.Now(), c.options.Uptime()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	index, err := c.sendSeen(ctx, request)
	if err == nil {
		err = c.options.Machine.AwaitApplied(ctx, index)
	}
	if err != nil {
		c.restoreSeen(request)
		c.recordLostContact(time.Now(), err)
		return
	}
	c.recordContact(sent, uptime)
}

// recordContact records that the leader answered a report sent at the given time and
// uptime of this machine: this member has applied what was committed by then.
func (c *Coordinator) recordContact(sent time.Time, uptime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isReady && c.voterCount() >= c.options.requiredVoters() {
		c.isReady = true
		close(c.ready)
	}
	if !c.inContact {
		c.options.Part.Info("Contact with the leader established.", "leader", c.leaderAddress())
	}
	if !time.Now().Before(c.contactUntil) {
		close(c.contactRegained)
		c.contactRegained = make(chan struct{})
	}
	c.inContact = true
	c.contactUntil = sent.Add(contactValidity)
	c.confirmedUptime = uptime
}

// recordLostContact logs once when this member stops being current.
func (c *Coordinator) recordLostContact(now time.Time, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inContact || now.Before(c.contactUntil) {
		return
	}
	c.inContact = false
	c.options.Part.Warn("Contact with the leader lost.", "since", c.contactUntil.UTC().Format(time.RFC3339Nano), "err", cause)
}

func (c *Coordinator) collectSeen() *pb.SeenRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := &pb.SeenRequest{
		Member:    c.options.Self.DiskId,
		Endpoints: slices.Collect(maps.Keys(c.endpointsSeen)), Entries: slices.Collect(maps.Keys(c.entriesSeen)),
	}
	clear(c.endpointsSeen)
	clear(c.entriesSeen)
	return request
}

func (c *Coordinator) restoreSeen(request *pb.SeenRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range request.Endpoints {
		c.endpointsSeen[id] = true
	}
	for _, id := range request.Entries {
		c.entriesSeen[id] = true
	}
}

func (c *Coordinator) sendSeen(ctx context.Context, request *pb.SeenRequest) (uint64, error) {
	if c.options.Group.Status().IsLeader {
		reply, err := c.Seen(ctx, request)
		return reply.GetIndex(), err
	}
	client, err := c.leaderClient(ctx)
	if err != nil {
		return 0, err
	}
	reply, err := client.Seen(ctx, request)
	return reply.GetIndex(), err
}

// Seen implements pb.DRPCCoordinatorServer.
func (c *Coordinator) Seen(ctx context.Context, request *pb.SeenRequest) (*pb.SeenReply, error) {
	index, err := c.readIndexAsLeader(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range request.Endpoints {
		c.lastSeen[id] = now
	}
	for _, id := range request.Entries {
		c.lastSeen[id] = now
	}
	return &pb.SeenReply{Index: index}, nil
}

// runLeaderTasks does nothing unless this member leads. It looks for members whose disk
// was replaced, for lost voters and for records whose heartbeats have stopped, and
// changes stages.
func (c *Coordinator) runLeaderTasks(ctx context.Context) {
	if !c.options.Group.Status().IsLeader {
		c.mu.Lock()
		c.leadingSince = time.Time{}
		c.mu.Unlock()
		return
	}
	c.findReplacedDisks(ctx)
	c.removeLostVoter()
	if expired := c.findExpired(time.Now()); expired != nil {
		c.expire(ctx, expired)
	}
	c.stages.step(ctx)
}

// findExpired returns the records whose heartbeats have stopped, or nil if there are
// none. A leader that has just begun to lead, or was suspended, has no times; every record
// then gets its full timeout again, since silencing all endpoints at once would reject
// all requests.
func (c *Coordinator) findExpired(now time.Time) *pb.Expire {
	endpoints, entries := c.options.Machine.Records()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadingSince.IsZero() || now.Sub(c.lastLeaderRun) > 2*leaderRunInterval+callTimeout {
		c.leadingSince = now
		clear(c.lastSeen)
	}
	c.lastLeaderRun = now
	expired := &pb.Expire{}
	for _, e := range endpoints {
		if catalog.Live(e) && c.silenceOf(e.Id, now) > c.options.EndpointTimeout {
			expired.Endpoints = append(expired.Endpoints, &pb.Expected{Id: e.Id, Revision: e.Revision})
		}
	}
	for _, e := range entries {
		if c.silenceOf(e.Id, now) > c.entryTimeoutFor(e) {
			expired.Entries = append(expired.Entries, &pb.Expected{Id: e.Id, Revision: e.Revision})
		}
	}
	if len(expired.Endpoints)+len(expired.Entries) == 0 {
		return nil
	}
	return expired
}

// entryTimeoutFor returns how long an entry may go without polling until it counts as gone
// or, if it is gone already, until its record is deleted.
func (c *Coordinator) entryTimeoutFor(e *pb.EntryRecord) time.Duration {
	if e.Gone {
		return max(entryTimeout, c.options.SenderRetention)
	}
	return entryTimeout
}

// silenceOf returns the time since the endpoint or entry of a record was last seen. One that
// was never seen counts from the first call. It is called with c.mu held.
func (c *Coordinator) silenceOf(id string, now time.Time) time.Duration {
	last, ok := c.lastSeen[id]
	if !ok {
		c.lastSeen[id] = now
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
		c.options.Part.Warn("Entry timed out.", "entry", e.Id, "revision", e.Revision, "err", trace.Unwrap(err))
	}
}
