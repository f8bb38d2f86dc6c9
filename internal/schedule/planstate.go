package schedule

import (
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// The prices by which ModelPlan compares changes. The engine's busy share is
// added, so that of equal changes the idlest engine's is taken.
const (
	priceRole   = 1.0
	priceLoad   = 2.0
	priceUnload = 3.0
)

// planState is the fleet of one Step with supply and demand worked out.
type planState struct {
	engines []PlanEngine
	demands []PlanDemand
}

func newPlanState(engines []PlanEngine, demands []PlanDemand) planState {
	return planState{engines: engines, demands: demands}
}

// supply gives the engines that serve a demand. One that serves several
// divides itself by what they ask for.
func (s planState) supply(d PlanDemand) float64 {
	total := 0.0
	for n := range s.engines {
		total += s.part(&s.engines[n], d)
	}
	return total
}

func (s planState) part(e *PlanEngine, d PlanDemand) float64 {
	if !serves(e, d) {
		return 0
	}
	wanted := 0.0
	for _, other := range s.demands {
		if serves(e, other) {
			wanted += other.Engines
		}
	}
	if wanted <= 0 {
		return 1
	}
	return d.Engines / wanted
}

// spare tells whether e can be taken from all that it serves without leaving
// any of them with less than it asks for.
func (s planState) spare(e *PlanEngine, threshold float64) bool {
	for _, d := range s.demands {
		part := s.part(e, d)
		if part > 0 && s.supply(d)-part < d.Engines+threshold/2 {
			return false
		}
	}
	return true
}

// change gives the orders by which e would serve need, and their price.
func (s planState) change(e *PlanEngine, need PlanDemand, threshold float64) ([]PlanOrder, float64, bool) {
	if serves(e, need) {
		return nil, 0, false
	}
	var orders []PlanOrder
	price := e.Busy
	loaded := slices.Contains(e.Models, need.Model)
	if !loaded && e.Room <= 0 {
		victim, ok := s.leastWanted(e)
		if !ok || !s.spare(e, threshold) {
			return nil, 0, false
		}
		orders = append(orders, PlanOrder{Endpoint: e.ID, Kind: engineapi.OrderUnload, Model: victim})
		price += priceUnload
	}
	if !e.Role.Takes(need.Kind) {
		if !s.spare(e, threshold) {
			return nil, 0, false
		}
		orders = append(orders, PlanOrder{Endpoint: e.ID, Kind: engineapi.OrderChangeRole, Role: need.Kind})
		price += priceRole
	}
	if !loaded {
		orders = append(orders, PlanOrder{Endpoint: e.ID, Kind: engineapi.OrderLoad, Model: need.Model})
		price += priceLoad
	}
	return orders, price, true
}

func (s planState) leastWanted(e *PlanEngine) (engineapi.ModelRef, bool) {
	var least engineapi.ModelRef
	lowest, found := 0.0, false
	for _, m := range e.Models {
		wanted := 0.0
		for _, d := range s.demands {
			if d.Model == m {
				wanted += d.Engines
			}
		}
		if !found || wanted < lowest {
			least, lowest, found = m, wanted, true
		}
	}
	return least, found
}

func serves(e *PlanEngine, d PlanDemand) bool {
	return e.Role.Takes(d.Kind) && d.Permitted.Permits(e.Zone) && slices.Contains(e.Models, d.Model)
}
