package endpoint

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// HomeClient is the Follower that asks homes by RPC: the shell that follows
// them and takes and gives their slots.
//
// Locks: mu guards peers; attemptsMu guards attempts. Neither is held during a
// call, and neither is taken while the other is held. Candidates takes none.
type HomeClient struct {
	options FollowerOptions
	metrics *followerMetrics
	index   atomic.Pointer[index]
	// surveyed is when the first poll of all homes ended; nil: it has not.
	surveyed atomic.Pointer[time.Time]
	gives    chan give

	mu    sync.Mutex
	peers *peers

	attemptsMu sync.Mutex
	attempts   map[takenKey]*taken
	byAttempt  map[fleet.AttemptID]int
	doubts     doubts
}

const (
	pollEvery      = 500 * time.Millisecond // each home, when there are few
	pollLongest    = 1500 * time.Millisecond
	pollEachHome   = 100 * time.Millisecond // ten polls a second at most
	pollWorkers    = 8
	giveWorkers    = 4
	giveQueue      = 4096
	renewEvery     = 250 * time.Millisecond
	maxRenewWorker = 4
)

// NewFollower makes a follower that knows no endpoint yet.
func NewFollower(o FollowerOptions) *HomeClient {
	if o.Homes <= 0 {
		o.Homes = DefaultHomes
	}
	f := &HomeClient{
		options:   o,
		metrics:   newFollowerMetrics(o.Registerer),
		gives:     make(chan give, giveQueue),
		peers:     newPeers(),
		attempts:  make(map[takenKey]*taken),
		byAttempt: make(map[fleet.AttemptID]int),
		doubts:    make(doubts),
	}
	f.index.Store(newIndex(nil))
	return f
}

var _ Follower = (*HomeClient)(nil)

// Candidates implements Follower.
func (f *HomeClient) Candidates(q Query) []Candidate {
	return f.index.Load().candidates(time.Now(), q)
}

// Surveyed implements Follower.
func (f *HomeClient) Surveyed() (time.Time, bool) {
	at := f.surveyed.Load()
	if at == nil {
		return time.Time{}, false
	}
	return *at, true
}

// Run polls, renews and gives back until ctx ends.
func (f *HomeClient) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range giveWorkers {
		workers.Go(func() { f.giveLoop(ctx) })
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

// awaitPoll waits until the next poll is due or the view is another than the
// one that was polled.
//
// Failure guarded: each change of settings wakes all followers. When they
// polled all homes for it, ten changes a second in a fleet of nine daemons made
// five times the polls, and nothing in a digest depends on settings.
func (f *HomeClient) awaitPoll(ctx context.Context, polled uint64) {
	timer := time.NewTimer(f.pollInterval())
	defer timer.Stop()
	for {
		changed := f.options.Source.Changed()
		if f.options.Source.State().View.Number != polled {
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

// pollInterval keeps polls under ten a second, whatever is followed, and
// digests younger than digestLife.
func (f *HomeClient) pollInterval() time.Duration {
	entries := len(f.options.Source.State().View.Instances)
	homes := min(entries, f.options.Homes)
	return min(max(time.Duration(homes)*pollEachHome, pollEvery), pollLongest)
}

// pollAll asks the followed homes once, a few at a time.
func (f *HomeClient) pollAll(ctx context.Context) {
	homes := followed(f.options.Source.Self(), f.options.Source.State().View, f.options.Homes)
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
	f.noteSurvey(homes)
}

// noteSurvey keeps when the first poll of any home ended. A home that did not
// answer counts as asked: it may be gone.
func (f *HomeClient) noteSurvey(homes []fleet.Instance) {
	if len(homes) == 0 || f.surveyed.Load() != nil {
		return
	}
	now := time.Now()
	f.surveyed.Store(&now)
}

func (f *HomeClient) dropUnfollowed(homes []fleet.Instance) {
	owners := make(map[fleet.InstanceID]fleet.Owner, len(homes))
	for _, h := range homes {
		owners[h.ID] = h.Owner()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers.keep(owners) {
		f.index.Store(newIndex(f.peers.rows()))
	}
}

func (f *HomeClient) poll(ctx context.Context, home fleet.Instance) {
	ctx, cancel := context.WithTimeout(ctx, pollEvery)
	defer cancel()
	f.mu.Lock()
	statics, caches := f.peers.versions(home.Owner())
	f.mu.Unlock()
	request := &pb.DigestRequest{
		Owner:         f.options.Source.Self().Owner().Proto(),
		StaticVersion: statics,
		CacheVersion:  caches,
	}
	asked := time.Now()
	reply, err := f.askDigest(ctx, home, request)
	if err != nil {
		f.metrics.failedPolls.Inc()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// The age counts from the question: an answer may have been under way for
	// as long as the call took.
	if f.peers.take(asked, home.Owner(), reply) {
		f.index.Store(newIndex(f.peers.rows()))
	}
}

func (f *HomeClient) askDigest(ctx context.Context, home fleet.Instance, request *pb.DigestRequest) (*pb.DigestReply, error) {
	client, err := f.client(ctx, home.RPCAddress)
	if err != nil {
		return nil, err
	}
	return client.Digest(ctx, request)
}

// caller is the part of the home service that followers use; the local home
// and the drpc client both have it.
type caller interface {
	Grant(ctx context.Context, in *pb.GrantRequest) (*pb.GrantReply, error)
	Release(ctx context.Context, in *pb.ReleaseRequest) (*pb.ReleaseReply, error)
	Digest(ctx context.Context, in *pb.DigestRequest) (*pb.DigestReply, error)
}

func (f *HomeClient) client(ctx context.Context, address string) (caller, error) {
	if f.options.Home != nil && address == f.options.Source.Self().RPCAddress {
		return f.options.Home, nil
	}
	conn, err := f.options.Dialer.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return pb.NewDRPCHomeClient(conn), nil
}

// piggyback takes the digests of another answer: newer figures for endpoints
// that are known.
func (f *HomeClient) piggyback(at time.Time, digests []*pb.EndpointDigest) {
	x := f.index.Load()
	for _, d := range digests {
		if r, ok := x.byID[fleet.EndpointID(d.GetId())]; ok {
			r.update(at, d, fleet.Incarnation(d.GetIncarnation()))
		}
	}
}
