package provision

import (
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
)

// The figures by which counts become engines.
const (
	headroom     = 0.6  // share of an engine that may be in use before more is wanted
	mostUnserved = 4    // refused work counts for at most so many times the served
	defaultSlots = 20   // of an engine that nobody has seen yet
	leastAbsent  = 0.01 // looks without an endpoint a second that count as demand
)

// demandsOf turns rates into engines wanted. Prefill is counted in prompt
// tokens, decode in slots held. A model that is asked for and served by no
// engine wants one, however little is asked.
func demandsOf(rows []Row, engines []Engine, prefillRate int) []schedule.PlanDemand {
	demands := make([]schedule.PlanDemand, 0, len(rows))
	for _, row := range rows {
		wanted, served := enginesFor(row, engines, prefillRate)
		if !served && unserved(row.Rate) {
			wanted = max(wanted, 1)
		}
		if wanted <= 0 {
			continue
		}
		demands = append(demands, schedule.PlanDemand{
			Model:     row.Key.Model,
			Kind:      row.Key.Kind,
			Permitted: fleet.ParseZoneClass(row.Key.Class),
			Engines:   wanted,
		})
	}
	return demands
}

func unserved(r Rate) bool { return r.Absent >= leastAbsent || r.Refused > 0 }

func enginesFor(row Row, engines []Engine, prefillRate int) (wanted float64, served bool) {
	slots, count := 0, 0
	for _, e := range engines {
		if e.serves(row.Key) {
			slots += e.Slots
			count++
		}
	}
	each := float64(defaultSlots)
	if count > 0 && slots > 0 {
		each = float64(slots) / float64(count)
	}
	r := row.Rate
	work := r.Busy / each
	if row.Key.Kind == fleet.RolePrefill {
		work = r.PromptTokens / float64(max(prefillRate, 1))
	}
	if r.Granted > 0 {
		work *= min((r.Granted+r.Refused)/r.Granted, mostUnserved)
	}
	return work / headroom, count > 0
}
