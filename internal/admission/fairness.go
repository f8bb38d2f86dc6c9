package admission

import (
	"sort"
	"time"
)

// Fair shares apply from a pressure (predicted wait over the least patience of
// the active teams) of fairStartPressure. There a team may have fairStartFactor
// times its fair level, at fairTargetPressure exactly the level, and at pressure
// 1 fairMinFactor times the level. An overload thus settles near
// fairTargetPressure, and the rest of the patience absorbs bursts of arrivals.
const (
	fairStartPressure  = 0.4
	fairTargetPressure = 0.75
	fairStartFactor    = 3.0
	fairMinFactor      = 0.9
	levelTTL           = 20 * time.Millisecond // how long a computed level is reused
)

// teamDemand is one team's demand in the division of the capacity.
type teamDemand struct {
	share float64
	work  float64 // requested within the window
}

// fairLevel returns the work per unit of share at which the teams together use
// the capacity: no team gets more than it requests, and what one leaves unused is
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

// allowedWork returns the work within the window that a team may have at a
// pressure.
func allowedWork(level, share, pressure float64) float64 {
	return level * share * levelFactor(min(pressure, 1))
}

func levelFactor(pressure float64) float64 {
	if pressure < fairTargetPressure {
		part := (fairTargetPressure - pressure) / (fairTargetPressure - fairStartPressure)
		return 1 + (fairStartFactor-1)*part
	}
	part := (pressure - fairTargetPressure) / (1 - fairTargetPressure)
	return 1 - (1-fairMinFactor)*part
}
