package allocation

import (
	"iter"
	"slices"
	"time"
)

// The parameters of a UsageTracker.
const (
	// unconfirmedPause is how long an endpoint is skipped that one entry could not
	// reach: the fault may be that entry's, and others only find out by sending to
	// the endpoint. confirmedPause is the same once a second entry has reported it
	// within confirmationWindow: an endpoint that restarts is back within seconds,
	// and each attempt at an unreachable one costs a request 200 ms.
	unconfirmedPause   = 300 * time.Millisecond
	confirmedPause     = time.Second
	confirmationWindow = 3 * time.Second
	// trialDuration is how long a skipped endpoint is probed by one request before
	// others follow: an endpoint that doesn't respond is detected by then.
	trialDuration = 400 * time.Millisecond
	// slownessHalfLife is the age at which the observed slowness of a prefill endpoint
	// has half of its weight. Delays last some seconds, and their end must show soon.
	slownessHalfLife = time.Second
	// expiryFactor and expirySlack bound how long a reservation counts that is never
	// released, as after its entry died: the answer ended with the entry.
	expiryFactor = 2
	expirySlack  = 2 * time.Second
	// newEntryGrace is how long an entry that has just started may be unknown.
	newEntryGrace = 2 * time.Second
	// crossZoneCost is the cost of an endpoint outside the entry's zone, as a share of
	// a full endpoint: traffic between zones is billed, and KV cache transfers take
	// longer.
	crossZoneCost = 0.15
	// crossZoneTransferCost is the extra wait that makes a prefill endpoint in the
	// decode endpoint's zone as good as one in another zone: KV cache transfers
	// between zones take twice as long.
	crossZoneTransferCost = 15 * time.Millisecond
)

// maxCandidates is how many endpoints are compared for a request if one of them has
// capacity. The best of a few hundred is hardly worse than that of ten thousand, and a home
// that looked at all for each request would need time by the square of the fleet.
const maxCandidates = 256

// UsageTracker tracks the use of one service's endpoints. It is not safe for concurrent
// use.
type UsageTracker struct {
	usage     map[string]*endpointUsage
	untracked endpointUsage // of each endpoint that isn't tracked: none
	// start is where the next search begins in a list that is longer than maxCandidates.
	start int
	// compared counts the endpoints that searches have looked at.
	compared int
}

// NewUsageTracker returns a UsageTracker without reservations.
func NewUsageTracker() *UsageTracker { return &UsageTracker{usage: map[string]*endpointUsage{}} }

// lookup returns the use of an endpoint, which may be untracked and must not be changed then.
func (t *UsageTracker) lookup(id string) *endpointUsage {
	if u := t.usage[id]; u != nil {
		return u
	}
	return &t.untracked
}

// usageOf returns the use of an endpoint, which is tracked from now on.
func (t *UsageTracker) usageOf(id string) *endpointUsage {
	u := t.usage[id]
	if u == nil {
		u = &endpointUsage{}
		t.usage[id] = u
	}
	return u
}

// Reserve chooses endpoints for a request and records its reservation. It returns the zero
// value if there is no capacity now.
func (t *UsageTracker) Reserve(now time.Time, endpoints []Endpoint, request ReservationRequest) Placement {
	decode := t.decodeEndpoint(now, endpoints, request)
	if decode == nil {
		return Placement{}
	}
	placement := Placement{Endpoint: decode.ID}
	if request.PrefillDuration > 0 {
		prefill, backlog := t.prefillEndpoint(now, endpoints, request, decode)
		switch {
		case prefill != nil && backlog <= request.MaxBacklog:
			placement.PrefillEndpoint, placement.PrefillBacklog = prefill.ID, backlog
		case !request.AllowLocalPrefill && prefill != nil:
			return Placement{}
		}
	}
	t.add(now, request, placement)
	return placement
}

func (t *UsageTracker) add(now time.Time, request ReservationRequest, placement Placement) {
	decode := t.usageOf(placement.Endpoint)
	decode.reservations = append(decode.reservations, activeReservation{
		exchange: request.Exchange, entry: request.Entry, stream: request.Stream,
		promptTokens: request.PromptTokens, outputTokens: request.OutputTokens, capacityTokens: request.CapacityTokens,
		prefillEndpoint: placement.PrefillEndpoint, prefillDuration: request.PrefillDuration,
		since: now, expectedDuration: placement.PrefillBacklog + request.PrefillDuration + request.AnswerDuration,
	})
	decode.recordRequest(now)
	if placement.PrefillEndpoint != "" {
		prefill := t.usageOf(placement.PrefillEndpoint)
		prefill.prefillBusyUntil = now.Add(placement.PrefillBacklog + request.PrefillDuration)
		prefill.recordRequest(now)
	}
}

// decodeEndpoint returns the decode endpoint of least cost that has capacity for a request;
// nil if there is none.
func (t *UsageTracker) decodeEndpoint(now time.Time, endpoints []Endpoint, request ReservationRequest) *Endpoint {
	var best *Endpoint
	least := 0.0
	for e := range t.search(endpoints, func(e *Endpoint) bool { return !e.IsPrefill && e.canServe(request) }, &best) {
		u := t.lookup(e.ID)
		used := u.usedTokens(now)
		if !u.isEligible(now) || len(u.reservations) >= e.Slots || used+request.PromptTokens+request.OutputTokens > request.CapacityTokens {
			continue
		}
		cost := float64(used) / float64(max(1, request.CapacityTokens))
		if e.Zone != request.Zone {
			cost += crossZoneCost
		}
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// search yields the endpoints that match until maxCandidates of them were yielded and one
// was found, which is then in *found. Searches of a longer list begin at different places.
func (t *UsageTracker) search(endpoints []Endpoint, matches func(*Endpoint) bool, found **Endpoint) iter.Seq[*Endpoint] {
	return func(yield func(*Endpoint) bool) {
		first := 0
		if len(endpoints) > maxCandidates {
			first = t.start
			t.start += maxCandidates
		}
		candidates := 0
		for i := range endpoints {
			e := &endpoints[(first+i)%len(endpoints)]
			if !matches(e) {
				continue
			}
			candidates++
			t.compared++
			if !yield(e) || candidates >= maxCandidates && *found != nil {
				return
			}
		}
	}
}

// FreeCapacity returns the free memory for a request.
func (t *UsageTracker) FreeCapacity(now time.Time, endpoints []Endpoint, request ReservationRequest) FreeCapacity {
	var free FreeCapacity
	for i := range endpoints {
		e := &endpoints[i]
		if !e.IsPrefill && e.canServe(request) {
			free.Candidates++
			free.MaxFreeTokens = max(free.MaxFreeTokens, request.CapacityTokens-t.lookup(e.ID).usedTokens(now))
		}
	}
	return free
}

// prefillEndpoint returns the prefill endpoint of a decode endpoint's software version that is
// free first, and the prompt's wait there; nil if there is none.
func (t *UsageTracker) prefillEndpoint(now time.Time, endpoints []Endpoint, request ReservationRequest, decode *Endpoint) (best *Endpoint, backlog time.Duration) {
	var least time.Duration
	matches := func(e *Endpoint) bool {
		return e.IsPrefill && e.Software == decode.Software && e.canServe(request)
	}
	for e := range t.search(endpoints, matches, &best) {
		u := t.lookup(e.ID)
		if !u.isEligible(now) {
			continue
		}
		wait := max(0, u.prefillBusyUntil.Sub(now)) + u.prefillDuration(now, request) - request.PrefillDuration
		cost := wait
		if e.Zone != decode.Zone {
			cost += crossZoneTransferCost
		}
		if best == nil || cost < least {
			best, least, backlog = e, cost, wait
		}
	}
	return best, backlog
}

// Release ends a reservation with the outcome that its entry reports.
func (t *UsageTracker) Release(now time.Time, endpoint, exchange, entry string, o Outcome) {
	u := t.usageOf(endpoint)
	i := slices.IndexFunc(u.reservations, func(r activeReservation) bool { return r.exchange == exchange })
	var released activeReservation
	if i >= 0 {
		released = u.reservations[i]
		u.reservations = slices.Delete(u.reservations, i, i+1)
	}
	switch o {
	case OutcomeFull:
		u.recordRefusal(now, released)
		t.cancelPrefill(released)
	case OutcomeUnreachable:
		u.recordUnreachable(now, entry)
		t.cancelPrefill(released)
	case OutcomeDone:
	}
}

// ReleaseBroken ends the reservation of the run whose stream a request continues: the stream broke, and
// its endpoint has freed the memory.
//
// Guards against this failure: entries end under load, and all memory that their runs held counts as
// used until they are missed. Their callers are back before that, and find no room.
func (t *UsageTracker) ReleaseBroken(request ReservationRequest) {
	if request.Stream == 0 {
		return
	}
	for _, u := range t.usage {
		u.reservations = slices.DeleteFunc(u.reservations, func(r activeReservation) bool {
			return r.stream == request.Stream && r.exchange != request.Exchange
		})
	}
}

// cancelPrefill frees the time reserved at a prefill endpoint for a request whose decode
// endpoint did not take it.
func (t *UsageTracker) cancelPrefill(r activeReservation) {
	if r.prefillEndpoint != "" {
		prefill := t.usageOf(r.prefillEndpoint)
		prefill.prefillBusyUntil = prefill.prefillBusyUntil.Add(-r.prefillDuration)
	}
}

// RecordPrefill records that a prefill endpoint failed or was late.
func (t *UsageTracker) RecordPrefill(now time.Time, endpoint, entry string, o Outcome, expected, took time.Duration) {
	u := t.usageOf(endpoint)
	if o == OutcomeUnreachable {
		u.recordUnreachable(now, entry)
		return
	}
	u.recordLatePrefill(now, expected, max(0, took-expected))
}

// DropEntries removes the reservations of entries that are not alive: the connections of
// their callers ended with them, and endpoints stop generating then. An entry that has just
// started may not be known as alive yet, but it has no old reservations.
func (t *UsageTracker) DropEntries(now time.Time, isAlive func(entry string) bool) {
	for _, u := range t.usage {
		u.reservations = slices.DeleteFunc(u.reservations, func(r activeReservation) bool { return now.Sub(r.since) > newEntryGrace && !isAlive(r.entry) })
	}
}

// RetainEndpoints removes the usage of all endpoints but the given ones.
func (t *UsageTracker) RetainEndpoints(endpoints []Endpoint) {
	known := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		known[e.ID] = true
	}
	for id := range t.usage {
		if !known[id] {
			delete(t.usage, id)
		}
	}
}
