package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// Priorities that engines know; 0 is the most urgent.
const (
	lowestPriority = 9
	// priorityOffset is added to the route's own priority, and latePriorityOffset as well
	// for a request that has missed its target or whose stream broke: when memory runs out,
	// an engine then preempts a request that loses little by it.
	priorityOffset     = 2
	latePriorityOffset = 3
)

// noPriority leaves the priority to the engine.
const noPriority = -1

// priority returns the priority that is sent to engines.
func (ex *activeExchange) priority() int {
	if !ex.router.options.Policy.Has(dispatch.EnginePriorities) {
		return noPriority
	}
	waited := time.Since(ex.exchange.Received)
	if ex.attempts > 0 || isResumption(ex.exchange, ex.route) {
		waited += ex.route.Target
	}
	return enginePriority(ex.route, ex.team, waited)
}

func enginePriority(r *routetable.Route, team *routetable.Team, waited time.Duration) int {
	priority := r.Priority + priorityOffset
	if team != nil && team.Priority != nil {
		priority = *team.Priority + priorityOffset
	}
	if r.Target > 0 && waited+typicalStartTime > r.Target {
		priority += latePriorityOffset
	}
	return min(priority, lowestPriority)
}
