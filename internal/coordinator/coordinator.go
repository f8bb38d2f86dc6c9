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

// ErrUnavailable: no leader with a quorum was reached in time. What was asked
// may or may not come into force.
var ErrUnavailable = errors.New("no quorum of control instances answers")

// ErrContradiction: a heartbeat bears the ID and start of a live endpoint, and
// says what can't be true of it.
var ErrContradiction = errors.New("the heartbeat contradicts what its endpoint said before")

// Coordinator is one control instance.
type Coordinator struct {
	options  Options
	metrics  *metrics
	ready    chan struct{} // closed by isReady
	reports  *reports
	stages   *stages // used by the goroutine that leads alone
	versions *entryVersions
	models   modelEndpoints
	// refusals bounds the log lines on heartbeats that were refused.
	refusals *rate.Limiter

	mu           sync.Mutex
	heardHere    map[string]bool      // endpoints heard since the last report to the leader
	entriesHere  map[string]bool      // entries heard since then
	heard        map[string]time.Time // as leader: when each was heard
	leadingSince time.Time            // zero when not leading
	lastLook     time.Time            // as leader
	currentUntil time.Time
	confirmedAt  time.Duration // by Options.Uptime: until when all that was confirmed is known here; 0 before the first word
	started      time.Time
	isReady      bool            // ready is closed
	inTouch      bool            // as the log said last
	touched      chan struct{}   // closed and replaced when this member comes into touch
	reporting    map[string]bool // entries whose change is being committed
}

// New makes a Coordinator; Run makes it work.
func New(options Options) *Coordinator {
	c := &Coordinator{
		options:     options,
		versions:    newEntryVersions(),
		ready:       make(chan struct{}),
		refusals:    rate.NewLimiter(refusalLines, refusalBurst),
		heardHere:   map[string]bool{},
		entriesHere: map[string]bool{},
		heard:       map[string]time.Time{},
		reporting:   map[string]bool{},
		touched:     make(chan struct{}),
	}
	c.metrics = newMetrics(options.Metrics, c.entriesBehind)
	c.stages = newStages(c)
	c.reports = newReports(c.commitOnce)
	return c
}

// entriesBehind is for the metrics.
func (c *Coordinator) entriesBehind() float64 {
	return float64(c.versions.behind(c.options.Machine.InForce().Version(), time.Now()))
}

// Run works until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	c.mu.Lock()
	c.started = time.Now()
	c.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, joinInterval, c.keepMembership) })
	group.Go(func() error { return c.reportRegularly(ctx) })
	group.Go(func() error { return every(ctx, leaderInterval, c.lead) })
	group.Go(func() error { return c.reports.run(ctx) })
	return group.Wait()
}

func every(ctx context.Context, interval time.Duration, work func(context.Context)) error {
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

// Ready is closed once this member has been in touch with the leader of a group
// that takes commands. Before that it can answer nobody but its peers, and
// should not be listening for others: a refused connection costs it nothing,
// while each one that it takes keeps it from forming the group.
func (c *Coordinator) Ready() <-chan struct{} { return c.ready }

// current tells whether this member was in touch with a live leader lately.
func (c *Coordinator) current(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := now.Before(c.currentUntil)
	if current {
		c.metrics.current.Set(1)
	} else {
		c.metrics.current.Set(0)
	}
	return current
}

// client gives a client for the control instance at an address.
func (c *Coordinator) client(ctx context.Context, address string) (pb.DRPCCoordinatorClient, error) {
	conn, err := c.options.Dialer.Conn(ctx, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return pb.NewDRPCCoordinatorClient(conn), nil
}

// leaderAddress is where the leader takes calls, empty when it is not known.
func (c *Coordinator) leaderAddress() string {
	return c.options.Group.Status().Leader.GetRpcAddress()
}

// pause waits for a moment, or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	if !sleep.For(ctx, d) {
		return trace.Wrap(ErrUnavailable, "%v", ctx.Err())
	}
	return nil
}
