package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/relay"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// The intervals of a Follower.
const (
	// followWait is how long a member may hold a question without news.
	followWait = 500 * time.Millisecond
	// followTimeout is after how long a question is given up: a member that
	// was cut off is left within 0.9 s, and the other question goes on meanwhile.
	followTimeout = followWait + 400*time.Millisecond
	// firstTimeout is followTimeout while there is no picture at all: after all
	// instances lost power, members come back one after the other, and one that
	// is still dark must not keep the entry from asking one that is up. The
	// answer is due at once, as no wait is asked for.
	firstTimeout = 200 * time.Millisecond
	// turnPause is the wait before the next member is asked after a failure. It
	// grows by turnGrowth with each one, to longestTurn at most: hundreds of
	// entries that start with the fleet would else take all of the processor of
	// the few members they know, and the group would never be formed.
	turnPause   = 50 * time.Millisecond
	turnGrowth  = 1.15
	longestTurn = 500 * time.Millisecond
	// newsPause is the wait after news before the next question, for each entry
	// of the fleet, and at most longestNewsPause: while endpoints register by
	// the hundred, members would else answer each entry once for each of them.
	newsPause        = time.Millisecond
	longestNewsPause = 500 * time.Millisecond
	// ways is to how many members questions are open at a time.
	ways = 2
)

// Options tell a Follower what it works with.
type Options struct {
	Dialer rpc.Dialer
	Part   logging.Part
	// Seeds are the rpc addresses of control instances known at the start.
	Seeds []string
	// Decode reads a document as the operator sent it.
	Decode func(source []byte) (*routetable.Document, error)
	// Self tells what is said of this entry with each question.
	Self func() *pb.EntryRecord
	// Entries, when set, is told how many entries take callers.
	Entries func(n int)
}

// Follower keeps the picture.
type Follower struct {
	options Options
	view    atomic.Pointer[relay.View]
	turn    atomic.Uint64

	mu        sync.Mutex // guards the fields below
	members   []string
	document  int64
	table     *routetable.Table
	revision  uint64
	endpoints map[string]*pb.EndpointRecord
	asked     [ways]string // member that each way asks
	nudged    chan struct{}
}

// New makes a Follower; Run makes it work.
func New(options Options) *Follower {
	return &Follower{options: options, endpoints: map[string]*pb.EndpointRecord{}, members: options.Seeds, nudged: make(chan struct{})}
}

// View gives the newest picture; nil before the first.
func (f *Follower) View() *relay.View { return f.view.Load() }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for way := range ways {
		group.Go(func() error { return f.follow(ctx, way) })
	}
	return group.Wait()
}

// Nudge has the members asked anew at once, so that they learn what changed
// about this entry.
func (f *Follower) Nudge() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.nudged)
	f.nudged = make(chan struct{})
}

func (f *Follower) follow(ctx context.Context, way int) error {
	member := ""
	pause := turnPause
	for ctx.Err() == nil {
		if member == "" {
			member = f.next(way)
		}
		asking, transfer := rpc.WithTransfer(ctx)
		if err := f.ask(asking, way, member); err != nil && ctx.Err() == nil {
			f.options.Part.Info("Turns to another control instance.", "from", member,
				"took_ms", transfer.Took().Milliseconds(), "received_bytes", transfer.Received(), "err", err)
			member = ""
			sleep.For(ctx, pause)
			pause = min(time.Duration(turnGrowth*float64(pause)), longestTurn)
			continue
		}
		pause = turnPause
	}
	return nil
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

// ask puts one question to a member.
func (f *Follower) ask(ctx context.Context, way int, member string) error {
	request, nudged := f.request()
	timeout := followTimeout
	if request.Revision == 0 {
		timeout = firstTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	interrupted := atomic.Bool{}
	go func() {
		select {
		case <-nudged:
			interrupted.Store(true)
			cancel()
		case <-done:
		}
	}()
	reply, err := f.call(ctx, member, request)
	if err != nil {
		if interrupted.Load() {
			return nil
		}
		return err
	}
	if f.take(reply) && !reply.More {
		sleep.For(ctx, min(time.Duration(reply.Entries)*newsPause, longestNewsPause))
	}
	if !reply.Current {
		return trace.ConnectionProblem(nil, "the member is out of touch")
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

func (f *Follower) request() (*pb.FollowRequest, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := followWait
	if f.revision == 0 {
		wait = turnPause
	}
	return &pb.FollowRequest{
		DocumentVersion: f.document, Revision: f.revision,
		Self: f.options.Self(), WaitMs: uint32(wait.Milliseconds()),
	}, f.nudged
}

// take takes in an answer, and tells whether it held news.
func (f *Follower) take(reply *pb.FollowReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(reply.Members) > 0 {
		f.members = reply.Members
	}
	if f.options.Entries != nil && reply.Entries > 0 {
		f.options.Entries(int(reply.Entries))
	}
	changed := f.takeDocument(reply.Document)
	for _, e := range reply.Endpoints {
		if known := f.endpoints[e.Id]; known == nil || known.Revision < e.Revision {
			f.endpoints[e.Id] = e
			changed = true
			f.options.Part.Info("Endpoint changed.", "endpoint", e.Id, "service", e.Service, "address", e.Address,
				"state", e.State, "stage", e.Stage, "born", e.Born, "revision", e.Revision)
		}
	}
	// A member whose own log is behind may not take the revision back; what it
	// lacks would be asked for again, and what it holds is older.
	f.revision = max(f.revision, reply.Revision)
	if changed || f.view.Load() == nil {
		f.view.Store(f.build())
	}
	return changed
}

// takeDocument puts a newer document into force.
func (f *Follower) takeDocument(d *pb.ConfigDocument) bool {
	if d.GetVersion() <= f.document {
		return false
	}
	document, err := f.options.Decode(d.Source)
	if err != nil {
		// It was checked before it was committed.
		f.options.Part.Error("A committed configuration can't be read; the one before stays in force.", "version", d.Version, "err", err)
		return false
	}
	f.document = d.Version
	f.table = routetable.Compile(document)
	f.options.Part.Info("Configuration is in force.", "version", d.Version, "routes", len(document.Routes))
	return true
}

func (f *Follower) build() *relay.View {
	view := &relay.View{Table: f.table, Endpoints: map[string][]*dispatch.Endpoint{}}
	for _, e := range f.endpoints {
		if e.State == pb.EndpointState_ENDPOINT_STATE_READY && e.Assigned == pb.Stage_STAGE_UNSPECIFIED {
			view.Endpoints[e.Service] = append(view.Endpoints[e.Service], endpointOf(e))
		}
	}
	return view
}

func endpointOf(e *pb.EndpointRecord) *dispatch.Endpoint {
	endpoint := &dispatch.Endpoint{
		ID: e.Id, Born: e.Born, Service: e.Service, Address: e.Address, Zone: e.Zone, Slots: int(e.Slots),
	}
	switch e.Stage {
	case pb.Stage_STAGE_PREFILL:
		endpoint.Stage = dispatch.StagePrefill
	case pb.Stage_STAGE_DECODE:
		endpoint.Stage = dispatch.StageDecode
	}
	for _, m := range e.Models {
		endpoint.Models = append(endpoint.Models, m.Name)
	}
	return endpoint
}
