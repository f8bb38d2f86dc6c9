package dispatch

import "time"

// The weights of a choice. A full endpoint costs 1.
const (
	// otherZoneCost is the cost of an endpoint outside the entry's zone. Traffic
	// between zones is billed, but is preferable to an endpoint in the own zone
	// whose load is higher by about a sixth.
	otherZoneCost = 0.15
	// failureCost is the cost of an endpoint that fails all requests; one that
	// fails a third of them costs as much as a full one.
	failureCost = 3.0
	// fullCost ranks an endpoint that just rejected a request for lack of capacity
	// behind all others.
	fullCost = 10.0
	// costJitter bounds the random part of a cost. Without it, entries with the same
	// view would all send to the same endpoint at once.
	costJitter = 0.08
)

// Choice is the chosen endpoint with the figures behind the choice.
type Choice struct {
	Endpoint       *Endpoint
	Cost           float64
	EndpointLoad   float64 // load of the endpoint, as measured or by the waits observed there
	OwnInFlight    int     // attempts of this entry in flight there
	OthersInFlight float64 // estimate of other entries' attempts in flight there
	ReportAgeMs    int64   // age of the reported load behind that estimate; -1 if none was reported
	Candidates     int     // number of eligible endpoints
}

// LoadFunc returns the load of an endpoint, 1 for full, from this entry's attempts in
// flight there with their prompt and memory tokens and the estimate for other entries.
type LoadFunc func(e *Endpoint, own, promptTokens, memoryTokens int, others float64) float64

// SlotLoad returns the attempts in flight as a share of the endpoint's slots.
func SlotLoad(e *Endpoint, own, _, _ int, others float64) float64 {
	return (float64(own) + others) / float64(max(1, e.Slots))
}

// Choose returns the eligible endpoint of least cost. If all are ejected, it
// returns the one whose ejection ends first, since waiting until then would serve
// no request. ok is false if there are no candidates.
func (stats *EndpointStats) Choose(now time.Time, candidates []*Endpoint, load LoadFunc) (choice Choice, ok bool) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	baseFailureShare := stats.minFailureShare(candidates)
	eligible := 0
	var best, fallback Choice
	var fallbackUntil time.Time
	for _, e := range candidates {
		s := stats.stateOf(e.Incarnation())
		c := stats.evaluate(now, e, s, load, baseFailureShare)
		if s.isEligible(now) {
			eligible++
			best = cheaper(best, c)
			continue
		}
		if fallback.Endpoint == nil || s.ejectedUntil.Before(fallbackUntil) {
			fallback, fallbackUntil = c, s.ejectedUntil
		}
	}
	if best.Endpoint == nil {
		best = fallback
	}
	best.Candidates = eligible
	return best, best.Endpoint != nil
}

// cheaper returns the choice of lower cost; a may be the zero Choice.
func cheaper(a, b Choice) Choice {
	if a.Endpoint == nil || b.Cost < a.Cost {
		return b
	}
	return a
}

// minFailureShare returns the lowest failure share of the candidates: failures
// that they have in common come from the requests, and no choice avoids them.
func (stats *EndpointStats) minFailureShare(candidates []*Endpoint) float64 {
	least := 1.0
	for _, e := range candidates {
		least = min(least, stats.stateOf(e.Incarnation()).failureShare)
	}
	return least
}

func (stats *EndpointStats) evaluate(now time.Time, e *Endpoint, s *endpointState, load LoadFunc, baseFailureShare float64) Choice {
	poolMean := 0.0
	if stats.policy.Has(PoolLoads) {
		poolMean = stats.poolOf(e).load.at(now) * float64(e.Slots)
	}
	others := s.estimateOthers(now, poolMean)
	endpointLoad := load(e, s.ownInFlight, s.promptTokens, s.memoryTokens, others)
	if stats.policy.Has(ObservedWaits) {
		endpointLoad = max(endpointLoad, s.estimateWait(now))
	}
	cost := endpointLoad
	cost += failureCost * (s.failureShare - baseFailureShare)
	if now.Sub(s.fullAt) < fullPenaltyDuration {
		cost += fullCost
	}
	if e.Zone != stats.zone {
		cost += otherZoneCost
	}
	cost += costJitter * stats.random.Float64()
	c := Choice{Endpoint: e, Cost: cost, EndpointLoad: endpointLoad, OwnInFlight: s.ownInFlight, OthersInFlight: others, ReportAgeMs: -1}
	if !s.reportedAt.IsZero() {
		c.ReportAgeMs = now.Sub(s.reportedAt).Milliseconds()
	}
	return c
}
