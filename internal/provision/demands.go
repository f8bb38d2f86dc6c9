package provision

import (
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
)

// Parameters of the conversion from demand rates to engines.
const (
	targetUtilization = 0.6  // fraction of an engine that may be used before more engines are wanted
	maxUnservedFactor = 4    // maximum factor by which refused requests increase the demand
	defaultSlots      = 20   // assumed slots of an engine while none serves the model
	minAbsentPerSec   = 0.01 // lookups per second without an endpoint that count as demand
)

// demandsOf converts demand rates to engines wanted. Prefill is measured in
// prompt tokens, decode in slots held. A model with any unserved requests and no
// engine wants at least one.
func demandsOf(rows []Row, engines []Engine, prefillRate int) []schedule.PlanDemand {
	demands := make([]schedule.PlanDemand, 0, len(rows))
	for _, row := range rows {
		wanted, served := enginesFor(row, engines, prefillRate)
		if !served && hasUnserved(row.Rate) {
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

func hasUnserved(r Rate) bool { return r.Absent >= minAbsentPerSec || r.Refused > 0 }

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
		work *= min((r.Granted+r.Refused)/r.Granted, maxUnservedFactor)
	}
	return work / targetUtilization, count > 0
}
