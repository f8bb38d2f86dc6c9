package endpoint

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// HomeClient is the Follower that calls homes by RPC: it polls their digests,
// and acquires and releases slots.
//
// Locks: mu guards homes; slotsMu guards slots, slotsByAttempt and
// refusalCounts. Neither is held during a call or while the other is taken.
// Candidates takes none.
type HomeClient struct {
	options FollowerOptions
	metrics *followerMetrics
	index   atomic.Pointer[index]
	// firstPollEnd is when the first poll of all homes ended; nil before that.
	firstPollEnd atomic.Pointer[time.Time]
	releases     chan pendingRelease

	mu    sync.Mutex
	homes *followedHomes

	slotsMu        sync.Mutex
	slots          map[slotKey]*trackedSlot
	slotsByAttempt map[fleet.AttemptID]int
	refusalCounts  refusalCounts
}

const (
	minPollInterval     = 500 * time.Millisecond // for each home, when there are few
	maxPollInterval     = 1500 * time.Millisecond
	pollIntervalPerHome = 100 * time.Millisecond // ten polls a second at most
	pollWorkers         = 8
	releaseWorkers      = 4
	releaseQueueSize    = 4096
	renewInterval       = 250 * time.Millisecond
	maxRenewWorkers     = 4
)

// NewFollower returns a HomeClient that knows no endpoint yet.
func NewFollower(o FollowerOptions) *HomeClient {
	if o.MaxHomes <= 0 {
		o.MaxHomes = DefaultMaxHomes
	}
	f := &HomeClient{
		options:        o,
		metrics:        newFollowerMetrics(o.Registerer),
		releases:       make(chan pendingRelease, releaseQueueSize),
		homes:          newFollowedHomes(),
		slots:          make(map[slotKey]*trackedSlot),
		slotsByAttempt: make(map[fleet.AttemptID]int),
		refusalCounts:  make(refusalCounts),
	}
	f.index.Store(newIndex(nil))
	return f
}

var _ Follower = (*HomeClient)(nil)

// Candidates implements Follower.
func (c *HomeClient) Candidates(q Query) []Candidate {
	return c.index.Load().candidates(time.Now(), q)
}

// Find implements Follower.
func (c *HomeClient) Find(id fleet.EndpointID) (Candidate, bool) {
	return c.index.Load().find(time.Now(), id)
}

// CountVersions implements Follower.
func (c *HomeClient) CountVersions(q Query) map[string]int {
	return c.index.Load().countVersions(time.Now(), q)
}

// FirstPollTime implements Follower.
func (c *HomeClient) FirstPollTime() (time.Time, bool) {
	at := c.firstPollEnd.Load()
	if at == nil {
		return time.Time{}, false
	}
	return *at, true
}

// Run polls homes, renews grants and sends releases until ctx ends.
func (c *HomeClient) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range releaseWorkers {
		workers.Go(func() { c.releaseLoop(ctx) })
	}
	workers.Go(func() { c.renewLoop(ctx) })
	c.pollLoop(ctx)
	workers.Wait()
	return nil
}

func (c *HomeClient) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		view := c.options.Source.State().View.Number
		c.pollAll(ctx)
		c.awaitPoll(ctx, view)
	}
}

// awaitPoll waits until the next poll is due or the view is no longer
// polledView.
//
// A change of settings wakes all followers but must not cause a poll, since
// nothing in a digest depends on settings. When it did, ten changes a second in
// a fleet of nine daemons made five times the polls.
func (c *HomeClient) awaitPoll(ctx context.Context, polledView uint64) {
	timer := time.NewTimer(c.pollInterval())
	defer timer.Stop()
	for {
		changed := c.options.Source.Changed()
		if c.options.Source.State().View.Number != polledView {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// pollInterval keeps polls at ten a second or fewer and digests younger than
// maxDigestAge.
func (c *HomeClient) pollInterval() time.Duration {
	entries := len(c.options.Source.State().View.Instances)
	homes := min(entries, c.options.MaxHomes)
	return min(max(time.Duration(homes)*pollIntervalPerHome, minPollInterval), maxPollInterval)
}

// pollAll polls the followed homes once, pollWorkers at a time.
func (c *HomeClient) pollAll(ctx context.Context) {
	homes := homesToFollow(c.options.Source.Self(), c.options.Source.State().View, c.options.MaxHomes)
	c.dropUnfollowed(homes)
	limit := make(chan struct{}, pollWorkers)
	var calls sync.WaitGroup
	for _, home := range homes {
		select {
		case limit <- struct{}{}:
		case <-ctx.Done():
			calls.Wait()
			return
		}
		calls.Go(func() {
			c.poll(ctx, home)
			<-limit
		})
	}
	calls.Wait()
	c.recordFirstPoll(homes)
}

// recordFirstPoll records when the first poll of any home ended. A home that
// did not answer counts as polled: it may have failed.
func (c *HomeClient) recordFirstPoll(homes []fleet.Instance) {
	if len(homes) == 0 || c.firstPollEnd.Load() != nil {
		return
	}
	now := time.Now()
	c.firstPollEnd.Store(&now)
}

func (c *HomeClient) dropUnfollowed(homes []fleet.Instance) {
	owners := make(map[fleet.InstanceID]fleet.Owner, len(homes))
	for _, h := range homes {
		owners[h.ID] = h.Owner()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.homes.retain(owners) {
		c.index.Store(newIndex(c.homes.endpoints()))
	}
}

func (c *HomeClient) poll(ctx context.Context, home fleet.Instance) {
	ctx, cancel := context.WithTimeout(ctx, minPollInterval)
	defer cancel()
	c.mu.Lock()
	staticVersion, cacheVersion := c.homes.versions(home.Owner())
	c.mu.Unlock()
	request := &pb.DigestRequest{
		Owner:         c.options.Source.Self().Owner().Proto(),
		StaticVersion: staticVersion,
		CacheVersion:  cacheVersion,
	}
	sentAt := time.Now()
	reply, err := c.requestDigest(ctx, home, request)
	if err != nil {
		c.metrics.failedPolls.Inc()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The age counts from the request: the reply may have been in transit for
	// as long as the call took.
	if c.homes.mergeReply(sentAt, home.Owner(), reply) {
		c.index.Store(newIndex(c.homes.endpoints()))
	}
}

func (c *HomeClient) requestDigest(ctx context.Context, home fleet.Instance, request *pb.DigestRequest) (*pb.DigestReply, error) {
	client, err := c.client(ctx, home.RPCAddress)
	if err != nil {
		return nil, err
	}
	return client.Digest(ctx, request)
}

// homeCaller is the part of the home service that followers use. The local home
// and the drpc client implement it.
type homeCaller interface {
	Grant(ctx context.Context, in *pb.GrantRequest) (*pb.GrantReply, error)
	Release(ctx context.Context, in *pb.ReleaseRequest) (*pb.ReleaseReply, error)
	Digest(ctx context.Context, in *pb.DigestRequest) (*pb.DigestReply, error)
}

func (c *HomeClient) client(ctx context.Context, address string) (homeCaller, error) {
	if c.options.Home != nil && address == c.options.Source.Self().RPCAddress {
		return c.options.Home, nil
	}
	conn, err := c.options.Dialer.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return pb.NewDRPCHomeClient(conn), nil
}

// applyPiggybacked applies the digests attached to another reply, for endpoints
// that are already known.
func (c *HomeClient) applyPiggybacked(requestedAt time.Time, digests []*pb.EndpointDigest) {
	x := c.index.Load()
	for _, d := range digests {
		if r, ok := x.byID[fleet.EndpointID(d.GetId())]; ok {
			r.update(requestedAt, d, fleet.Incarnation(d.GetIncarnation()))
		}
	}
}
