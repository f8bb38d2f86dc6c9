package schedule

import (
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// Relative costs by which ModelPlanner compares changes. The engine's busy
// fraction is added, so that among equal changes the idlest engine is chosen.
const (
	costChangeRole = 1.0
	costLoad       = 2.0
	costUnload     = 3.0
)

// planState holds the engines and demands of one Step.
type planState struct {
	engines []PlanEngine
	demands []PlanDemand
}

func newPlanState(engines []PlanEngine, demands []PlanDemand) planState {
	return planState{engines: engines, demands: demands}
}

// supply returns how many engines serve a demand. An engine that serves several
// demands is divided among them in proportion to the engines they request.
func (s planState) supply(d PlanDemand) float64 {
	total := 0.0
	for n := range s.engines {
		total += s.share(&s.engines[n], d)
	}
	return total
}

func (s planState) share(e *PlanEngine, d PlanDemand) float64 {
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

// canSpare reports whether e can be taken from all the demands that it serves
// without leaving any of them less than it requests plus half the threshold.
func (s planState) canSpare(e *PlanEngine, threshold float64) bool {
	for _, d := range s.demands {
		share := s.share(e, d)
		if share > 0 && s.supply(d)-share < d.Engines+threshold/2 {
			return false
		}
	}
	return true
}

// changeFor returns the orders that make e serve need, and their cost. ok is
// false if e already serves it or is needed by others.
func (s planState) changeFor(e *PlanEngine, need PlanDemand, threshold float64) (orders []PlanOrder, cost float64, ok bool) {
	if serves(e, need) {
		return nil, 0, false
	}
	cost = e.Busy
	loaded := slices.Contains(e.Models, need.Model)
	if !loaded && e.FreeModelSlots <= 0 {
		unneeded, found := s.leastDemanded(e)
		if !found || !s.canSpare(e, threshold) {
			return nil, 0, false
		}
		orders = append(orders, PlanOrder{Endpoint: e.ID, Kind: engineapi.OrderUnload, Model: unneeded})
		cost += costUnload
	}
	if !e.Role.Takes(need.Kind) {
		if !s.canSpare(e, threshold) {
			return nil, 0, false
		}
		orders = append(orders, PlanOrder{Endpoint: e.ID, Kind: engineapi.OrderChangeRole, Role: need.Kind})
		cost += costChangeRole
	}
	if !loaded {
		orders = append(orders, PlanOrder{Endpoint: e.ID, Kind: engineapi.OrderLoad, Model: need.Model})
		cost += costLoad
	}
	return orders, cost, true
}

func (s planState) leastDemanded(e *PlanEngine) (engineapi.ModelRef, bool) {
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
