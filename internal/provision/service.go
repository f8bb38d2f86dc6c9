package provision

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/orders"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Service is an entry's provisioning component. It counts demand, answers
// planners, and plans if this entry is its region's planner.
//
// mu guards the fields below it and is not held during calls.
type Service struct {
	options        Options
	meter          *Meter
	home           *GatedHome
	server         *server
	poller         *poller
	executor       *executor
	metrics        *metrics
	lastChange     atomic.Uint64 // number of this process's last change
	operatorOrders *operatorOrders

	mu        sync.Mutex
	planner   *Planner
	rates     *Rates
	config    plannerConfig
	stability viewStability
	latest    Input // latest complete poll
}

// plannerConfig is the configuration of a planner. A changed configuration needs
// a new planner.
type plannerConfig struct {
	provision settings.Provision
	loads     int
}

// New returns a Service; Run starts it.
func New(o Options) *Service {
	o = o.withDefaults()
	gate := NewGate()
	meter := NewMeter(o.Follower, o.Source, gate)
	home := NewGatedHome(o.Home, gate)
	answers := &server{meter: meter, home: home}
	measured := newMetrics(o.Registerer)
	return &Service{
		options:        o,
		meter:          meter,
		home:           home,
		server:         answers,
		poller:         &poller{options: o, meter: meter, home: home, metrics: measured},
		metrics:        measured,
		operatorOrders: newOperatorOrders(),
		executor: &executor{options: o, home: answers, issuer: orders.NewIssuer(orders.Options{
			Control:   o.Control,
			Endpoints: o.Endpoints,
			Source:    o.Source,
			Part:      o.Part,
			Recorder:  o.Recorder,
		})},
	}
}

// Follower returns the follower that requests must use, so that they are counted.
func (s *Service) Follower() endpoint.Follower { return s.meter }

// Home returns the home that other daemons must use, so that endpoints can be
// drained.
func (s *Service) Home() pb.DRPCHomeServer { return s.home }

// Server returns the server that answers other daemons' planners.
func (s *Service) Server() pb.DRPCProvisionServer { return s.server }

// Run plans until ctx ends, whenever this entry is its region's planner. It
// returns nil.
func (s *Service) Run(ctx context.Context) error {
	var changes sync.WaitGroup
	defer changes.Wait()
	changes.Go(func() { _ = s.executor.issuer.Watch(ctx) }) // always nil
	for ctx.Err() == nil {
		p := s.provisionSettings()
		if p.Mode != settings.ProvisionOff && s.isPlanner() {
			s.planOnce(ctx, p, &changes)
		} else {
			s.reset()
		}
		s.waitForNextPoll(ctx)
	}
	return nil
}

// waitForNextPoll waits for the time of the next poll, which a change of the
// settings may move.
func (s *Service) waitForNextPoll(ctx context.Context) {
	began := s.options.Now()
	for ctx.Err() == nil {
		changed := s.options.Source.Changed()
		left := s.provisionSettings().Poll - s.options.Now().Sub(began)
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (s *Service) provisionSettings() settings.Provision {
	tree := s.options.Source.State().Tree
	if tree == nil || tree.Fleet.Provision.Mode == "" {
		off := settings.DefaultProvision()
		off.Mode = settings.ProvisionOff
		return off
	}
	return tree.Fleet.Provision
}

// isPlanner reports whether this entry's view makes it its region's planner.
func (s *Service) isPlanner() bool {
	state, self := s.options.Source.State(), s.options.Source.Self()
	if !s.options.Source.Current(s.options.Now()) {
		return false
	}
	planner, ok := PlannerOf(RegionOf(state.Tree, self.Zone), state.Tree, state.View)
	return ok && planner.Owner() == self.Owner()
}

func (s *Service) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner, s.rates, s.config = nil, nil, plannerConfig{}
}

// planOnce polls once, plans, and starts the changes that are due.
func (s *Service) planOnce(ctx context.Context, p settings.Provision, running *sync.WaitGroup) {
	state := s.options.Source.State()
	zones := zonesOf(state.Tree, RegionOf(state.Tree, s.options.Source.Self().Zone))
	demand, engines, err := s.poller.pollAll(ctx, state.View.Entries(zones))
	if err != nil {
		s.metrics.polls.WithLabelValues("partial").Inc()
		s.options.Part.Debug("Skipped planning: not all entries answered.", "err", err)
		return
	}
	s.metrics.polls.WithLabelValues("whole").Inc()
	engines = within(engines, zones)
	for _, c := range s.step(s.options.Now(), p, state.View.Number, demand, engines) {
		s.metrics.planned.Inc()
		id := s.nextID()
		if p.Mode != settings.ProvisionAct {
			s.executor.record("advised", id, c)
			continue
		}
		s.executor.record("planned", id, c)
		running.Go(func() { s.carryOut(ctx, id, c, p.Drain) })
	}
}

func within(engines []Engine, zones fleet.ZoneSet) []Engine {
	var out []Engine
	for _, e := range engines {
		if zones.Permits(e.Target.Zone) {
			out = append(out, e)
		}
	}
	return out
}

// step passes the latest poll to the planner and returns the changes that are due.
func (s *Service) step(now time.Time, p settings.Provision, view uint64, demand []*pb.DemandReply, engines []Engine) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	config := plannerConfig{provision: p, loads: s.options.Source.State().Tree.Fleet.WeightStore.ConcurrentLoads}
	if s.planner == nil || s.config != config {
		s.planner, s.rates, s.config = NewPlanner(p, config.loads), NewRates(p.Hold), config
	}
	s.rates.Add(now, demand)
	s.latest = Input{Engines: engines, Rows: s.rates.Rows()}
	if !s.stability.stableAt(now, view) {
		return nil
	}
	return s.planner.Step(now, s.latest)
}

func (s *Service) carryOut(ctx context.Context, id string, c Change, drain time.Duration) {
	result := s.executor.run(ctx, id, c, drain, s.stillAllowed)
	s.metrics.ended.WithLabelValues(string(result)).Inc()
	s.executor.record(string(result), id, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.planner != nil {
		s.planner.Finish(s.options.Now(), c.Engine.Target.ID, result == ResultDone)
	}
}

// stillAllowed reports whether a change may proceed by the latest poll. An entry
// that is no longer the planner issues no more orders.
func (s *Service) stillAllowed(c Change) bool {
	if !s.isPlanner() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var demands []schedule.PlanDemand
	if s.planner != nil {
		demands = demandsOf(s.latest.Rows, s.latest.Engines, s.planner.settings.PrefillRate)
	}
	return KeepsServed(c, s.latest.Engines, demands)
}

func (s *Service) nextID() string {
	self := s.options.Source.Self()
	return fmt.Sprintf("plan/%s/%d/%d", self.ID, self.Incarnation, s.lastChange.Add(1))
}
