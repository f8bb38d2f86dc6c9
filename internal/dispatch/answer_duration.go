package dispatch

import "time"

const (
	// initialTokenDuration is the generation time per estimated token until one
	// was measured: engines generate a token in 3 ms with 10 other streams active.
	initialTokenDuration = 3 * time.Millisecond
	// tokenDurationWeight is the weight of the newest answer in the moving average
	// of the generation time per token. Estimates are right in the median but
	// single ones are far off; about 50 answers average that out.
	tokenDurationWeight = 0.02
)

// RecordAnswer records that an answer of estimate tokens took the given time
// from its first part to its end.
func (stats *EndpointStats) RecordAnswer(service string, estimate int, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	measured := float64(took) / float64(estimate)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	average := stats.tokenDurationNs(service)
	stats.tokenDurationsNs[service] = movedAverage(average, measured, tokenDurationWeight)
}

// movedAverage returns a moving average with a new value, of which three times the average counts at most.
func movedAverage(average, measured, weight float64) float64 {
	return average + weight*(min(measured, 3*average)-average)
}

// EstimateAnswerDuration returns the expected generation time of an answer of estimate tokens.
func (stats *EndpointStats) EstimateAnswerDuration(service string, estimate int) time.Duration {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	return time.Duration(stats.tokenDurationNs(service) * float64(estimate))
}

// tokenDurationNs returns a service's average generation time per estimated
// token, in ns. The caller must hold stats.mu.
func (stats *EndpointStats) tokenDurationNs(service string) float64 {
	if average, ok := stats.tokenDurationsNs[service]; ok {
		return average
	}
	return float64(initialTokenDuration)
}
