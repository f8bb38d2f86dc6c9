package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// PlanOptions damps ModelPlan. Zero fields get defaults.
type PlanOptions struct {
	Hold      time.Duration // a need must last so long before an order, default 5s
	CoolDown  time.Duration // an engine gets no second order for so long, default 60s
	Interval  time.Duration // between two orders in the fleet, default 2s
	Threshold float64       // share of an engine by which need must exceed supply, default 0.6
	MaxOrders int           // orders of one Step, default 1
}

func (o PlanOptions) withDefaults() PlanOptions {
	o.Hold = cmp.Or(o.Hold, 5*time.Second)
	o.CoolDown = cmp.Or(o.CoolDown, time.Minute)
	o.Interval = cmp.Or(o.Interval, 2*time.Second)
	o.Threshold = cmp.Or(o.Threshold, 0.6)
	o.MaxOrders = cmp.Or(o.MaxOrders, 1)
	return o
}

// PlanEngine is an engine as the planner sees it.
type PlanEngine struct {
	ID     fleet.EndpointID
	Zone   fleet.AvailabilityZone
	Role   fleet.EndpointRole
	Models []engineapi.ModelRef
	Busy   float64 // share of its time or slots in use, 0 to 1
	Room   int     // models that it can hold besides those loaded
}

// PlanDemand is the work wanted of one model in a set of zones, in engines:
// 2.5 keeps two and a half engines busy.
type PlanDemand struct {
	Model     engineapi.ModelRef
	Kind      fleet.EndpointRole // RolePrefill or RoleDecode
	Permitted fleet.ZoneSet
	Engines   float64
}

// PlanOrder is one order that the planner wants given. Unload and Load of a
// swap come as two, the Unload first.
type PlanOrder struct {
	Endpoint fleet.EndpointID
	Kind     engineapi.OrderKind
	Model    engineapi.ModelRef
	Role     fleet.EndpointRole
}

// ModelPlan decides which engines load which models and take which role. It is
// damped three ways, since an order costs a load of weights and the demand
// swings faster than a load takes: a need must exceed the threshold for a
// while, an engine rests after an order, and orders have a bounded rate. Pure;
// not safe for concurrent use.
type ModelPlan struct {
	options PlanOptions
	since   map[planNeed]time.Time
	rest    map[fleet.EndpointID]time.Time
	last    time.Time
}

type planNeed struct {
	model engineapi.ModelRef
	kind  fleet.EndpointRole
	class string
}

// NewModelPlan makes a planner that has ordered nothing.
func NewModelPlan(options PlanOptions) *ModelPlan {
	return &ModelPlan{
		options: options.withDefaults(),
		since:   map[planNeed]time.Time{},
		rest:    map[fleet.EndpointID]time.Time{},
	}
}

// Step gives the orders that are due. The caller gives them and calls Step
// again with the engines as they then are; a lost order is thus asked for anew
// once the engine has rested.
func (p *ModelPlan) Step(now time.Time, engines []PlanEngine, demands []PlanDemand) []PlanOrder {
	p.forget(now, demands)
	state := newPlanState(engines, demands)
	lasting := p.lasting(now, state)
	if !p.last.IsZero() && now.Sub(p.last) < p.options.Interval {
		return nil
	}
	var orders []PlanOrder
	for _, need := range lasting {
		if len(orders) >= p.options.MaxOrders {
			break
		}
		engine, change := p.cheapest(now, state, need)
		if engine == nil {
			continue
		}
		orders = append(orders, change...)
		p.rest[engine.ID] = now.Add(p.options.CoolDown)
		p.last = now
	}
	return orders
}

// lasting gives the demands, largest lack first, that have lacked more than
// the threshold for Hold.
func (p *ModelPlan) lasting(now time.Time, s planState) []PlanDemand {
	var out []PlanDemand
	lacks := map[planNeed]float64{}
	for _, d := range s.demands {
		key := needOf(d)
		lack := d.Engines - s.supply(d)
		if lack < p.options.Threshold {
			delete(p.since, key)
			continue
		}
		lacks[key] = lack
		if _, ok := p.since[key]; !ok {
			p.since[key] = now
		}
		if now.Sub(p.since[key]) >= p.options.Hold {
			out = append(out, d)
		}
	}
	slices.SortStableFunc(out, func(a, b PlanDemand) int {
		return cmp.Compare(lacks[needOf(b)], lacks[needOf(a)])
	})
	return out
}

// cheapest finds the engine whose change costs least: one with the model and
// the other role, then one with room, then one whose models are wanted least.
// An engine that its own models need is left alone.
func (p *ModelPlan) cheapest(now time.Time, s planState, need PlanDemand) (*PlanEngine, []PlanOrder) {
	var best *PlanEngine
	var orders []PlanOrder
	cost := math.Inf(1)
	for n := range s.engines {
		e := &s.engines[n]
		if !need.Permitted.Permits(e.Zone) || now.Before(p.rest[e.ID]) || e.Role == fleet.RolePlain {
			continue
		}
		change, price, ok := s.change(e, need, p.options.Threshold)
		if ok && price < cost {
			best, orders, cost = e, change, price
		}
	}
	return best, orders
}

// forget drops what is kept of engines and needs that are no more.
func (p *ModelPlan) forget(now time.Time, demands []PlanDemand) {
	for id, until := range p.rest {
		if !now.Before(until) {
			delete(p.rest, id)
		}
	}
	for key := range p.since {
		if !slices.ContainsFunc(demands, func(d PlanDemand) bool { return needOf(d) == key }) {
			delete(p.since, key)
		}
	}
}

func needOf(d PlanDemand) planNeed {
	return planNeed{model: d.Model, kind: d.Kind, class: d.Permitted.Class()}
}
