package membership

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Agent keeps this daemon's place in the fleet. It implements Source. Lock
// order: renewing before mu.
type Agent struct {
	client   Control
	part     logging.Part
	metrics  *metrics
	recorder timeline.Recorder
	now      func() time.Time
	kick     chan struct{} // asks for a renewal at once
	follower *follower     // used by the pulling goroutine alone

	renewing sync.Mutex // held during a renewal, so that none follows a leave

	mu         sync.Mutex
	self       fleet.Instance
	lease      lease
	state      *State
	changed    chan struct{}
	cancelPull context.CancelFunc
	wasCurrent bool
	joined     bool // a renewal was granted: others may know this instance
}

var _ Source = (*Agent)(nil)

// NewAgent makes an agent; nothing is current before Run.
func NewAgent(o Options) *Agent {
	now := o.Now
	if now == nil {
		now = time.Now
	}
	f := newFollower(o)
	return &Agent{
		client:   o.Client,
		part:     o.Part,
		metrics:  newMetrics(o.Registerer),
		recorder: o.Recorder,
		now:      now,
		kick:     make(chan struct{}, 1),
		follower: f,
		self:     o.Self,
		lease:    lease{length: defaultInstanceLease, settingsLease: defaultSettingsLease},
		state:    f.state,
		changed:  make(chan struct{}),
	}
}

// Run renews the lease and follows the state until ctx ends, which gives nil,
// or the process has lost its place for good, which gives ErrFenced.
func (a *Agent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.renewLoop(ctx) })
	group.Go(func() error { return a.pullLoop(ctx) })
	return group.Wait()
}

// State implements Source.
func (a *Agent) State() *State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Changed implements Source.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// Current implements Source.
//
// Failure guarded: a process frozen for longer than its lease wakes between
// reading the clock and asking. The agent reads its own clock too, so the
// later of both counts.
func (a *Agent) Current(now time.Time) bool {
	if own := a.now(); own.After(now) {
		now = own
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease.current(now)
}

// Self implements Source. It is draining when this daemon or an operator has
// said so.
func (a *Agent) Self() fleet.Instance {
	a.mu.Lock()
	defer a.mu.Unlock()
	self := a.self
	inView, ok := a.state.View.Instances[self.ID]
	if ok && inView.Incarnation == self.Incarnation {
		self.Draining = self.Draining || inView.Draining
	}
	return self
}

func (a *Agent) record(e timeline.Event) {
	if a.recorder != nil {
		a.recorder.Record(e)
	}
}
