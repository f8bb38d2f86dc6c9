package dispatch

import "time"

// endpointState is what one entry knows about one incarnation of an endpoint.
type endpointState struct {
	ownInFlight         int       // this entry's attempts in flight
	promptTokens        int       // prompt tokens of these attempts
	memoryTokens        int       // tokens held in memory for these attempts
	othersInFlight      float64   // other entries' attempts by the latest reported load
	reportedAt          time.Time // when that load was received
	consecutiveFailures int       // failed connections in a row
	ejectedUntil        time.Time
	trialInFlight       bool      // one attempt probes the endpoint after its ejection
	fullAt              time.Time // when it last had no capacity
	blockedUntil        time.Time
	// cooldownUntil is the end of the cooldown that it requested from this entry, and
	// leavingUntil the time until which it counts as leaving.
	cooldownUntil, leavingUntil time.Time
	// refusedAt is when it last rejected an attempt.
	refusedAt         time.Time
	wrongIncarnations int     // answers in a row by another incarnation
	failureShare      float64 // moving average of the share of failed attempts, 0 to 1
	lastUsed          time.Time

	observedWait   float64   // latest wait of a prompt, in multiples of its own prefill duration
	waitObservedAt time.Time // when that was observed
}

// The parameters of an endpointState.
const (
	// unreportedShare is the share of its pool's mean load that an endpoint without a recent
	// report is assumed to have. It is below 1, so that such an endpoint is tried.
	unreportedShare = 0.9
	// reportedLoadHalfLife is the age at which a reported load has half of its weight.
	// Requests to plain services last 30 to 60 ms and streams some 300 ms, so most
	// requests of the reported load have ended by then.
	reportedLoadHalfLife = 400 * time.Millisecond
	// failureWeight is the weight of the newest outcome in failureShare: about the
	// last eight attempts count.
	failureWeight = 0.12
	// minEjectionDuration and maxEjectionDuration bound the ejection of an unreachable
	// endpoint; its duration doubles with each failed trial.
	minEjectionDuration = 300 * time.Millisecond
	maxEjectionDuration = 3 * time.Second
	// wrongIncarnationEjection is how long an incarnation is ejected after another one
	// answered at its address. The live one keeps sending heartbeats; a dead one is
	// removed after about four missed heartbeats.
	wrongIncarnationEjection = 4 * time.Second
	// fullPenaltyDuration is how long an endpoint without capacity ranks behind all
	// others. At a full endpoint an answer ends every 30 to 50 ms.
	fullPenaltyDuration = 60 * time.Millisecond
	// recentRefusalDuration is how long after a rejection an endpoint is likely to
	// reject again: overload lasts some seconds.
	recentRefusalDuration = 3 * time.Second
	// observedWaitHalfLife is the age at which an observed wait has half of its weight.
	// Bursts last some seconds, and their end must show soon.
	observedWaitHalfLife = time.Second
	// idleStateTimeout is how long the state of an unused endpoint is kept.
	idleStateTimeout = time.Minute
)

// estimateOthers returns the estimate of other entries' attempts in flight: by the latest
// reported load, and the older that is, the more by the mean load of the pool.
func (s *endpointState) estimateOthers(now time.Time, poolMean float64) float64 {
	weight := 0.0
	if !s.reportedAt.IsZero() {
		weight = freshness(now.Sub(s.reportedAt))
	}
	return weight*s.othersInFlight + (1-weight)*unreportedShare*poolMean
}

// estimateWait returns the estimate of a prompt's wait, in multiples of its own prefill
// duration, by the latest observed one.
func (s *endpointState) estimateWait(now time.Time) float64 {
	age := max(0, now.Sub(s.waitObservedAt))
	if s.waitObservedAt.IsZero() || age > 4*observedWaitHalfLife {
		return 0
	}
	return s.observedWait * float64(observedWaitHalfLife) / float64(observedWaitHalfLife+age)
}

// isEligible reports whether the endpoint may be chosen now: it isn't ejected, and no trial
// is in flight.
func (s *endpointState) isEligible(now time.Time) bool {
	if now.Before(s.ejectedUntil) {
		return false
	}
	return s.consecutiveFailures == 0 || !s.trialInFlight
}
