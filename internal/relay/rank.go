package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// The ranks that engines know, 0 first.
const (
	leastRank = 9
	// freshRank is added to the route's own rank, and lateRank besides for a
	// request that has missed its target, or whose stream was broken: where
	// memory runs out, an engine puts off one that loses little by it.
	freshRank = 2
	lateRank  = 3
)

// noRank leaves the rank to the engine.
const noRank = -1

// rank is what engines are told of the exchange's urgency.
func (l *life) rank() int {
	if !l.router.options.Policy.Has(dispatch.Ranks) {
		return noRank
	}
	waited := time.Since(l.x.Received)
	if l.sends > 0 || l.returned() {
		waited += l.route.Target
	}
	return enginePriority(l.route, l.team, waited)
}

func enginePriority(r *routetable.Route, team *routetable.Team, waited time.Duration) int {
	rank := r.Priority + freshRank
	if team != nil && team.Priority != nil {
		rank = *team.Priority + freshRank
	}
	if r.Target > 0 && waited+usualStart > r.Target {
		rank += lateRank
	}
	return min(rank, leastRank)
}
