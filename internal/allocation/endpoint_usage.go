package allocation

import (
	"slices"
	"time"
)

// activeReservation is the reservation of one request.
type activeReservation struct {
	exchange                   string
	entry                      string
	stream                     uint64 // that it begins or continues; 0 for none
	promptTokens, outputTokens int
	capacityTokens             int           // of the endpoint
	prefillEndpoint            string        // empty for none
	prefillDuration            time.Duration // time reserved there
	since                      time.Time
	expectedDuration           time.Duration // from the wait for prefill to the end of the answer
}

func (r activeReservation) isExpired(now time.Time) bool {
	return now.Sub(r.since) > expiryFactor*r.expectedDuration+expirySlack
}

// endpointUsage is the use of one endpoint as far as it is known.
type endpointUsage struct {
	reservations     []activeReservation
	untracked        untrackedUse
	prefillBusyUntil time.Time
	slowness         float64   // relative delay of prefill against the expected time; 0 for none
	slownessAt       time.Time // when slowness was observed
	pausedUntil      time.Time // the endpoint is skipped until then
	trialPending     bool      // after the pause, one request is to probe the endpoint
	unreachableBy    string    // ID of the last entry that could not reach the endpoint
	unreachableAt    time.Time
}

// isEligible reports whether the endpoint may be chosen now.
func (u *endpointUsage) isEligible(now time.Time) bool { return !now.Before(u.pausedUntil) }

// recordRequest records that a request is sent to the endpoint. A pending trial starts.
func (u *endpointUsage) recordRequest(now time.Time) {
	if u.trialPending {
		u.trialPending = false
		u.pausedUntil = now.Add(trialDuration)
	}
}

// recordUnreachable records that an entry could not reach the endpoint.
//
// Guards against this failure: one entry is cut off from endpoints that all others reach,
// and its reports alone would keep the fleet from using them.
func (u *endpointUsage) recordUnreachable(now time.Time, entry string) {
	pause := unconfirmedPause
	if u.unreachableBy != entry && now.Sub(u.unreachableAt) < confirmationWindow {
		pause = confirmedPause
	}
	u.unreachableBy, u.unreachableAt = entry, now
	u.pausedUntil, u.trialPending = now.Add(pause), true
}

// prefillDuration returns how long the endpoint takes to prefill a request's prompt.
func (u *endpointUsage) prefillDuration(now time.Time, request ReservationRequest) time.Duration {
	return time.Duration((1 + u.currentSlowness(now)) * float64(request.PrefillDuration))
}

// currentSlowness returns the observed slowness, which fades with its age: a prefill
// endpoint that isn't chosen for its slowness could otherwise never show that it has
// recovered.
func (u *endpointUsage) currentSlowness(now time.Time) float64 {
	age := max(0, now.Sub(u.slownessAt))
	return u.slowness * float64(slownessHalfLife) / float64(slownessHalfLife+age)
}

// recordLatePrefill records that a prefill took longer than expected.
func (u *endpointUsage) recordLatePrefill(now time.Time, expected, late time.Duration) {
	u.prefillBusyUntil = u.prefillBusyUntil.Add(late)
	u.slowness = max(u.currentSlowness(now), float64(late)/float64(max(expected, time.Millisecond)))
	u.slownessAt = now
}

// untrackedUse is memory in use that is known only from an endpoint's refusal.
//
// Guards against this failure: a home starts while hundreds of answers are under way, as
// after the previous home died. It takes full endpoints for empty ones and chooses them
// again and again. So memory that a refusal shows to be in use is counted; it fades over
// the duration of one answer, as the unknown answers end.
type untrackedUse struct {
	tokens       int
	observedAt   time.Time
	fadeDuration time.Duration
}

func (u untrackedUse) tokensAt(now time.Time) int {
	left := 1 - float64(now.Sub(u.observedAt))/float64(max(u.fadeDuration, time.Millisecond))
	return int(max(0, left) * float64(u.tokens))
}

// recordRefusal records that the endpoint had no memory for r, which is released already.
func (u *endpointUsage) recordRefusal(now time.Time, r activeReservation) {
	tracked := u.usedTokens(now) - u.untracked.tokensAt(now)
	u.untracked = untrackedUse{
		tokens:     max(0, r.capacityTokens-tracked-r.promptTokens-r.outputTokens+1),
		observedAt: now, fadeDuration: r.expectedDuration,
	}
}

// usedTokens returns the number of tokens in use. It removes expired reservations.
func (u *endpointUsage) usedTokens(now time.Time) int {
	u.reservations = slices.DeleteFunc(u.reservations, func(r activeReservation) bool { return r.isExpired(now) })
	used := u.untracked.tokensAt(now)
	for _, r := range u.reservations {
		used += r.promptTokens + r.outputTokens
	}
	return used
}
