package dispatch

import "time"

const (
	// eventDurationWeight is the weight of the newest answer in the moving average of the time
	// per event.
	eventDurationWeight = 0.1
	// restBeyondEstimate is what is left of an answer that has lasted as long as was expected, in the
	// median, as a share of that: single estimates are off by a factor of 1.6.
	restBeyondEstimate = 0.4
)

// RecordEvents records that events of an answer followed each other within the given time.
func (stats *EndpointStats) RecordEvents(service string, events int, took time.Duration) {
	if events <= 0 || took <= 0 {
		return
	}
	measured := float64(took) / float64(events)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	average, ok := stats.eventDurationsNs[service]
	if !ok {
		average = measured
	}
	stats.eventDurationsNs[service] = movedAverage(average, measured, eventDurationWeight)
}

// EstimateEvents returns how long the given number of events took; 0 before the first ones were
// recorded.
func (stats *EndpointStats) EstimateEvents(service string, events int) time.Duration {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	return time.Duration(stats.eventDurationsNs[service] * float64(events))
}

// AnswerDuration is how long an answer takes from its first part to its end.
type AnswerDuration struct {
	Expected time.Duration
	Longest  time.Duration // by its maximum size; 0 for no bound
}

// Rest returns the expected duration of what is left of an answer that has lasted for some time.
func (d AnswerDuration) Rest(lasted time.Duration) time.Duration {
	rest := d.Expected
	if lasted > 0 {
		rest = max(d.Expected-lasted, time.Duration(restBeyondEstimate*float64(d.Expected)))
	}
	if d.Longest > 0 {
		rest = min(rest, max(0, d.Longest-lasted))
	}
	return rest
}
