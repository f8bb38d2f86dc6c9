package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"
)

// EndpointStats keeps one entry's statistics about the endpoints that it sends to. It is
// safe for concurrent use.
type EndpointStats struct {
	zone   string
	policy Policy

	mu            sync.Mutex
	random        *rand.Rand
	states        map[Incarnation]*endpointState
	pools         map[poolKey]*pool
	prefillSpeeds map[string]*prefillSpeed // by service
	// tokenDurationsNs is the average generation time per estimated token, by service.
	tokenDurationsNs map[string]float64
	// eventDurationsNs is the average time per event of an answer, by service.
	eventDurationsNs map[string]float64
	// blockedUntil is the latest blockedUntil of all endpoints.
	blockedUntil time.Time
	cooldowns    map[string]requestedCooldown // latest of each endpoint, by endpoint ID
}

// NewEndpointStats returns empty statistics for an entry in the given zone. seed seeds the random
// part of choices.
func NewEndpointStats(zone string, seed uint64, policy Policy) *EndpointStats {
	return &EndpointStats{zone: zone, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), states: map[Incarnation]*endpointState{}, pools: map[poolKey]*pool{}, prefillSpeeds: map[string]*prefillSpeed{}, tokenDurationsNs: map[string]float64{}, eventDurationsNs: map[string]float64{}, cooldowns: map[string]requestedCooldown{}}
}

func (stats *EndpointStats) stateOf(id Incarnation) *endpointState {
	s := stats.states[id]
	if s == nil {
		s = &endpointState{}
		stats.states[id] = s
	}
	return s
}

// lookup returns the state of an endpoint, with a cooldown that was requested under its
// ID; nil if there is neither.
func (stats *EndpointStats) lookup(id Incarnation) *endpointState {
	if c := stats.cooldowns[id.ID]; c.appliesTo(id) {
		stats.applyCooldown(stats.stateOf(id), c.until)
	}
	return stats.states[id]
}

// Begin records the start of an attempt; End must follow.
func (stats *EndpointStats) Begin(now time.Time, e *Endpoint, w Work) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	s := stats.stateOf(e.Incarnation())
	s.ownInFlight++
	s.promptTokens += w.PromptTokens
	s.memoryTokens += w.MemoryTokens
	s.lastUsed = now
	if s.consecutiveFailures > 0 {
		s.trialInFlight = true
	}
}

// End records the end of an attempt. w must equal the argument of Begin.
func (stats *EndpointStats) End(now time.Time, e *Endpoint, w Work, o Outcome) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	s := stats.stateOf(e.Incarnation())
	s.ownInFlight--
	s.promptTokens -= w.PromptTokens
	s.memoryTokens -= w.MemoryTokens
	s.lastUsed = now
	s.recordOutcome(now, o, stats.policy)
}

// RecordOutcome records the outcome of a call that was not recorded by Begin.
func (stats *EndpointStats) RecordOutcome(now time.Time, e *Endpoint, o Outcome) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.stateOf(e.Incarnation()).recordOutcome(now, o, stats.policy)
}

func (s *endpointState) recordOutcome(now time.Time, o Outcome, policy Policy) {
	switch o {
	case OutcomeServed:
		s.consecutiveFailures, s.wrongIncarnations, s.trialInFlight, s.ejectedUntil = 0, 0, false, time.Time{}
		s.failureShare -= s.failureShare * failureWeight
	case OutcomeFailed:
		s.consecutiveFailures, s.trialInFlight = 0, false
		s.failureShare += (1 - s.failureShare) * failureWeight
	case OutcomeFull:
		s.consecutiveFailures, s.trialInFlight = 0, false
		s.refusedAt = now
	case OutcomeWrongIncarnation:
		s.wrongIncarnations++
		s.trialInFlight = false
		s.eject(now, wrongIncarnationEjection)
	case OutcomeUnreachable:
		s.failureShare += (1 - s.failureShare) * failureWeight
		if policy.Has(Ejection) {
			s.recordUnreachable(now)
		}
	case OutcomeLost:
		s.failureShare += (1 - s.failureShare) * 2 * failureWeight
		s.trialInFlight = false
	case OutcomeCanceled:
		s.trialInFlight = false
	}
}

// recordUnreachable ejects an unreachable endpoint, for longer after each failure in a row.
func (s *endpointState) recordUnreachable(now time.Time) {
	s.trialInFlight = false
	s.eject(now, min(minEjectionDuration<<min(s.consecutiveFailures, 8), maxEjectionDuration))
	s.consecutiveFailures++
}

func (s *endpointState) eject(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(s.ejectedUntil) {
		s.ejectedUntil = until
	}
}

// RecordLoad records the load that an endpoint reported with an answer.
func (stats *EndpointStats) RecordLoad(now time.Time, e *Endpoint, l ReportedLoad) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	s := stats.stateOf(e.Incarnation())
	s.othersInFlight = max(0, float64(l.Running+l.Waiting-s.ownInFlight))
	s.reportedAt = now
	stats.poolOf(e).load.record(now, l)
}

// RecordFull records that an endpoint rejected a request for lack of memory or capacity.
func (stats *EndpointStats) RecordFull(now time.Time, e *Endpoint) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.stateOf(e.Incarnation()).fullAt = now
}

// RefusedRecently reports whether an endpoint has rejected an attempt recently.
func (stats *EndpointStats) RefusedRecently(now time.Time, e *Endpoint) bool {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	s := stats.states[e.Incarnation()]
	return s != nil && !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < recentRefusalDuration
}

// Zone returns the entry's zone.
func (stats *EndpointStats) Zone() string { return stats.zone }

// UnavailableIDs returns the IDs of the endpoints that are ejected or blocked now.
func (stats *EndpointStats) UnavailableIDs(now time.Time, endpoints []*Endpoint) []string {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	var list []string
	for _, e := range endpoints {
		if s := stats.lookup(e.Incarnation()); s != nil && (!s.isEligible(now) || s.isBlocked(now)) {
			list = append(list, e.ID)
		}
	}
	return list
}

// Sweep removes expired cooldowns and the state of endpoints that have been idle for
// idleStateTimeout, unless they are blocked, leaving or in a cooldown.
func (stats *EndpointStats) Sweep(now time.Time) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	for id, s := range stats.states {
		if s.ownInFlight == 0 && now.Sub(s.lastUsed) > idleStateTimeout && !s.isBlocked(now) && !s.isLeaving(now) && !now.Before(s.cooldownUntil) {
			delete(stats.states, id)
		}
	}
	for id, c := range stats.cooldowns {
		if !now.Before(c.until) {
			delete(stats.cooldowns, id)
		}
	}
}
