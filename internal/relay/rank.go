package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// The ranks that engines know, 0 first.
const (
	leastRank = 9
	// freshRank is added to the route's own rank, and lateRank besides for a
	// request that has missed its target: where memory runs out, an engine puts
	// off one that loses little by it.
	freshRank = 2
	lateRank  = 3
)

func enginePriority(r *routetable.Route, waited time.Duration) int {
	rank := r.Priority + freshRank
	if r.Target > 0 && waited+usualStart > r.Target {
		rank += lateRank
	}
	return min(rank, leastRank)
}
