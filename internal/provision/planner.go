package provision

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Input is what one Step plans by: a whole look at a region.
type Input struct {
	Engines []Engine
	Rows    []Row
}

// Change is what one endpoint is to become, by orders in their sequence.
type Change struct {
	Engine Engine // as it was seen
	Orders []schedule.PlanOrder
}

// Drains tells whether the endpoint must be idle first: it loses a model or
// its role.
func (c Change) Drains() bool {
	return slices.ContainsFunc(c.Orders, func(o schedule.PlanOrder) bool { return o.Kind != engineapi.OrderLoad })
}

func (c Change) loads() bool {
	return slices.ContainsFunc(c.Orders, func(o schedule.PlanOrder) bool { return o.Kind == engineapi.OrderLoad })
}

// Planner decides what a region's engines load and which role they take. It is
// pure; not safe for concurrent use.
type Planner struct {
	settings settings.Provision
	loads    int // at once
	plan     *schedule.ModelPlanner
	pending  map[fleet.EndpointID]*pending
}

// pending is a change under way, or one that has just ended and may not show
// in the endpoint's digest yet.
type pending struct {
	change Change
	ended  time.Time // zero: under way
}

// settle is how long the digest of an endpoint may lag behind an order's end.
const settle = 10 * time.Second

// pendingPrice puts engines that are being changed behind all others.
const pendingPrice = 1000

// NewPlanner makes a planner that has planned nothing. loads is how many loads
// may be under way at once, at least 1.
func NewPlanner(p settings.Provision, loads int) *Planner {
	return &Planner{
		settings: p,
		loads:    max(loads, 1),
		plan:     schedule.NewModelPlanner(schedule.PlanOptions{Hold: p.Hold, CoolDown: p.CoolDown, Interval: p.Poll}),
		pending:  map[fleet.EndpointID]*pending{},
	}
}

// Step gives the changes that are due. In mode act the caller carries them out
// and tells Finish.
//
// Failure: a load takes minutes; until its end the model still lacks an engine,
// and each look would order another load of it, until all idle engines hold the
// same model. The guard holds because engines count as what they are becoming
// from the order on.
func (p *Planner) Step(now time.Time, in Input) []Change {
	engines := p.becoming(now, in.Engines)
	if p.loading() >= p.loads {
		return nil
	}
	demands := demandsOf(in.Rows, engines, p.settings.PrefillRate)
	var changes []Change
	for _, c := range group(p.plan.Step(now, p.planEngines(engines), demands), in.Engines) {
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

// Finish tells that a change has ended.
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

// becoming gives the engines as they are once the changes under way are done.
func (p *Planner) becoming(now time.Time, engines []Engine) []Engine {
	out := make([]Engine, 0, len(engines))
	for _, e := range engines {
		q, ok := p.pending[e.Target.ID]
		if ok && !q.ended.IsZero() && now.Sub(q.ended) > settle {
			delete(p.pending, e.Target.ID)
			ok = false
		}
		if ok {
			for _, o := range q.change.Orders {
				e = e.after(o)
			}
		}
		out = append(out, e)
	}
	return out
}

func (p *Planner) loading() int {
	n := 0
	for _, q := range p.pending {
		if q.ended.IsZero() && q.change.loads() {
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
			continue // going away: it serves nobody soon, and gets no order
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
			row.Busy = pendingPrice
		}
		out = append(out, row)
	}
	return out
}

// group puts the orders of one endpoint together.
func group(orders []schedule.PlanOrder, engines []Engine) []Change {
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
