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

// Agent maintains this daemon's membership in the fleet. It implements Source
// and is safe for concurrent use. Lock order: renewalMu before mu.
type Agent struct {
	client   Control
	part     logging.Part
	metrics  *metrics
	recorder timeline.Recorder
	now      func() time.Time
	renewNow chan struct{} // triggers a renewal at once
	follower *follower     // used only by the goroutine of pullLoop

	renewalMu sync.Mutex // held during a renewal, so that none happens after Leave

	mu         sync.Mutex
	self       fleet.Instance
	lease      lease
	state      *State
	changed    chan struct{}
	cancelPull context.CancelFunc
	wasCurrent bool
	joined     bool // a renewal was granted, so other instances may know this one
}

var _ Source = (*Agent)(nil)

// NewAgent returns an agent, which is not current before Run.
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
		renewNow: make(chan struct{}, 1),
		follower: f,
		self:     o.Self,
		lease:    lease{duration: defaultInstanceLease, settingsLease: defaultSettingsLease},
		state:    f.state,
		changed:  make(chan struct{}),
	}
}

// Run renews the lease and follows the state. It returns nil when ctx ends, and
// ErrFenced when the process has lost its membership permanently.
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

// Current implements Source. It uses the later of now and the agent's own clock,
// since the process may have been frozen for longer than its lease after the
// caller read the clock.
func (a *Agent) Current(now time.Time) bool {
	if own := a.now(); own.After(now) {
		now = own
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease.current(now)
}

// Self implements Source. The instance is draining if this daemon or an operator
// has requested it.
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
