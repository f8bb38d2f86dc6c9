package provision

import (
	"github.com/hyssopsail/hyssopsail/internal/schedule"
)

// KeepsServed tells whether, once c is done, every demand that its engine
// serves now is still served by it or by another engine that takes new work.
//
// Failure: between the plan and the order, a model's other engine dies; the
// order then takes the last one, and the teams that ask for the model are
// refused for as long as a load takes. It is asked when the change is planned
// and again, with the newest look, when the engine is idle and the order about
// to go.
func KeepsServed(c Change, engines []Engine, demands []schedule.PlanDemand) bool {
	after := c.Engine
	for _, o := range c.Orders {
		after = after.after(o)
	}
	for _, d := range demands {
		k := Key{Model: d.Model, Kind: d.Kind, Class: d.Permitted.Class()}
		if c.Engine.serves(k) && !after.serves(k) && !servedByOther(k, c.Engine, engines) {
			return false
		}
	}
	return true
}

func servedByOther(k Key, not Engine, engines []Engine) bool {
	for _, e := range engines {
		if e.Target.ID != not.Target.ID && !e.Leaving && e.serves(k) {
			return true
		}
	}
	return false
}
