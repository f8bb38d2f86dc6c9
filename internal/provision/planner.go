package provision

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Input is the complete result of one poll of a region.
type Input struct {
	Engines []Engine
	Rows    []Row
}

// Change is a sequence of orders to one endpoint.
type Change struct {
	Engine Engine // its state when the change was planned
	Orders []schedule.PlanOrder
}

// Drains reports whether the endpoint must be idle first, because it loses a
// model or changes its role.
func (c Change) Drains() bool {
	return slices.ContainsFunc(c.Orders, func(o schedule.PlanOrder) bool { return o.Kind != engineapi.OrderLoad })
}

func (c Change) loadsModel() bool {
	return slices.ContainsFunc(c.Orders, func(o schedule.PlanOrder) bool { return o.Kind == engineapi.OrderLoad })
}

// Planner decides what a region's engines load and which role they take. It does
// no I/O and reads no clock. Not safe for concurrent use.
type Planner struct {
	settings settings.Provision
	maxLoads int // maximum concurrent loads
	plan     *schedule.ModelPlanner
	pending  map[fleet.EndpointID]*pending
}

// pending is a change in progress, or one that has just ended and may not show
// in the endpoint's digest yet.
type pending struct {
	change Change
	ended  time.Time // zero: in progress
}

// digestLag is how long an endpoint's digest may lag behind the end of an order.
const digestLag = 10 * time.Second

// pendingBusy ranks engines with a pending change behind all others.
const pendingBusy = 1000

// NewPlanner returns a planner without pending changes. loads is the maximum
// number of concurrent loads, at least 1.
func NewPlanner(p settings.Provision, loads int) *Planner {
	return &Planner{
		settings: p,
		maxLoads: max(loads, 1),
		plan:     schedule.NewModelPlanner(schedule.PlanOptions{Hold: p.Hold, CoolDown: p.CoolDown, Interval: p.Poll}),
		pending:  map[fleet.EndpointID]*pending{},
	}
}

// Step returns the changes that are due. In mode act the caller carries them out
// and calls Finish.
//
// It guards against this failure: a load takes minutes, and until it ends the
// model still lacks an engine, so each poll would order another load of it until
// all idle engines hold the same model. Therefore an engine counts as already
// changed from the time of its order.
func (p *Planner) Step(now time.Time, in Input) []Change {
	engines := p.withPending(now, in.Engines)
	if p.activeLoads() >= p.maxLoads {
		return nil
	}
	demands := demandsOf(in.Rows, engines, p.settings.PrefillRate)
	var changes []Change
	for _, c := range groupByEndpoint(p.plan.Step(now, p.planEngines(engines), demands), in.Engines) {
		if _, busy := p.pending[c.Engine.Target.ID]; busy || !KeepsServed(c, in.Engines, demands) {
			continue
		}
		changes = append(changes, c)
		if p.settings.Mode == settings.ProvisionAct {
			p.pending[c.Engine.Target.ID] = &pending{change: c}
		}
	}
	return changes
}

// Finish records the end of a change. A change that isn't done is no longer
// pending; a done one stays pending for digestLag.
func (p *Planner) Finish(now time.Time, id fleet.EndpointID, done bool) {
	q, ok := p.pending[id]
	if !ok {
		return
	}
	if !done {
		delete(p.pending, id)
		return
	}
	q.ended = now
}

// withPending returns the engines as they will be once the pending changes are
// done.
func (p *Planner) withPending(now time.Time, engines []Engine) []Engine {
	out := make([]Engine, 0, len(engines))
	for _, e := range engines {
		q, ok := p.pending[e.Target.ID]
		if ok && !q.ended.IsZero() && now.Sub(q.ended) > digestLag {
			delete(p.pending, e.Target.ID)
			ok = false
		}
		if ok {
			for _, o := range q.change.Orders {
				e = e.withOrder(o)
			}
		}
		out = append(out, e)
	}
	return out
}

func (p *Planner) activeLoads() int {
	n := 0
	for _, q := range p.pending {
		if q.ended.IsZero() && q.change.loadsModel() {
			n++
		}
	}
	return n
}

func (p *Planner) planEngines(engines []Engine) []schedule.PlanEngine {
	out := make([]schedule.PlanEngine, 0, len(engines))
	for _, e := range engines {
		_, busy := p.pending[e.Target.ID]
		if e.Leaving && !busy {
			continue // it will soon serve no requests and gets no orders
		}
		row := schedule.PlanEngine{
			ID:             e.Target.ID,
			Zone:           e.Target.Zone,
			Role:           e.Role,
			Models:         e.Models,
			Busy:           e.busy(),
			FreeModelSlots: p.settings.ModelsPerEngine - len(e.Models),
		}
		if busy {
			row.Busy = pendingBusy
		}
		out = append(out, row)
	}
	return out
}

// groupByEndpoint collects the orders of each endpoint into one change.
func groupByEndpoint(orders []schedule.PlanOrder, engines []Engine) []Change {
	var changes []Change
	for _, o := range orders {
		n := slices.IndexFunc(changes, func(c Change) bool { return c.Engine.Target.ID == o.Endpoint })
		if n >= 0 {
			changes[n].Orders = append(changes[n].Orders, o)
			continue
		}
		at := slices.IndexFunc(engines, func(e Engine) bool { return e.Target.ID == o.Endpoint })
		if at >= 0 {
			changes = append(changes, Change{Engine: engines[at], Orders: []schedule.PlanOrder{o}})
		}
	}
	return changes
}
