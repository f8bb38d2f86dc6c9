package control

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// The bounds of waits for the weight store.
const (
	defaultLoadSlots = 2
	maxLoadDuration  = 24 * time.Hour
	maxLoadWait      = 2 * time.Hour // a load that would wait longer is refused
)

// loadSlots paces weight loads over the whole fleet: each concurrent load of
// the weight store is a slot that is free again at a time, in unix ms of the
// proposers' clock. Times are enough; no message at a load's end is needed
// that a dead issuer could fail to send.
type loadSlots []int64

// loadPlan is one load as the weight store sees it.
type loadPlan struct {
	slots    int
	duration time.Duration
}

func (m *Machine) loadPlan(o *pb.IssueOrder) loadPlan {
	store := m.tree.Fleet.WeightStore
	plan := loadPlan{slots: min(store.ConcurrentLoads, maxLoadSlots)}
	if plan.slots <= 0 {
		plan.slots = defaultLoadSlots
	}
	for _, model := range m.tree.Fleet.Models {
		if model.Name == o.Model {
			plan.duration = loadDuration(model, store.Rate, plan.slots)
		}
	}
	return plan
}

// loadDuration gives each of the concurrent loads its part of the rate.
func loadDuration(model settings.Model, rate settings.ByteRate, slots int) time.Duration {
	if rate <= 0 || model.WeightBytes <= 0 {
		return min(max(model.LoadTime, 0), maxLoadDuration)
	}
	seconds := float64(model.WeightBytes) * float64(slots) / float64(rate)
	if seconds > maxLoadDuration.Seconds() {
		return maxLoadDuration
	}
	return time.Duration(seconds * float64(time.Second))
}

// reserve takes the slot that is free first and gives the wait until then.
func (s *loadSlots) reserve(now int64, plan loadPlan) (delayMs uint64, ok bool) {
	for len(*s) < plan.slots {
		*s = append(*s, 0)
	}
	if len(*s) > plan.slots {
		*s = (*s)[:plan.slots]
	}
	first := 0
	for n, free := range *s {
		if free-now > (maxLoadWait + maxLoadDuration).Milliseconds() {
			(*s)[n] = now // reserved by a clock that was ahead
		}
		if (*s)[n] < (*s)[first] {
			first = n
		}
	}
	start := max(now, (*s)[first])
	if start-now > maxLoadWait.Milliseconds() {
		return 0, false
	}
	(*s)[first] = start + plan.duration.Milliseconds()
	return uint64(start - now), true
}
