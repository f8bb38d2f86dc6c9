package follower

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/relay"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// errOutOfTouch: a member answered, and knows no leader.
var errOutOfTouch = errors.New("the member is out of touch")

// Follower keeps the picture.
type Follower struct {
	options Options
	metrics *metrics
	view    atomic.Pointer[relay.View]
	turn    atomic.Uint64
	began   time.Time
	// behind is when a version was told that is not in force yet, after began; 0
	// when the newest is.
	behind atomic.Int64

	mu        sync.Mutex // guards the fields below
	members   []string
	download  download
	tellers   []string             // members that told of the version on its way
	decoded   *routetable.Document // in force, nil before the first
	table     *routetable.Table    // of decoded
	words     confirmations        // of table, and of those on their way
	revision  uint64
	endpoints map[string]*pb.EndpointRecord
	asked     [ways]string    // member that each way asks
	nudged    context.Context // ends when members are to be asked anew
	nudge     context.CancelFunc
	filling   filling
	woken     chan struct{} // closed and replaced when there may be blocks to ask for
}

// New makes a Follower; Run makes it work.
func New(options Options) *Follower {
	nudged, nudge := context.WithCancel(context.Background())
	return &Follower{
		options: options, metrics: newMetrics(options.Metrics), began: time.Now(),
		members: options.Seeds, endpoints: map[string]*pb.EndpointRecord{},
		download: download{asked: map[blocks.Sum]bool{}},
		nudged:   nudged, nudge: nudge, filling: newFilling(), woken: make(chan struct{}),
	}
}

// View gives the newest picture; nil before the first.
func (f *Follower) View() *relay.View { return f.view.Load() }

// Behind tells for how long a newer configuration than that of View has been
// known, 0 while there is none.
func (f *Follower) Behind() time.Duration {
	since := f.behind.Load()
	if since == 0 {
		return 0
	}
	return max(0, time.Since(f.began)-time.Duration(since))
}

// Members gives the addresses of the control instances that are known.
func (f *Follower) Members() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for way := range ways {
		group.Go(func() error { return f.follow(ctx, way) })
		group.Go(func() error { return f.fetch(ctx, way) })
	}
	return group.Wait()
}

// Nudge has the members asked anew at once, so that they learn what changed
// about this entry.
func (f *Follower) Nudge() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nudge()
	f.nudged, f.nudge = context.WithCancel(context.Background())
}

func (f *Follower) follow(ctx context.Context, way int) error {
	member := ""
	pause := turnPause
	for ctx.Err() == nil {
		f.awaitFilling(ctx, way)
		if member == "" {
			member = f.next(way)
		}
		if err := f.ask(ctx, way, member); err != nil && ctx.Err() == nil {
			member = ""
			sleep.For(ctx, pause)
			pause = longer(pause)
			continue
		}
		pause = turnPause
	}
	return nil
}

// longer gives the pause after one that was followed by another failure.
func longer(pause time.Duration) time.Duration {
	return min(time.Duration(turnGrowth*float64(pause)), longestTurn)
}

// next gives a member that the other way doesn't ask, in turn.
func (f *Follower) next(way int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.members {
		member := f.members[f.turn.Add(1)%uint64(len(f.members))]
		if !f.askedByOther(way, member) || len(f.members) < ways {
			f.asked[way] = member
			return member
		}
	}
	return f.members[0]
}

func (f *Follower) askedByOther(way int, member string) bool {
	for other, asked := range f.asked {
		if other != way && asked == member {
			return true
		}
	}
	return false
}

// ask puts one question of a way to a member.
func (f *Follower) ask(ctx context.Context, way int, member string) error {
	request, nudged := f.request()
	if f.options.Crashes != nil {
		request.Crashes = f.options.Crashes.Mark(member)
	}
	asked := f.options.Uptime()
	silence := followSilence
	if request.Revision == 0 {
		silence = firstSilence
	}
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(nudged, cancel)()
	watched, transfer := rpc.WithTransfer(asking, silence)
	reply, err := f.call(watched, member, request)
	if err = transfer.End(watched, err); err != nil {
		f.endFilling(way)
		if nudged.Err() != nil {
			return nil
		}
		f.options.Part.Info("Turns to another control instance.", "from", member,
			"took_ms", transfer.Took().Milliseconds(), "received_bytes", transfer.Received(), "err", err)
		return err
	}
	f.confirm(asked, request, reply)
	if f.options.Crashes != nil {
		f.options.Crashes.Take(member, reply.Crashes)
	}
	if f.take(way, member, reply) && !reply.More {
		sleep.For(ctx, min(time.Duration(reply.Entries)*newsPause, longestNewsPause))
	}
	if !reply.Current {
		f.endFilling(way)
		f.options.Part.Info("Turns to another control instance, this one is out of touch.", "from", member)
		return errOutOfTouch
	}
	return nil
}

func (f *Follower) call(ctx context.Context, member string, request *pb.FollowRequest) (*pb.FollowReply, error) {
	conn, err := f.options.Dialer.Conn(ctx, member)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return pb.NewDRPCCoordinatorClient(conn).Follow(ctx, request)
}

func (f *Follower) request() (*pb.FollowRequest, context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := followWait
	if f.revision == 0 {
		wait = turnPause
	}
	return &pb.FollowRequest{
		DocumentVersion: f.download.known(), InForce: f.download.document.Version(), Revision: f.revision,
		Self: f.options.Self(), WaitMs: uint32(wait.Milliseconds()),
	}, f.nudged
}
