package follower

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/backoff"
	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/catalog"
	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/relay"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// errNoLeader reports that a member answered but has no contact with a leader.
var errNoLeader = errors.New("the member is out of touch")

// Follower keeps an entry's view of its fleet.
type Follower struct {
	options Options
	metrics *metrics
	// failedMembers are the members that failed lately.
	failedMembers *backoff.Peers
	view          atomic.Pointer[relay.View]
	nextMember    atomic.Uint64
	// entries is how many entries the fleet has, as a member last told.
	entries   atomic.Uint32
	hadLeader atomic.Bool // a member with a leader has replied
	startedAt time.Time
	// outdatedSince is when a version was announced that is not in force yet, relative to
	// startedAt; 0 if the newest is in force.
	outdatedSince atomic.Int64

	mu             sync.Mutex // guards the fields below
	members        []string   // those of the entry's zone first
	near           int        // number of members in the entry's zone
	download       download
	versionSources []string             // members that announced the version being fetched
	decoded        *routetable.Document // document in force; nil before the first
	table          *routetable.Table    // compiled from decoded
	confirmations  confirmations        // of table's version and of newer ones
	revision       uint64
	endpoints      map[string]*pb.EndpointRecord
	usable         map[string]*dispatch.Endpoint // those of endpoints that may be used now
	silent         map[string]bool               // those that missed their heartbeats without leaving
	draining       map[string]bool               // those that announced that they leave, and have not left
	polled         [pollers]string               // member that each poller polls
	refreshCtx     context.Context               // canceled to start new polls at once
	cancelRefresh  context.CancelFunc
	fleetTransfer  fleetTransfer
	wake           chan struct{} // closed and replaced when there may be blocks to request
}

// New creates a Follower; call Run to start it.
func New(options Options) *Follower {
	refreshCtx, cancelRefresh := context.WithCancel(context.Background())
	return &Follower{
		options: options, metrics: newMetrics(options.Metrics), startedAt: time.Now(),
		failedMembers: backoff.New(minNearBackoff, maxNearBackoff),
		members:       options.Seeds, endpoints: map[string]*pb.EndpointRecord{}, usable: map[string]*dispatch.Endpoint{}, silent: map[string]bool{}, draining: map[string]bool{},
		download:   download{requested: map[blocks.Sum]bool{}},
		refreshCtx: refreshCtx, cancelRefresh: cancelRefresh, fleetTransfer: newFleetTransfer(), wake: make(chan struct{}),
	}
}

// View returns the newest view, or nil before the first.
func (f *Follower) View() *relay.View { return f.view.Load() }

// OutdatedFor returns how long a newer configuration than that of View has been known, or 0 if
// there is none.
func (f *Follower) OutdatedFor() time.Duration {
	since := f.outdatedSince.Load()
	if since == 0 {
		return 0
	}
	return max(0, time.Since(f.startedAt)-time.Duration(since))
}

// Members returns the RPC addresses of the known control instances.
func (f *Follower) Members() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// Run updates the view until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for poller := range pollers {
		group.Go(func() error { return f.runPoller(ctx, poller) })
		group.Go(func() error { return f.runFetcher(ctx, poller) })
	}
	return group.Wait()
}

// Refresh polls the members again at once, which reports changes of this entry to them.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelRefresh()
	f.refreshCtx, f.cancelRefresh = context.WithCancel(context.Background())
}

func (f *Follower) runPoller(ctx context.Context, poller int) error {
	member := ""
	delay, failures := minRetryDelay, 0
	for ctx.Err() == nil {
		f.awaitFleetTransfer(ctx, poller)
		if member == "" {
			member = f.pickMember(poller)
		}
		if err := f.poll(ctx, poller, member, failures); err != nil && ctx.Err() == nil {
			member = ""
			failures++
			sleep.For(ctx, max(delay, f.startDelay()))
			delay = nextRetryDelay(delay)
			continue
		}
		delay, failures = minRetryDelay, 0
		member = f.preferredOr(poller, member)
	}
	return nil
}

// startDelay returns the least delay after a failure before the first reply of a member with
// a leader, when all entries of a starting fleet poll the few members that they know.
func (f *Follower) startDelay() time.Duration {
	if f.hadLeader.Load() {
		return 0
	}
	return min(time.Duration(f.entries.Load())*pollDelayPerEntry, maxStartDelay)
}

// nextRetryDelay returns the delay after another failure.
func nextRetryDelay(delay time.Duration) time.Duration {
	return min(time.Duration(retryBackoffFactor*float64(delay)), maxRetryDelay)
}

// pickMember returns the next member in turn for a poller: a preferred one if one is
// available, or else one that the other poller doesn't use.
func (f *Follower) pickMember(poller int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	member := f.preferredMember(poller)
	for range f.members {
		if member != "" {
			break
		}
		next := f.members[f.nextMember.Add(1)%uint64(len(f.members))]
		if !f.polledByOther(poller, next) || len(f.members) < pollers {
			member = next
		}
	}
	member = cmp.Or(member, f.members[0])
	f.polled[poller] = member
	return member
}

// preferredOr returns the member that a poller polls next after a successful poll of the
// given one: a preferred one if that one isn't and another is available.
func (f *Follower) preferredOr(poller int, member string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.near == 0 || f.isNear(member) == (poller == nearPoller) {
		return member
	}
	f.polled[poller] = cmp.Or(f.preferredMember(poller), member)
	return f.polled[poller]
}

// preferredMember returns the next preferred member of a poller in turn that hasn't failed
// lately and that the other poller doesn't use; "" for none. nearPoller prefers near
// members, the other one all others. It is called with f.mu held.
func (f *Follower) preferredMember(poller int) string {
	if f.near == 0 {
		return ""
	}
	preferred := f.members[f.near:]
	if poller == nearPoller {
		preferred = f.members[:f.near]
	}
	for range preferred {
		member := preferred[f.nextMember.Add(1)%uint64(len(preferred))]
		if !f.polledByOther(poller, member) && f.failedMembers.Available(member, time.Now()) {
			return member
		}
	}
	return ""
}

// isNear reports whether a member is in the entry's zone. It is called with f.mu held.
func (f *Follower) isNear(member string) bool { return slices.Contains(f.members[:f.near], member) }

func (f *Follower) polledByOther(poller int, member string) bool {
	for other, polled := range f.polled {
		if other != poller && polled == member {
			return true
		}
	}
	return false
}

// poll sends one Follow request to a member and applies the reply. failures is how many
// polls have failed in a row.
func (f *Follower) poll(ctx context.Context, poller int, member string, failures int) error {
	request, refreshCtx := f.newRequest()
	if f.options.Crashes != nil {
		request.Crashes = f.options.Crashes.Mark(member)
		request.AcceptsParts, request.Parts = true, f.options.Crashes.PartMark(member)
	}
	sentAt := f.options.Uptime()
	idleTimeout := followIdleTimeout
	if request.Revision == 0 {
		idleTimeout = firstIdleTimeout(failures)
	}
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(refreshCtx, cancel)()
	transferCtx, transfer := rpc.WithTransfer(pollCtx, idleTimeout)
	reply, err := f.callFollow(transferCtx, member, request)
	if err = transfer.End(transferCtx, err); err == nil {
		err = unpack(reply)
	}
	if err != nil {
		f.endFleetTransfer(poller)
		if refreshCtx.Err() != nil {
			return nil
		}
		f.failedMembers.RecordFailure(member, time.Now())
		f.options.Part.Info("Poll failed; switching to another control instance.", "from", member,
			"took_ms", transfer.Elapsed().Milliseconds(), "received_bytes", transfer.ReceivedBytes(), "err", err)
		return err
	}
	f.entries.Store(reply.Entries)
	f.recordConfirmation(sentAt, request, reply)
	if f.options.Crashes != nil {
		f.options.Crashes.ApplyChanges(member, reply.Crashes)
		f.options.Crashes.ApplyPartChanges(member, reply.Parts)
	}
	if f.applyReply(poller, member, reply) && !reply.More {
		sleep.For(ctx, min(time.Duration(reply.Entries)*pollDelayPerEntry, maxPollDelay))
	}
	if !reply.Current {
		f.endFleetTransfer(poller)
		f.failedMembers.RecordFailure(member, time.Now())
		f.options.Part.Info("Control instance has no leader; switching to another one.", "from", member)
		return errNoLeader
	}
	f.failedMembers.RecordSuccess(member)
	f.hadLeader.Store(true)
	return nil
}

// firstIdleTimeout returns the idle timeout of a poll before there is a view, after a number
// of failures in a row: it doubles with each, up to followIdleTimeout.
//
// Guards against this failure: hundreds of entries start together, and members need longer
// for all of them than the first timeout. Polls that are given up then are work for nothing,
// and keep the members from answering any.
func firstIdleTimeout(failures int) time.Duration {
	return min(firstFollowIdleTimeout<<min(failures, 8), followIdleTimeout)
}

// unpack puts the endpoints of a packed reply in their place.
func unpack(reply *pb.FollowReply) error {
	if len(reply.Packed) == 0 {
		return nil
	}
	endpoints, err := catalog.Unpack(reply.Packed)
	reply.Endpoints = endpoints
	return err
}

func (f *Follower) callFollow(ctx context.Context, member string, request *pb.FollowRequest) (*pb.FollowReply, error) {
	conn, err := f.options.Dialer.Conn(ctx, member)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return pb.NewDRPCCoordinatorClient(conn).Follow(ctx, request)
}

func (f *Follower) newRequest() (*pb.FollowRequest, context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := followWait
	if f.revision == 0 {
		wait = minRetryDelay
	}
	return &pb.FollowRequest{
		DocumentVersion: f.download.latestKnown(), InForce: f.download.document.Version(), Revision: f.revision,
		Self: f.options.Self(), WaitMs: uint32(wait.Milliseconds()), AcceptsPacked: true,
	}, f.refreshCtx
}
