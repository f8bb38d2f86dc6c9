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

// Service is an entry's part in provisioning: it counts, answers planners, and
// plans when it is its region's planner.
//
// mu guards planner, rates and newest; it is held during no call.
type Service struct {
	options Options
	meter   *Meter
	home    *GatedHome
	server  *server
	poller  *poller
	carrier *carrier
	metrics *metrics
	numbers atomic.Uint64 // of this process's changes
	jobs    *jobs

	mu      sync.Mutex
	planner *Planner
	rates   *Rates
	of      planFor
	settled settledView
	newest  Input
}

// planFor is what a planner was made for; another value needs a new one.
type planFor struct {
	provision settings.Provision
	loads     int
}

// New makes a Service; Run starts it.
func New(o Options) *Service {
	o = o.withDefaults()
	gate := NewGate()
	meter := NewMeter(o.Follower, o.Source, gate)
	home := NewGatedHome(o.Home, gate)
	answers := &server{meter: meter, home: home}
	measured := newMetrics(o.Registerer)
	return &Service{
		options: o,
		meter:   meter,
		home:    home,
		server:  answers,
		poller:  &poller{options: o, meter: meter, home: home, metrics: measured},
		metrics: measured,
		jobs:    newJobs(),
		carrier: &carrier{options: o, home: answers, issuer: orders.NewIssuer(orders.Options{
			Control:   o.Control,
			Endpoints: o.Endpoints,
			Source:    o.Source,
			Part:      o.Part,
			Recorder:  o.Recorder,
		})},
	}
}

// Follower is the follower that requests must use, so that they are counted.
func (s *Service) Follower() endpoint.Follower { return s.meter }

// Home is the home that other daemons must use, so that endpoints can be
// emptied.
func (s *Service) Home() pb.DRPCHomeServer { return s.home }

// Server answers the planners of other daemons.
func (s *Service) Server() pb.DRPCProvisionServer { return s.server }

// Run plans until ctx ends, whenever this entry is its region's planner.
func (s *Service) Run(ctx context.Context) error {
	var changes sync.WaitGroup
	defer changes.Wait()
	changes.Go(func() { _ = s.carrier.issuer.Watch(ctx) }) // it gives nil
	for ctx.Err() == nil {
		p := s.provision()
		if p.Mode != settings.ProvisionOff && s.plans() {
			s.round(ctx, p, &changes)
		} else {
			s.forget()
		}
		s.pause(ctx)
	}
	return nil
}

// pause waits for the time of the next look; a change of the settings may move
// it.
func (s *Service) pause(ctx context.Context) {
	began := s.options.Now()
	for ctx.Err() == nil {
		changed := s.options.Source.Changed()
		left := s.provision().Poll - s.options.Now().Sub(began)
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

func (s *Service) provision() settings.Provision {
	tree := s.options.Source.State().Tree
	if tree == nil || tree.Fleet.Provision.Mode == "" {
		off := settings.DefaultProvision()
		off.Mode = settings.ProvisionOff
		return off
	}
	return tree.Fleet.Provision
}

// plans tells whether this entry is its region's planner by its own view.
func (s *Service) plans() bool {
	state, self := s.options.Source.State(), s.options.Source.Self()
	if !s.options.Source.Current(s.options.Now()) {
		return false
	}
	planner, ok := PlannerOf(RegionOf(state.Tree, self.Zone), state.Tree, state.View)
	return ok && planner.Owner() == self.Owner()
}

func (s *Service) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner, s.rates, s.of = nil, nil, planFor{}
}

// round looks once, plans, and starts what is due.
func (s *Service) round(ctx context.Context, p settings.Provision, running *sync.WaitGroup) {
	state := s.options.Source.State()
	zones := zonesOf(state.Tree, RegionOf(state.Tree, s.options.Source.Self().Zone))
	demand, engines, err := s.poller.look(ctx, state.View.Entries(zones))
	if err != nil {
		s.metrics.polls.WithLabelValues("partial").Inc()
		s.options.Part.Debug("Not planned: not all entries answered.", "err", err)
		return
	}
	s.metrics.polls.WithLabelValues("whole").Inc()
	engines = within(engines, zones)
	for _, c := range s.step(s.options.Now(), p, state.View.Number, demand, engines) {
		s.metrics.planned.Inc()
		id := s.nextID()
		if p.Mode != settings.ProvisionAct {
			s.carrier.note("advised", id, c)
			continue
		}
		s.carrier.note("planned", id, c)
		running.Go(func() { s.carry(ctx, id, c, p.Drain) })
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

// step feeds the newest look to the planner.
func (s *Service) step(now time.Time, p settings.Provision, view uint64, demand []*pb.DemandReply, engines []Engine) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := planFor{provision: p, loads: s.options.Source.State().Tree.Fleet.WeightStore.ConcurrentLoads}
	if s.planner == nil || s.of != of {
		s.planner, s.rates, s.of = NewPlanner(p, of.loads), NewRates(p.Hold), of
	}
	s.rates.Add(now, demand)
	s.newest = Input{Engines: engines, Rows: s.rates.Rows()}
	if !s.settled.at(now, view) {
		return nil
	}
	return s.planner.Step(now, s.newest)
}

func (s *Service) carry(ctx context.Context, id string, c Change, drain time.Duration) {
	result := s.carrier.run(ctx, id, c, drain, s.stillSpared)
	s.metrics.ended.WithLabelValues(string(result)).Inc()
	s.carrier.note(string(result), id, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.planner != nil {
		s.planner.Finish(s.options.Now(), c.Engine.Target.ID, result == ResultDone)
	}
}

// stillSpared asks by the newest look whether a change may go on. An entry
// that has ceased to be planner gives no more orders.
func (s *Service) stillSpared(c Change) bool {
	if !s.plans() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var demands []schedule.PlanDemand
	if s.planner != nil {
		demands = demandsOf(s.newest.Rows, s.newest.Engines, s.planner.settings.PrefillRate)
	}
	return KeepsServed(c, s.newest.Engines, demands)
}

func (s *Service) nextID() string {
	self := s.options.Source.Self()
	return fmt.Sprintf("plan/%s/%d/%d", self.ID, self.Incarnation, s.numbers.Add(1))
}
