package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// PlanOptions sets the damping of ModelPlanner. Zero fields get defaults.
type PlanOptions struct {
	Hold      time.Duration // a shortage must last this long before an order, default 5s
	CoolDown  time.Duration // minimum time between two orders to an engine, default 60s
	Interval  time.Duration // minimum time between two orders in the fleet, default 2s
	Threshold float64       // minimum shortage in engines, default 0.6
	MaxOrders int           // orders per Step, default 1; the orders of one engine aren't split
}

func (o PlanOptions) withDefaults() PlanOptions {
	o.Hold = cmp.Or(o.Hold, 5*time.Second)
	o.CoolDown = cmp.Or(o.CoolDown, time.Minute)
	o.Interval = cmp.Or(o.Interval, 2*time.Second)
	o.Threshold = cmp.Or(o.Threshold, 0.6)
	o.MaxOrders = cmp.Or(o.MaxOrders, 1)
	return o
}

// PlanEngine is the planner's view of an engine.
type PlanEngine struct {
	ID             fleet.EndpointID
	Zone           fleet.AvailabilityZone
	Role           fleet.EndpointRole
	Models         []engineapi.ModelRef
	Busy           float64 // fraction of its time or slots in use, 0 to 1
	FreeModelSlots int     // models that it can hold besides those loaded
}

// PlanDemand is the work requested of one model in a set of zones, measured in
// engines: 2.5 keeps two and a half engines busy.
type PlanDemand struct {
	Model     engineapi.ModelRef
	Kind      fleet.EndpointRole // RolePrefill or RoleDecode
	Permitted fleet.ZoneSet
	Engines   float64
}

// PlanOrder is one order that the planner wants issued. A swap of models is two
// orders, the unload first.
type PlanOrder struct {
	Endpoint fleet.EndpointID
	Kind     engineapi.OrderKind
	Model    engineapi.ModelRef
	Role     fleet.EndpointRole
}

// ModelPlanner decides which engines load which models and take which role. An
// order costs a load of weights, and demand changes faster than a load takes, so
// orders are damped in three ways: a shortage must exceed the threshold for some
// time, an engine has a cooldown after an order, and the rate of orders is
// bounded. It reads no clock and is not safe for concurrent use.
type ModelPlanner struct {
	options       PlanOptions
	shortSince    map[demandKey]time.Time
	cooldownUntil map[fleet.EndpointID]time.Time
	lastOrder     time.Time
}

type demandKey struct {
	model     engineapi.ModelRef
	kind      fleet.EndpointRole
	zoneClass string
}

// NewModelPlanner returns a planner that has issued no orders.
func NewModelPlanner(options PlanOptions) *ModelPlanner {
	return &ModelPlanner{
		options:       options.withDefaults(),
		shortSince:    map[demandKey]time.Time{},
		cooldownUntil: map[fleet.EndpointID]time.Time{},
	}
}

// Step returns the orders that are due. The caller issues them and calls Step
// again with the engines' new state, so a lost order is planned again after the
// engine's cooldown.
func (p *ModelPlanner) Step(now time.Time, engines []PlanEngine, demands []PlanDemand) []PlanOrder {
	p.prune(now, demands)
	state := newPlanState(engines, demands)
	sustained := p.sustained(now, state)
	if !p.lastOrder.IsZero() && now.Sub(p.lastOrder) < p.options.Interval {
		return nil
	}
	var orders []PlanOrder
	for _, need := range sustained {
		if len(orders) >= p.options.MaxOrders {
			break
		}
		engine, change := p.cheapestChange(now, state, need)
		if engine == nil {
			continue
		}
		orders = append(orders, change...)
		p.cooldownUntil[engine.ID] = now.Add(p.options.CoolDown)
		p.lastOrder = now
	}
	return orders
}

// sustained returns the demands, largest shortage first, whose shortage has
// exceeded the threshold for PlanOptions.Hold.
func (p *ModelPlanner) sustained(now time.Time, s planState) []PlanDemand {
	var out []PlanDemand
	shortages := map[demandKey]float64{}
	for _, d := range s.demands {
		key := keyOf(d)
		shortage := d.Engines - s.supply(d)
		if shortage < p.options.Threshold {
			delete(p.shortSince, key)
			continue
		}
		shortages[key] = shortage
		if _, ok := p.shortSince[key]; !ok {
			p.shortSince[key] = now
		}
		if now.Sub(p.shortSince[key]) >= p.options.Hold {
			out = append(out, d)
		}
	}
	slices.SortStableFunc(out, func(a, b PlanDemand) int {
		return cmp.Compare(shortages[keyOf(b)], shortages[keyOf(a)])
	})
	return out
}

// cheapestChange returns the engine whose change costs least and the orders for
// it. Cheapest is an engine that has the model and another role, then one that
// can hold one more model, then one whose loaded models are least in demand. An
// engine is not taken from demands that need it.
func (p *ModelPlanner) cheapestChange(now time.Time, s planState, need PlanDemand) (*PlanEngine, []PlanOrder) {
	var best *PlanEngine
	var orders []PlanOrder
	cost := math.Inf(1)
	for n := range s.engines {
		e := &s.engines[n]
		if !need.Permitted.Permits(e.Zone) || now.Before(p.cooldownUntil[e.ID]) || e.Role == fleet.RolePlain {
			continue
		}
		change, changeCost, ok := s.changeFor(e, need, p.options.Threshold)
		if ok && changeCost < cost {
			best, orders, cost = e, change, changeCost
		}
	}
	return best, orders
}

// prune removes expired cooldowns and the shortages of demands that no longer
// exist.
func (p *ModelPlanner) prune(now time.Time, demands []PlanDemand) {
	for id, until := range p.cooldownUntil {
		if !now.Before(until) {
			delete(p.cooldownUntil, id)
		}
	}
	for key := range p.shortSince {
		if !slices.ContainsFunc(demands, func(d PlanDemand) bool { return keyOf(d) == key }) {
			delete(p.shortSince, key)
		}
	}
}

func keyOf(d PlanDemand) demandKey {
	return demandKey{model: d.Model, kind: d.Kind, zoneClass: d.Permitted.Class()}
}
