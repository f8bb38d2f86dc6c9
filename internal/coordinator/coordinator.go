package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// ErrUnavailable reports that no leader with a quorum was reached in time. The requested
// change may or may not come into force.
var ErrUnavailable = errors.New("no quorum of control instances answers")

// ErrConflictingHeartbeat reports a heartbeat that has the ID and start time of a live endpoint
// and contradicts its record.
var ErrConflictingHeartbeat = errors.New("the heartbeat contradicts what its endpoint said before")

// Coordinator is one control instance.
type Coordinator struct {
	options   Options
	metrics   *metrics
	ready     chan struct{} // closed when isReady is set
	reports   *reportQueue
	stages    *stageManager // used only by the goroutine that runs runLeaderTasks
	versions  *entryVersions
	models    modelEndpoints
	software  softwareHistory
	addresses addressBook
	parts     packedParts
	// refusalLog limits the log lines about refused heartbeats.
	refusalLog *rate.Limiter

	mu            sync.Mutex
	endpointsSeen map[string]bool      // endpoints seen since the last report to the leader
	entriesSeen   map[string]bool      // entries seen since then
	lastSeen      map[string]time.Time // as leader: when each endpoint and entry was last seen
	leadingSince  time.Time            // zero when not leading
	lastLeaderRun time.Time            // as leader: when runLeaderTasks last looked for expired records
	contactUntil  time.Time
	// confirmedUptime is until when, by Options.Uptime, confirmed documents are known here; 0
	// before the leader's first reply.
	confirmedUptime time.Duration
	started         time.Time
	isReady         bool            // ready is closed
	inContact       bool            // as last logged
	contactRegained chan struct{}   // closed and replaced when contact with the leader is regained
	inProgress      map[string]bool // IDs with a background task, see beginTask
}

// New creates a Coordinator; call Run to start it.
func New(options Options) *Coordinator {
	c := &Coordinator{
		options:         options,
		versions:        newEntryVersions(),
		ready:           make(chan struct{}),
		refusalLog:      rate.NewLimiter(refusalLogsPerSecond, refusalLogBurst),
		endpointsSeen:   map[string]bool{},
		entriesSeen:     map[string]bool{},
		lastSeen:        map[string]time.Time{},
		inProgress:      map[string]bool{},
		contactRegained: make(chan struct{}),
	}
	c.metrics = newMetrics(options.Metrics, c.entriesBehind)
	c.stages = newStageManager(c)
	c.reports = newReportQueue(c.commitOnce)
	return c
}

// entriesBehind returns the number of entries with an outdated configuration, for the
// metrics.
func (c *Coordinator) entriesBehind() float64 {
	return float64(c.versions.behind(c.options.Machine.CurrentDocument().Version(), time.Now()))
}

// Run runs the control instance until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	c.mu.Lock()
	c.started = time.Now()
	c.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runEvery(ctx, joinInterval, c.keepMembership) })
	group.Go(func() error { return c.runSeenReports(ctx) })
	group.Go(func() error { return runEvery(ctx, leaderRunInterval, c.runLeaderTasks) })
	group.Go(func() error { return c.reports.run(ctx) })
	group.Go(func() error {
		return runEvery(ctx, softwareReadInterval, func(context.Context) { c.updateSoftware() })
	})
	return group.Wait()
}

func runEvery(ctx context.Context, interval time.Duration, work func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Ready returns a channel that is closed once this member has been in contact with the
// leader of a group that accepts commands. Before that it can serve its peers only and
// should not listen for others: a refused connection costs nothing, while accepted ones
// slow down the forming of the group.
func (c *Coordinator) Ready() <-chan struct{} { return c.ready }

// current reports whether this member had contact with the leader within contactValidity.
func (c *Coordinator) current(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := now.Before(c.contactUntil)
	if current {
		c.metrics.current.Set(1)
	} else {
		c.metrics.current.Set(0)
	}
	return current
}

// client returns a client for the control instance at an address.
func (c *Coordinator) client(ctx context.Context, address string) (pb.DRPCCoordinatorClient, error) {
	conn, err := c.options.Dialer.Conn(ctx, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return pb.NewDRPCCoordinatorClient(conn), nil
}

// leaderAddress returns the leader's RPC address, or "" if no leader is known.
func (c *Coordinator) leaderAddress() string {
	return c.options.Group.Status().Leader.GetRpcAddress()
}

// waitFor waits for d; it returns ErrUnavailable if ctx ends first.
func waitFor(ctx context.Context, d time.Duration) error {
	if !sleep.For(ctx, d) {
		return trace.Wrap(ErrUnavailable, "%v", ctx.Err())
	}
	return nil
}
