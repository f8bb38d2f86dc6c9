package admission

import (
	"sort"
	"time"
)

// The pressure, predicted wait over the least patience of the teams at work,
// above which fair shares hold, and how far above its share a team may go
// when they begin to. At pressure 1 it may go no further than its share.
const (
	fairnessFrom  = 0.4
	fairnessSlack = 2.0
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
	ease := (1 - min(pressure, 1)) / (1 - fairnessFrom)
	return level * share * (1 + fairnessSlack*ease)
}
