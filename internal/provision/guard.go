package provision

import (
	"github.com/hyssopsail/hyssopsail/internal/schedule"
)

// KeepsServed reports whether, once c is done, every demand that its engine
// serves now is still served by it or by another engine that accepts new work.
//
// It guards against this failure: between the plan and the order, the model's
// other engine crashes. The order would then take the last one, and requests for
// the model would be refused for as long as a load takes. It is checked when the
// change is planned, and again with the latest poll when the engine is idle,
// right before the order.
func KeepsServed(c Change, engines []Engine, demands []schedule.PlanDemand) bool {
	after := c.Engine
	for _, o := range c.Orders {
		after = after.withOrder(o)
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
