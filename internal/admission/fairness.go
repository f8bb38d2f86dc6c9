package admission

import (
	"sort"
	"time"
)

// Fair shares hold from a pressure (predicted wait over the least patience of
// the teams at work) of fairnessFrom on. There a team may have fairnessSlack
// times its fair level, at fairnessFull exactly the level, and at pressure 1
// fairnessLeast of it. So an overload settles near fairnessFull, and the rest
// of the patience takes the swings of arrivals.
const (
	fairnessFrom  = 0.4
	fairnessFull  = 0.75
	fairnessSlack = 3.0
	fairnessLeast = 0.9
	levelLife     = 20 * time.Millisecond // how long a computed level is used
)

// teamDemand is one team's part in the division of the capacity.
type teamDemand struct {
	share float64
	work  float64 // offered in the window
}

// fairLevel gives the work for each unit of share at which the teams together
// take capacity: no team gets more than it asks for, and what one leaves is
// divided among the others (max-min fairness).
func fairLevel(demands []teamDemand, capacity float64) float64 {
	sort.Slice(demands, func(a, b int) bool {
		return demands[a].work*demands[b].share < demands[b].work*demands[a].share
	})
	var shares float64
	for _, d := range demands {
		shares += d.share
	}
	level := 0.0
	for _, d := range demands {
		level = capacity / shares
		if d.work > level*d.share {
			return level
		}
		capacity -= d.work
		shares -= d.share
	}
	return level + capacity
}

// allowed gives the work in the window that a team may have at a pressure.
func allowed(level, share, pressure float64) float64 {
	return level * share * easing(min(pressure, 1))
}

func easing(pressure float64) float64 {
	if pressure < fairnessFull {
		part := (fairnessFull - pressure) / (fairnessFull - fairnessFrom)
		return 1 + (fairnessSlack-1)*part
	}
	part := (pressure - fairnessFull) / (1 - fairnessFull)
	return 1 - (1-fairnessLeast)*part
}
