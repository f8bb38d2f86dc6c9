package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Home serves the endpoints whose home this daemon is, and executes the
// decisions of its core. It implements pb.DRPCHomeServer.
//
// Locks: mu guards core and state. Only the core and membership.Source are
// called with mu held; effects are executed after it is released.
type Home struct {
	options HomeOptions
	metrics *homeMetrics
	jobs    chan job
	crashes chan *pb.ReportCrash
	replies announceReplyCache

	mu    sync.Mutex
	core  *core
	state *membership.State // last one that core observed
}

// job is I/O that a step of the core has requested. A job that finds the queue
// full is dropped; the core requests it again.
type job func(ctx context.Context)

const (
	jobWorkers      = 4
	jobQueueSize    = 256
	crashQueueSize  = 256
	tickInterval    = 50 * time.Millisecond
	callTimeout     = time.Second
	probeTimeout    = 300 * time.Millisecond
	crashRetryPause = 500 * time.Millisecond
)

// NewHome returns a Home; Run does its periodic work.
func NewHome(o HomeOptions) *Home {
	limits := limitsFrom(o.Source.State().Tree)
	return &Home{
		options: o,
		metrics: newHomeMetrics(o.Registerer),
		jobs:    make(chan job, jobQueueSize),
		crashes: make(chan *pb.ReportCrash, crashQueueSize),
		core:    newCore(time.Now(), o.Source.Self().Owner(), limits, o.Seed),
	}
}

// Run executes ticks, jobs and crash reports until ctx ends.
func (h *Home) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range jobWorkers {
		workers.Go(func() { h.runJobs(ctx) })
	}
	workers.Go(func() { h.reportCrashes(ctx) })
	h.tickLoop(ctx)
	workers.Wait()
	return nil
}

func (h *Home) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := h.options.Source.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
		h.step(func(c *core, now time.Time) { c.tick(now) })
	}
}

// step runs f on the core with the daemon's current state, then executes the
// effects.
func (h *Home) step(f func(c *core, now time.Time)) {
	h.mu.Lock()
	now := time.Now()
	h.observe(now)
	f(h.core, now)
	out := h.core.takeEffects()
	for _, a := range out.responses {
		if a.to.responses != nil {
			a.to.responses <- a.response
		}
	}
	h.mu.Unlock()
	h.execute(out)
}

func (h *Home) observe(now time.Time) {
	state := h.options.Source.State()
	current := h.options.Source.Current(now)
	if state != h.state {
		h.core.limits = limitsFrom(state.Tree)
		h.core.viewHistory.limits = h.core.limits
		h.state = state
	}
	h.core.observe(now, state.View, current)
}

func (h *Home) execute(out effects) {
	for _, e := range out.events {
		if h.options.Recorder != nil {
			h.options.Recorder.Record(e)
		}
	}
	for _, c := range out.cancels {
		h.metrics.sweptHolds.Inc()
		h.options.Engine.Cancel(c.target, c.attempt)
	}
	for _, r := range out.crashes {
		h.queueCrash(r)
	}
	for _, t := range out.probes {
		h.enqueue(func(ctx context.Context) { h.probe(ctx, t) })
	}
	for _, t := range out.resyncs {
		h.enqueue(func(ctx context.Context) { h.resync(ctx, t) })
	}
	for _, m := range out.handovers {
		h.enqueue(func(ctx context.Context) { h.handOver(ctx, m) })
	}
	h.queryOwners(out.ownerQueries)
}

func (h *Home) enqueue(j job) {
	select {
	case h.jobs <- j:
	default:
		h.metrics.droppedJobs.Inc()
	}
}

func (h *Home) runJobs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-h.jobs:
			j(ctx)
		}
	}
}

// probe checks whether an endpoint is alive. If it answers under another
// incarnation, the one that was probed has died.
func (h *Home) probe(ctx context.Context, t engine.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := h.options.Engine.State(ctx, t)
	if err == nil && state.ID == t.ID && state.Incarnation == t.Incarnation {
		return
	}
	h.options.Part.Warn("Endpoint did not answer a probe.", "endpoint", t.ID, "incarnation", t.Incarnation, "err", err)
	h.step(func(c *core, now time.Time) { c.probeFailed(now, t.ID, t.Incarnation) })
}

func (h *Home) resync(ctx context.Context, t engine.Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := h.options.Engine.Cache(ctx, t)
	if err != nil {
		h.options.Part.Debug("Fetching a cache snapshot failed.", "endpoint", t.ID, "err", err)
		return
	}
	h.step(func(c *core, _ time.Time) { c.cacheSnapshot(t.ID, t.Incarnation, snapshot) })
}

func (h *Home) queueCrash(r *pb.ReportCrash) {
	h.metrics.crashes.Inc()
	select {
	case h.crashes <- r:
	default:
		h.options.Part.Error("Crash report dropped: too many wait.", "endpoint", r.EndpointId)
	}
}

func (h *Home) reportCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-h.crashes:
			h.reportCrash(ctx, r)
		}
	}
}

func (h *Home) reportCrash(ctx context.Context, r *pb.ReportCrash) {
	h.recordSuspects(r)
	if h.options.ReportCrash == nil {
		return
	}
	for ctx.Err() == nil {
		err := h.options.ReportCrash(ctx, r)
		if err == nil {
			return
		}
		h.options.Part.Warn("Sending a crash report failed; retrying.", "endpoint", r.EndpointId, "err", err)
		sleep.For(ctx, crashRetryPause)
	}
}

// recordSuspects records in the timeline which requests ran on a crashed
// endpoint.
func (h *Home) recordSuspects(r *pb.ReportCrash) {
	if h.options.Recorder == nil {
		return
	}
	for _, b := range r.Fingerprints {
		f, ok := fleet.FingerprintFromBytes(b)
		if !ok {
			continue
		}
		h.options.Recorder.Record(timeline.Event{
			Kind:     timeline.KindSuspect,
			Endpoint: fleet.EndpointID(r.EndpointId),
			Detail:   f.String(),
		})
	}
}

// queryOwners asks each owner once about all its holds of one sweep.
func (h *Home) queryOwners(queries []ownerQuery) {
	byOwner := make(map[fleet.Owner][]ownerQuery)
	for _, a := range queries {
		byOwner[a.owner] = append(byOwner[a.owner], a)
	}
	for owner, list := range byOwner {
		h.enqueue(func(ctx context.Context) { h.queryOwner(ctx, owner, list) })
	}
}

func (h *Home) queryOwner(ctx context.Context, owner fleet.Owner, list []ownerQuery) {
	request := &pb.DisownRequest{}
	for _, a := range list {
		request.Held = append(request.Held, a.held)
	}
	reply, err := h.callOwner(ctx, owner, request)
	if err != nil {
		h.options.Part.Debug("Asking an owner about its holds failed.", "owner", owner, "err", err)
		return
	}
	disowned := make(map[string]struct{}, len(reply.GetDisowned()))
	for _, id := range reply.GetDisowned() {
		disowned[id] = struct{}{}
	}
	h.step(func(c *core, now time.Time) {
		for _, a := range list {
			if _, yes := disowned[a.held.AttemptId]; yes {
				c.disowned(now, a.target.ID, owner, fleet.AttemptID(a.held.AttemptId))
			}
		}
	})
}

func (h *Home) callOwner(ctx context.Context, owner fleet.Owner, request *pb.DisownRequest) (*pb.DisownReply, error) {
	if owner == h.options.Source.Self().Owner() {
		return h.Disown(ctx, request)
	}
	instance := h.options.Source.State().View.Instances[owner.Instance]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := h.options.Dialer.Conn(ctx, instance.RPCAddress)
	if err != nil {
		return nil, err
	}
	return pb.NewDRPCHomeClient(conn).Disown(ctx, request)
}
