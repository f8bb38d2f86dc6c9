package control

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Slots of the weight store and limits of the waits for them.
const (
	defaultLoadSlots = 2
	maxLoadDuration  = 24 * time.Hour
	maxLoadWait      = 2 * time.Hour // a load that would wait longer is refused
)

// loadSlots limits the weight loads of the whole fleet. Each concurrent load of
// the weight store is a slot; its value is the time when it is free again, in
// Unix milliseconds of the proposers' clocks. Since a slot becomes free by time,
// no message is needed at the end of a load, which a failed issuer might not
// send.
type loadSlots []int64

// loadPlan describes one load: the number of slots and the load's duration.
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

// loadDuration returns how long a load takes when each of the concurrent loads
// gets an equal part of the rate.
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

// reserve takes the slot that is free first and returns the wait until then; ok
// is false when the wait would exceed maxLoadWait.
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
			(*s)[n] = now // reserved under a clock that was ahead
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
