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
func (f *HomeClient) Candidates(q Query) []Candidate {
	return f.index.Load().candidates(time.Now(), q)
}

// FirstPollTime implements Follower.
func (f *HomeClient) FirstPollTime() (time.Time, bool) {
	at := f.firstPollEnd.Load()
	if at == nil {
		return time.Time{}, false
	}
	return *at, true
}

// Run polls homes, renews grants and sends releases until ctx ends.
func (f *HomeClient) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range releaseWorkers {
		workers.Go(func() { f.releaseLoop(ctx) })
	}
	workers.Go(func() { f.renewLoop(ctx) })
	f.pollLoop(ctx)
	workers.Wait()
	return nil
}

func (f *HomeClient) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		view := f.options.Source.State().View.Number
		f.pollAll(ctx)
		f.awaitPoll(ctx, view)
	}
}

// awaitPoll waits until the next poll is due or the view is no longer
// polledView.
//
// A change of settings wakes all followers but must not cause a poll, since
// nothing in a digest depends on settings. When it did, ten changes a second in
// a fleet of nine daemons made five times the polls.
func (f *HomeClient) awaitPoll(ctx context.Context, polledView uint64) {
	timer := time.NewTimer(f.pollInterval())
	defer timer.Stop()
	for {
		changed := f.options.Source.Changed()
		if f.options.Source.State().View.Number != polledView {
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
func (f *HomeClient) pollInterval() time.Duration {
	entries := len(f.options.Source.State().View.Instances)
	homes := min(entries, f.options.MaxHomes)
	return min(max(time.Duration(homes)*pollIntervalPerHome, minPollInterval), maxPollInterval)
}

// pollAll polls the followed homes once, pollWorkers at a time.
func (f *HomeClient) pollAll(ctx context.Context) {
	homes := homesToFollow(f.options.Source.Self(), f.options.Source.State().View, f.options.MaxHomes)
	f.dropUnfollowed(homes)
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
			f.poll(ctx, home)
			<-limit
		})
	}
	calls.Wait()
	f.recordFirstPoll(homes)
}

// recordFirstPoll records when the first poll of any home ended. A home that
// did not answer counts as polled: it may have failed.
func (f *HomeClient) recordFirstPoll(homes []fleet.Instance) {
	if len(homes) == 0 || f.firstPollEnd.Load() != nil {
		return
	}
	now := time.Now()
	f.firstPollEnd.Store(&now)
}

func (f *HomeClient) dropUnfollowed(homes []fleet.Instance) {
	owners := make(map[fleet.InstanceID]fleet.Owner, len(homes))
	for _, h := range homes {
		owners[h.ID] = h.Owner()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.homes.retain(owners) {
		f.index.Store(newIndex(f.homes.endpoints()))
	}
}

func (f *HomeClient) poll(ctx context.Context, home fleet.Instance) {
	ctx, cancel := context.WithTimeout(ctx, minPollInterval)
	defer cancel()
	f.mu.Lock()
	staticVersion, cacheVersion := f.homes.versions(home.Owner())
	f.mu.Unlock()
	request := &pb.DigestRequest{
		Owner:         f.options.Source.Self().Owner().Proto(),
		StaticVersion: staticVersion,
		CacheVersion:  cacheVersion,
	}
	sentAt := time.Now()
	reply, err := f.requestDigest(ctx, home, request)
	if err != nil {
		f.metrics.failedPolls.Inc()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// The age counts from the request: the reply may have been in transit for
	// as long as the call took.
	if f.homes.mergeReply(sentAt, home.Owner(), reply) {
		f.index.Store(newIndex(f.homes.endpoints()))
	}
}

func (f *HomeClient) requestDigest(ctx context.Context, home fleet.Instance, request *pb.DigestRequest) (*pb.DigestReply, error) {
	client, err := f.client(ctx, home.RPCAddress)
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

func (f *HomeClient) client(ctx context.Context, address string) (homeCaller, error) {
	if f.options.Home != nil && address == f.options.Source.Self().RPCAddress {
		return f.options.Home, nil
	}
	conn, err := f.options.Dialer.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return pb.NewDRPCHomeClient(conn), nil
}

// applyPiggybacked applies the digests attached to another reply, for endpoints
// that are already known.
func (f *HomeClient) applyPiggybacked(requestedAt time.Time, digests []*pb.EndpointDigest) {
	x := f.index.Load()
	for _, d := range digests {
		if r, ok := x.byID[fleet.EndpointID(d.GetId())]; ok {
			r.update(requestedAt, d, fleet.Incarnation(d.GetIncarnation()))
		}
	}
}
